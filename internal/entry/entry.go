// Package entry is the process on an entry VM. It serves the HTTP API of callers and
// operators, and it is the home of programs: it owns and runs them, admits or refuses
// their turns, routes their model and tool calls to the upstreams, and records their
// progress in its home log, the write-ahead log of this incarnation of the entry. The
// process that writes a log is the owner of the log.
//
// An entry reaches an upstream through its side, the process beside the upstream on the
// same VM. Entries exchange membership, preset and quarantine messages and take over the
// logs whose owners are gone.
//
// The packages membership, preset, quarantine, retry, admission and routing decide
// without doing any input or output; this package is their driver. It passes them
// messages and the time, and carries out the effects that they return.
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

// Environment holds what the surrounding process provides to an entry.
type Environment struct {
	Log       *eventlog.Logger
	Telemetry *telemetry.Telemetry
	Security  peer.Security
	// PeerListener and HTTPListener, when set, are used instead of listening on the
	// addresses in the settings. Run closes them.
	PeerListener net.Listener
	HTTPListener net.Listener
}

// entry is one entry process with its components.
type entry struct {
	cfg *settings.Entry
	env Environment
	// log is the home log of this incarnation.
	log         structs.LogID
	incarnation uint64
	// started is the start time in Unix nanoseconds; it orders the incarnations of the node.
	started uint64

	versions      *peer.PresetVersions
	pool          *peer.Pool
	platform      *platform.Client
	committer     *committer.Committer
	runner        *runner.Runner
	router        *router
	links         map[structs.UpstreamID]*sideLink
	tools         *tools
	holds         *cacheHolds
	fences        *fences
	local         *localHome
	directory     *home.Directory
	presets       *presets
	peers         *peers
	sender        *sender
	bus           *bus
	pauseDetector *pauseDetector
	guard         *callGuard

	// opened reports whether the home log is open.
	opened   atomic.Bool
	stopping atomic.Bool
	// sealed is closed when the home log was sealed by another entry.
	sealed   chan struct{}
	sealOnce sync.Once
}

// Run runs an entry with the given settings until ctx ends, and then shuts it down
// gracefully: it stops being ready, lets running turns finish and hands over its programs
// to another entry, which seals the log; an empty log is deleted. When another entry seals
// the log before the shutdown, Run shuts down as well and returns ErrSealed. It also returns
// an error when a listener cannot be opened. It calls ready once both listeners are open.
func Run(ctx context.Context, cfg *settings.Entry, env Environment, ready func()) error {
	peerListener, httpListener, err := daemon.Listen(env.PeerListener, cfg.ListenPeer, env.HTTPListener, cfg.ListenHTTP)
	if err != nil {
		return err
	}
	// The workers continue after ctx ends, until the shutdown is complete.
	workerContext, stopWorkers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorkers()
	e, err := newEntry(workerContext, cfg, env)
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
	workers, workerContext := errgroup.WithContext(workerContext)
	e.start(workerContext, workers)
	env.Log.Emit(eventlog.EntryStarted, eventlog.Fields{Detail: string(e.log)})
	ready()

	select {
	case <-ctx.Done():
	case <-e.sealed:
	}
	cause := e.shutdown(h, g)
	stopWorkers()
	e.sender.close()
	return errors.CombineErrors(cause, errors.CombineErrors(servers.Wait(), workers.Wait()))
}

// ErrSealed reports that another entry has sealed the log of this process. Its programs
// continue there, and this process must restart to get a new log.
var ErrSealed = errors.New("the home log was sealed by another entry")

// applyPreset puts a preset in force in all components of the process.
func (e *entry) applyPreset(p structs.PresetInForce) {
	e.versions.Set(p.Version)
	publish(e.bus, topicPreset, p)
	e.env.Log.Emit(eventlog.PresetInForce, eventlog.Fields{Step: "apply preset", Count: int64(p.Version), Detail: p.Preset.Name})
}

// turnTimeout returns how long a caller waits for a turn of a program of the kind, by the
// preset in force.
func (e *entry) turnTimeout(kind string) time.Duration {
	p := e.presets.inForce.Load().Preset
	if d, ok := p.TurnTimeouts[kind]; ok {
		return d.Std()
	}
	return p.TurnTimeouts[settings.DefaultProgramKind].Std()
}

// notReady returns the reason why the process takes no new work, or "" if it takes new work.
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

// logSealed stops the home because its log was sealed. The successor is the log that took
// it over, or "" if the log no longer exists.
func (e *entry) logSealed(successor structs.LogID) {
	e.env.Log.Emit(eventlog.LogSealedByOther, eventlog.Fields{Step: "commit", Peer: string(successor)})
	e.runner.Stopped(successor)
	e.sealOnce.Do(func() { close(e.sealed) })
}

// checkOwnLog stops the home when the platform confirms that its log is sealed or deleted.
// It is called when other entries report this and after a pause of the process. A home that
// commits notices it by itself; an idle one would continue.
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

// start starts the workers of the process.
func (e *entry) start(ctx context.Context, workers *errgroup.Group) {
	e.committer.Start(ctx)
	workers.Go(func() error { return e.bus.run(ctx) })
	e.bus.awaitRunning(ctx)
	workers.Go(func() error { return e.presets.run(ctx) })
	workers.Go(func() error { return e.peers.run(ctx) })
	workers.Go(func() error { return e.peers.syncState(ctx) })
	workers.Go(func() error { return e.peers.pollVMList(ctx) })
	workers.Go(func() error { return e.peers.scanOpenLogs(ctx) })
	workers.Go(func() error { return e.pauseDetector.run(ctx, e.confirmOwnLog) })
	workers.Go(func() error { return e.guard.run(ctx) })
	workers.Go(func() error { return e.observe(ctx) })
	workers.Go(func() error { return e.sweep(ctx) })
	workers.Go(func() error { return e.finishStart(ctx) })
	workers.Go(func() error { return (&mesh{entry: e, watched: map[structs.UpstreamID]context.CancelFunc{}}).run(ctx) })
}

// finishStart waits until the home log is open, which lets the entry become ready, and then
// stores the presets of the settings. It repeats a failed store until ctx ends.
func (e *entry) finishStart(ctx context.Context) error {
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
