// Package entry is the process on an entry VM: the home of programs, which it
// journals, routes and admits, behind the API of callers and operators.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/committer"
	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/runner"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Environment is what an entry gets from the program it runs in.
type Environment struct {
	Log       *eventlog.Logger
	Telemetry *telemetry.Telemetry
	Security  peer.Security
	// PeerListener and HTTPListener replace the settings' addresses when they are
	// set; Run closes them.
	PeerListener net.Listener
	HTTPListener net.Listener
}

// entry is one entry process and its parts.
type entry struct {
	cfg *settings.Entry
	env Environment
	// log is the home log of this incarnation.
	log         structs.LogID
	incarnation uint64
	// started orders the incarnations of the node; it is the start in Unix nanoseconds.
	started uint64

	versions  *peer.PresetVersions
	pool      *peer.Pool
	platform  *platform.Client
	committer *committer.Committer
	runner    *runner.Runner
	router    *router
	links     map[structs.UpstreamID]*sideLink
	tools     *tools
	holds     *cacheHolds
	fences    *fences
	local     *local
	directory *home.Directory
	presets   *presets
	peers     *peers
	mail      *mail
	bus       *bus
	pulse     *pulse
	guard     *callGuard

	opened   atomic.Bool
	stopping atomic.Bool
	sealed   chan struct{}
	sealOnce sync.Once
}

// Run runs an entry by its settings until ctx ends, and then shuts it down
// gracefully: readiness goes off, turns under way finish, programs are handed
// over, the log is sealed. It returns an error when a listener cannot be opened,
// and when the log was sealed by another entry. ready is called once both
// listeners are open.
func Run(ctx context.Context, cfg *settings.Entry, env Environment, ready func()) error {
	peerListener, httpListener, err := daemon.Listen(env.PeerListener, cfg.ListenPeer, env.HTTPListener, cfg.ListenHTTP)
	if err != nil {
		return err
	}
	// Duties go on after ctx ends, until the shutdown is through.
	dutyContext, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	e, err := newEntry(dutyContext, cfg, env)
	if err != nil {
		_ = peerListener.Close()
		_ = httpListener.Close()
		return err
	}
	g := peer.NewServer(peer.Options{Security: env.Security, Versions: e.versions, Telemetry: env.Telemetry})
	e.register(g)
	h := httpapi.NewServer(e.api())
	var servers errgroup.Group
	servers.Go(func() error { return g.Serve(peerListener) })
	servers.Go(func() error { return daemon.IgnoreServerClosed(h.Serve(httpListener)) })
	duties, dutyContext := errgroup.WithContext(dutyContext)
	e.start(dutyContext, duties)
	env.Log.Emit(eventlog.EntryStarted, eventlog.Fields{Detail: string(e.log)})
	ready()

	select {
	case <-ctx.Done():
	case <-e.sealed:
	}
	cause := e.shutdown(h, g)
	stopDuties()
	e.mail.close()
	return errors.CombineErrors(cause, errors.CombineErrors(servers.Wait(), duties.Wait()))
}

// ErrSealed reports that another entry has sealed the log of this process: its
// programs go on there, and this process has to start anew.
var ErrSealed = errors.New("the home log was sealed by another entry")

// applyPreset puts a preset in force in all parts of the process.
func (e *entry) applyPreset(p structs.PresetInForce) {
	e.versions.Set(p.Version)
	publish(e.bus, topicPreset, p)
	e.env.Log.Emit(eventlog.PresetInForce, eventlog.Fields{Step: "apply preset", Count: int64(p.Version), Detail: p.Preset.Name})
}

// patience returns how long callers of a program kind wait by the preset in force.
func (e *entry) patience(kind string) time.Duration {
	p := e.presets.inForce.Load().Preset
	if d, ok := p.TurnTimeouts[kind]; ok {
		return d.Std()
	}
	return p.TurnTimeouts[settings.DefaultProgramKind].Std()
}

// notReady returns why the process takes no new work, or "".
func (e *entry) notReady() string {
	switch {
	case e.stopping.Load():
		return "it is stopping"
	case !e.opened.Load():
		return "its home log is not open yet"
	case e.peers.isolated.Load():
		return "it is cut off from the platform and from all other entries"
	case !e.presets.ready():
		return "it does not know which preset is in force"
	}
	return ""
}

// logSealed stops the home: another entry holds its programs now.
func (e *entry) logSealed(successor structs.LogID) {
	e.env.Log.Emit(eventlog.LogSealedByOther, eventlog.Fields{Step: "commit", Peer: string(successor)})
	e.runner.Stopped(successor)
	e.sealOnce.Do(func() { close(e.sealed) })
}

// checkOwnLog stops the home when the platform confirms what other entries say: that
// its log is sealed. A home that commits finds out by itself; an idle one would go on.
func (e *entry) checkOwnLog(ctx context.Context, _ superseded) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	successor, err := e.committer.Successor(ctx, e.log)
	switch {
	case errors.Is(err, homelog.ErrNoLog):
		e.logSealed("")
	case err != nil:
		return err
	case successor != e.log:
		e.logSealed(successor)
	}
	return nil
}

// start starts the duties of the process.
func (e *entry) start(ctx context.Context, duties *errgroup.Group) {
	e.committer.Start(ctx)
	duties.Go(func() error { return e.bus.run(ctx) })
	e.bus.awaitRunning(ctx)
	duties.Go(func() error { return e.presets.run(ctx) })
	duties.Go(func() error { return e.peers.run(ctx) })
	duties.Go(func() error { return e.peers.follow(ctx) })
	duties.Go(func() error { return e.peers.readVMs(ctx) })
	duties.Go(func() error { return e.peers.findLogs(ctx) })
	duties.Go(func() error { return e.pulse.run(ctx, e.confirmOwnLog) })
	duties.Go(func() error { return e.guard.run(ctx) })
	duties.Go(func() error { return e.observe(ctx) })
	duties.Go(func() error { return e.sweep(ctx) })
	duties.Go(func() error { return e.open(ctx) })
	duties.Go(func() error { return (&mesh{entry: e, watched: map[structs.UpstreamID]context.CancelFunc{}}).run(ctx) })
}

// open waits until the log is open, and stores the presets of the settings.
func (e *entry) open(ctx context.Context) error {
	if err := e.committer.Ready(ctx); err != nil {
		return nil // the log was sealed, or the process ends
	}
	e.opened.Store(true)
	for ctx.Err() == nil {
		if err := e.presets.define(ctx, e.cfg.Presets); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(platformRetry):
		}
	}
	return nil
}
