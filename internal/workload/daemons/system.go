// Package daemons runs a workload against the code of the entries and sides, in one process
// over loopback, with stand-ins for the platform and the upstreams. The callers use the HTTP
// API of the entries.
package daemons

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/inprocess"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/internal/workload"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Config configures a System.
type Config struct {
	Deployment workload.Deployment
	Preset     structs.Preset
	// TimeScale is the number of real seconds in one modelled second.
	TimeScale float64
	Entries   int
}

// Rate limits of the platform per second of real time.
const (
	platformWrites = 400
	platformReads  = 2000
)

// anyPort lets a stand-in listen on a free port of loopback.
const anyPort = "127.0.0.1:0"

// System is a workload.System over the HTTP API of running entries.
type System struct {
	running *inprocess.System
	ledger  *workload.Ledger
	http    *http.Client
	next    atomic.Uint64 // number of requests, which selects the entry of the next one
}

var _ workload.System = (*System)(nil)

// New starts the stand-ins, sides and entries; Stop stops them.
func New(ctx context.Context, cfg Config) (*System, error) {
	s := &System{
		ledger: workload.NewLedger(),
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10}},
	}
	running, err := inprocess.Start(ctx, s.deployment(cfg), workload.Organisations(cfg.Deployment))
	if err != nil {
		return nil, err
	}
	s.running = running
	return s, nil
}

// deployment returns the configuration of the stand-ins, sides and entries. The home logs
// together may use half of the platform's write rate.
func (s *System) deployment(cfg Config) inprocess.Config {
	d := cfg.Deployment
	out := inprocess.Config{
		Deployment:    d.Name,
		Region:        d.Region,
		Entries:       cfg.Entries,
		StandIns:      workload.StandIns(d, cfg.TimeScale, s.ledger),
		Presets:       []structs.Preset{cfg.Preset},
		InitialPreset: cfg.Preset.Name,
		BatchLimit:    d.Engines.BatchLimit,
		QueueLimit:    queueLimit,
		Adjust: func(e *settings.Entry) {
			e.HomeLog.WriteSharePerSecond = platformWrites / 2
		},
	}
	for _, domain := range d.Engines.Domains {
		out.Domains = append(out.Domains, structs.FailureDomain(domain))
	}
	out.StandIns.Platform = &standin.PlatformConfig{
		Listen: anyPort, WritesPerSecond: platformWrites, ReadsPerSecond: platformReads, VMs: vms(out, cfg.Entries),
	}
	out.StandIns.Tools = []standin.ServiceConfig{{Name: "tools", Listen: anyPort}}
	for _, tool := range d.Tools {
		out.Tools = append(out.Tools, settings.Tool{Name: tool})
	}
	return out
}

// queueLimit is the maximum number of calls that wait at one side.
const queueLimit = 1 << 10

// vms returns the VMs of the entries and the model engines.
func vms(c inprocess.Config, entries int) []platform.VMChange {
	var out []platform.VMChange
	for i := range entries {
		out = append(out, platform.VMChange{
			ID:     structs.VMID(fmt.Sprintf("vm-entry%d", i+1)),
			Domain: c.Domains[i%len(c.Domains)],
			State:  platform.VMLive,
		})
	}
	for _, m := range c.StandIns.Models {
		out = append(out, platform.VMChange{ID: m.VM, Domain: m.Domain, State: platform.VMLive})
	}
	return out
}

// Stop stops the entries, sides and stand-ins.
func (s *System) Stop() {
	s.running.Close()
	s.http.CloseIdleConnections()
}

// Cache returns the counts of prompt, cached and recomputed tokens so far.
func (s *System) Cache() workload.CacheCounts { return s.ledger.Sum() }

// Kill crashes the i-th engine, which does not restart during a run.
func (s *System) Kill(i int) { s.running.StandIns.Models[i].Crash() }

// Faults returns the faults of the i-th engine, which may be set.
func (s *System) Faults(i int) *standin.Faults { return s.running.StandIns.Models[i].Faults }

// client returns a client with the token of the organisation for the next entry, round robin.
func (s *System) client(organisation structs.OrganisationID) inprocess.Client {
	n := s.next.Add(1) % uint64(len(s.running.Entries))
	return inprocess.Client{
		URL:   s.running.Entries[n].URL,
		Token: inprocess.CallerToken(organisation),
		HTTP:  s.http,
	}
}

// Open implements workload.System.
func (s *System) Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	return s.client(spec.Organisation).Open(ctx, httpapi.OpenRequest{
		Kind:        spec.Kind,
		Model:       spec.Model,
		System:      spec.System,
		Budget:      httpapi.Budget{Depth: 2, Agents: maxAgents},
		TurnTimeout: structs.Duration(spec.TurnTimeout),
	}, spec.Key)
}

// maxAgents is the maximum number of sub-agents of a program.
const maxAgents = 64

// Turn implements workload.System. It streams the answer unless first is nil.
func (s *System) Turn(ctx context.Context, program workload.ProgramRef, number uint32, key, content string, first func()) error {
	client := s.client(program.Organisation)
	if first == nil {
		_, err := client.Turn(ctx, program.ID, number, key, content)
		return err
	}
	_, err := client.Stream(ctx, program.ID, number, key, content, func(e structs.TurnEvent) {
		if e.Text != "" {
			first()
		}
	})
	return err
}

// closeTimeout bounds the request that ends a program.
const closeTimeout = 2 * time.Second

// Close implements workload.System.
func (s *System) Close(ctx context.Context, program workload.ProgramRef) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	return s.client(program.Organisation).Close(ctx, program.ID)
}
