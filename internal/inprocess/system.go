// Package inprocess runs a whole deployment in one process on loopback: stand-ins for
// the platform and the upstreams, a side for each upstream, and entries. Sides and entries
// run the code of the daemons and communicate over the same connections; only the platform
// and the upstreams are simulated. The playground, the load tool and end-to-end tests use
// it.
package inprocess

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/entry"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/side"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Config describes the deployment to run.
type Config struct {
	// Deployment is the name of the deployment, such as "taichung". Region and Domains are
	// its region and the failure domains over which entries are spread.
	Deployment string
	Region     string
	Domains    []structs.FailureDomain
	// Entries is the number of entries.
	Entries int
	// StandIns configures the stand-ins. Their listen addresses may end in ":0".
	StandIns standin.Config
	// Tools are the tools that programs call. A tool without a URL is served by the first
	// tool stand-in.
	Tools []settings.Tool
	// Services are the plain services of the application engines.
	Services      []settings.Service
	Presets       []structs.Preset
	InitialPreset string
	// BatchLimit and QueueLimit are the limits of the model sides; 0 leaves the defaults.
	BatchLimit int
	QueueLimit int
	// Log returns the logger of a node; if Log is nil, events are discarded.
	Log func(node structs.NodeID) *eventlog.Logger
	// Telemetry returns the telemetry of a node; if Telemetry is nil, it is disabled.
	Telemetry func(node structs.NodeID) *telemetry.Telemetry
	// Adjust, unless nil, changes the settings of each entry before the entry starts.
	Adjust func(*settings.Entry)
}

// Bearer tokens of the deployment.
const (
	// OperatorToken is the token of the operator "operator".
	OperatorToken = "in-process-operator-token"
	// callerTokenPrefix is followed by the ID of the caller's organisation.
	callerTokenPrefix = "in-process-caller-token-of-"
)

// CallerToken returns the caller token of an organisation. Entries accept it only for the
// organisations that were passed to Start.
func CallerToken(organisation structs.OrganisationID) string {
	return callerTokenPrefix + string(organisation)
}

// System is a running deployment.
type System struct {
	StandIns *standin.Group
	Entries  []*Process
	Sides    []*Process

	cfg  Config
	stop context.CancelFunc
}

// Process is one entry or side.
type Process struct {
	Node structs.NodeID
	VM   structs.VMID
	// URL is the base URL of its HTTP routes, Peer its peer address.
	URL  string
	Peer string

	cancel context.CancelFunc
	done   chan struct{} // closed when the process has ended
	err    error         // of the process, valid once done is closed
}

// Stop shuts the process down gracefully and returns its error.
func (p *Process) Stop() error {
	p.cancel()
	<-p.done
	return p.err
}

// launch runs the process in its own goroutine. Stop and the end of ctx shut it down; it may
// also end by itself with an error.
func launch(ctx context.Context, p *Process, run func(ctx context.Context) error) {
	ctx, p.cancel = context.WithCancel(ctx)
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		p.err = run(ctx)
	}()
}

// listener opens a free port on loopback.
func listener() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen on loopback")
}

// startTimeout bounds the time until all entries are ready.
const startTimeout = 20 * time.Second

// Start starts the deployment and waits until every entry is ready. The caller must close
// the System: the end of ctx does not stop it.
func Start(ctx context.Context, cfg Config, organisations []structs.OrganisationID) (*System, error) {
	if cfg.Log == nil {
		cfg.Log = func(structs.NodeID) *eventlog.Logger { return eventlog.Discard() }
	}
	if cfg.Telemetry == nil {
		cfg.Telemetry = func(structs.NodeID) *telemetry.Telemetry { return telemetry.Disabled() }
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s := &System{cfg: cfg, stop: stop}
	if err := s.start(ctx, organisations); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context, organisations []structs.OrganisationID) error {
	group, err := standin.Start(s.cfg.StandIns)
	if err != nil {
		return err
	}
	s.StandIns = group
	addresses, err := s.startSides(ctx)
	if err != nil {
		return err
	}
	if err := s.startEntries(ctx, addresses, organisations); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// environment returns the logger and the telemetry of a node.
func (s *System) environment(node structs.NodeID) (*eventlog.Logger, *telemetry.Telemetry) {
	return s.cfg.Log(node), s.cfg.Telemetry(node)
}

// startSides starts a side for each engine and returns the settings by which entries reach
// the sides.
func (s *System) startSides(ctx context.Context) ([]settings.SideAddress, error) {
	urls := s.StandIns.Addresses()
	var out []settings.SideAddress
	for _, m := range s.cfg.StandIns.Models {
		c := s.sideSettings(m.Name, m.VM, m.Domain, structs.KindModel, urls[m.Name])
		c.Upstream.Models = m.Models
		if s.cfg.BatchLimit > 0 {
			c.BatchLimit = s.cfg.BatchLimit
		}
		if s.cfg.QueueLimit > 0 {
			c.QueueLimit = s.cfg.QueueLimit
		}
		a, err := s.startSide(ctx, c)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	for _, m := range s.cfg.StandIns.Applications {
		c := s.sideSettings(m.Name, m.VM, m.Domain, structs.KindApplication, urls[m.Name])
		a, err := s.startSide(ctx, c)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// sideSettings returns the settings of the side of an engine, without its addresses.
func (s *System) sideSettings(name string, vm structs.VMID, domain structs.FailureDomain, kind structs.UpstreamKind, url string) *settings.Side {
	c := settings.NewSide()
	c.Node = structs.NodeID("side-" + name)
	c.VM = vm
	c.FailureDomain = domain
	c.Region = s.cfg.Region
	c.PlatformURL = s.StandIns.Addresses()["platform"]
	c.Upstream.ID = structs.UpstreamID(name)
	c.Upstream.Kind = kind
	c.Upstream.URL = url
	c.TLS.InsecurePlain = true
	return c
}

// startSide starts a side on free ports and returns the settings by which entries reach it.
func (s *System) startSide(ctx context.Context, c *settings.Side) (settings.SideAddress, error) {
	log, t := s.environment(c.Node)
	env := side.Environment{Log: log, Telemetry: t}
	var err error
	if env.PeerListener, err = listener(); err != nil {
		return settings.SideAddress{}, err
	}
	if env.HTTPListener, err = listener(); err != nil {
		return settings.SideAddress{}, err
	}
	c.ListenPeer = env.PeerListener.Addr().String()
	c.ListenHTTP = env.HTTPListener.Addr().String()
	if err := c.Complete(string(c.Node)); err != nil {
		return settings.SideAddress{}, err
	}
	p := &Process{Node: c.Node, VM: c.VM, URL: "http://" + c.ListenHTTP, Peer: c.ListenPeer}
	s.Sides = append(s.Sides, p)
	launch(ctx, p, func(ctx context.Context) error { return side.Run(ctx, c, env, func() {}) })
	return settings.SideAddress{
		Upstream:      c.Upstream.ID,
		Kind:          c.Upstream.Kind,
		Address:       c.ListenPeer,
		VM:            c.VM,
		FailureDomain: c.FailureDomain,
	}, nil
}

// startEntries starts the entries. It opens the ports of all of them before it starts the
// first, so that the settings of each have the addresses of the others.
func (s *System) startEntries(ctx context.Context, sides []settings.SideAddress, organisations []structs.OrganisationID) error {
	all := make([]*settings.Entry, s.cfg.Entries)
	envs := make([]entry.Environment, s.cfg.Entries)
	for i := range all {
		c := s.entrySettings(i, sides, organisations)
		log, t := s.environment(c.Node)
		envs[i] = entry.Environment{Log: log, Telemetry: t}
		var err error
		if envs[i].PeerListener, err = listener(); err != nil {
			return err
		}
		if envs[i].HTTPListener, err = listener(); err != nil {
			return err
		}
		c.ListenPeer = envs[i].PeerListener.Addr().String()
		c.ListenHTTP = envs[i].HTTPListener.Addr().String()
		all[i] = c
	}
	for i, c := range all {
		for j, other := range all {
			if i != j {
				c.Peers = append(c.Peers, other.ListenPeer)
			}
		}
		if s.cfg.Adjust != nil {
			s.cfg.Adjust(c)
		}
		if err := c.Complete(string(c.Node)); err != nil {
			return err
		}
		p := &Process{Node: c.Node, VM: c.VM, URL: "http://" + c.ListenHTTP, Peer: c.ListenPeer}
		s.Entries = append(s.Entries, p)
		launch(ctx, p, func(ctx context.Context) error { return entry.Run(ctx, c, envs[i], func() {}) })
	}
	return nil
}

// Close stops the entries, the sides and the stand-ins.
func (s *System) Close() {
	var stopping sync.WaitGroup
	for _, p := range s.Entries {
		stopping.Go(func() { _ = p.Stop() }) // an entry whose log was sealed returns an error, which does not matter here
	}
	stopping.Wait()
	for _, p := range s.Sides {
		stopping.Go(func() { _ = p.Stop() })
	}
	stopping.Wait()
	if s.StandIns != nil {
		s.StandIns.Close()
	}
	s.stop()
}
