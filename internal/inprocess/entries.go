package inprocess

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
)

// shutdownGrace bounds the graceful shutdown of an entry.
const shutdownGrace = 5 * time.Second

// entrySettings returns the settings of the ith entry, without its addresses and peers.
func (s *System) entrySettings(i int, sides []settings.SideAddress, organisations []structs.OrganisationID) *settings.Entry {
	n := strconv.Itoa(i + 1)
	c := settings.NewEntry()
	c.Node = structs.NodeID(s.cfg.Deployment + "-entry" + n)
	c.VM = structs.VMID("vm-entry" + n)
	c.FailureDomain = s.cfg.Domains[i%len(s.cfg.Domains)]
	c.Region = s.cfg.Region
	c.PlatformURL = s.StandIns.Addresses()["platform"]
	c.Sides = sides
	c.Tools = s.tools()
	c.Services = append([]settings.Service(nil), s.cfg.Services...)
	c.Presets = append([]structs.Preset(nil), s.cfg.Presets...)
	c.InitialPreset = s.cfg.InitialPreset
	c.ShutdownGrace = structs.Duration(shutdownGrace)
	c.TLS.InsecurePlain = true
	for _, o := range organisations {
		c.Callers = append(c.Callers, settings.Caller{Token: CallerToken(o), Organisation: o})
	}
	c.Operators = []settings.Operator{{Token: OperatorToken, Name: "operator"}}
	return c
}

// tools returns the configured tools. Those without a URL get that of the first tool stand-in.
func (s *System) tools() []settings.Tool {
	out := append([]settings.Tool(nil), s.cfg.Tools...)
	if len(s.cfg.StandIns.Tools) == 0 {
		return out
	}
	url := s.StandIns.Addresses()[s.cfg.StandIns.Tools[0].Name]
	for i := range out {
		if out[i].URL == "" {
			out[i].URL = url
		}
	}
	return out
}

// readyPoll is the interval between two readiness polls of an entry.
const readyPoll = 20 * time.Millisecond

// ErrNotReady is returned if an entry ends or is not ready within the start timeout.
var ErrNotReady = errors.New("entry is not ready")

// awaitReady waits until every entry is ready.
func (s *System) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range s.Entries {
		if err := p.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the process is ready, has ended or ctx ends.
func (p *Process) awaitReady(ctx context.Context) error {
	for {
		if p.ready(ctx) {
			return nil
		}
		select {
		case <-p.done:
			return errors.CombineErrors(errors.Wrapf(ErrNotReady, "%s ended", p.Node), p.err)
		case <-ctx.Done():
			return errors.Wrapf(ErrNotReady, "%s within %s", p.Node, startTimeout)
		case <-time.After(readyPoll):
		}
	}
}

func (p *Process) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// String returns the node name and the URL of the process.
func (p *Process) String() string { return fmt.Sprintf("%s at %s", p.Node, p.URL) }
