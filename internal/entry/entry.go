// Package entry is the process on an entry VM: the home of programs, which it
// journals, routes and admits, behind the API of callers and operators.
package entry

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/internal/command"
	"github.com/buckthornroute/buckthornroute/internal/committer"
	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/runner"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/journal"
	"github.com/buckthornroute/buckthornroute/preset"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/routing"
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
	servers.Go(func() error { return daemon.IgnoreClosed(h.Serve(httpListener)) })
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

func newEntry(ctx context.Context, cfg *settings.Entry, env Environment) (*entry, error) {
	id := uuid.New()
	e := &entry{
		cfg:         cfg,
		env:         env,
		log:         structs.LogID(string(cfg.Node) + "-" + id.String()[:8]),
		incarnation: binary.BigEndian.Uint64(id[:8]),
		started:     uint64(time.Now().UnixNano()),
		versions:    &peer.PresetVersions{Node: cfg.Node},
		sealed:      make(chan struct{}),
		pulse:       newPulse(time.Now),
	}
	e.pool = peer.NewPool(peer.Options{Security: env.Security, Versions: e.versions, Telemetry: env.Telemetry})
	e.platform = platform.NewClientWithTransport(cfg.PlatformURL, env.Telemetry.Transport(daemon.HTTPTransport()))
	e.mail = newMail(ctx, cfg.Node, e.pool)
	var err error
	if e.bus, err = newBus(env.Log); err != nil {
		return nil, err
	}
	if err := e.newRouting(); err != nil {
		return nil, err
	}
	e.newHome()
	e.newPresets()
	e.newPeers()
	e.newDirectory()
	e.subscribe()
	return e, nil
}

// subscribe sets up the duties that take events of the others.
func (e *entry) subscribe() {
	handle(e.bus, "admission", topicPreset, func(_ context.Context, p structs.PresetInForce) error {
		e.local.setPreset(p.Preset)
		return nil
	})
	handle(e.bus, "routing", topicPreset, func(_ context.Context, p structs.PresetInForce) error {
		return e.router.setPreset(p.Preset)
	})
	handle(e.bus, "adoption", topicOrphaned, func(ctx context.Context, o orphaned) error {
		return e.adoptOrphan(ctx, o)
	})
	handle(e.bus, "own log", topicSuperseded, e.checkOwnLog)
	handle(e.bus, "gates", topicGate, e.setGate)
	handle(e.bus, "gate orders", topicGate, e.orderGate)
	handle(e.bus, "release", topicReleased, func(_ context.Context, r released) error {
		e.holds.done(r.Program)
		for _, l := range e.links {
			l.forget(r.Program)
		}
		return nil
	})
}

// newRouting sets up the router and the links to the sides.
func (e *entry) newRouting() error {
	first := structs.Preset{Policy: "cost"}
	var err error
	e.router, err = newRouter(routing.Config{}, first, e.incarnation)
	if err != nil {
		return err
	}
	e.links = map[structs.UpstreamID]*sideLink{}
	for _, s := range e.cfg.Sides {
		conn, err := e.pool.Conn(s.Address)
		if err != nil {
			return err
		}
		e.links[s.Upstream] = newSideLink(s.Upstream, s.VM, s.Address, conn)
	}
	e.tools = newTools(e.cfg, e.router, e.links, func(t settings.Tool) *engine.Service {
		return engine.NewService(structs.UpstreamID(t.Name), t.URL, e.env.Telemetry.Transport(daemon.HTTPTransport()))
	})
	return nil
}

func (e *entry) newEngines() *engines {
	return &engines{
		router: e.router,
		links:  e.links,
		log:    e.log,
		guard:  e.guard,
		holds:  e.holds,
		preset: e.preset,
		now:    time.Now,
	}
}

// claimWait bounds how long an irreversible action waits for the platform before it
// is refused as not run.
const claimWait = 5 * time.Second

// preset returns the preset in force here.
func (e *entry) preset() structs.Preset { return e.presets.inForce.Load().Preset }

// newHome sets up the journal and the runner of programs.
func (e *entry) newHome() {
	e.guard = newCallGuard(e.cfg.Node, e.incarnation, e.env.Log, e.sendTo, func() []structs.NodeID { return e.peers.others() })
	e.fences = newFences(e.log, time.Now())
	e.holds = newCacheHolds(e.log, e.links, e.preset, e.fences.of)
	e.committer = committer.New(committer.Config{
		Journal:     e.journalConfig(),
		OnCommitted: func(through uint64) { e.runner.Committed(through) },
		OnStopped:   e.logSealed,
	}, e.platform, e.platform.Objects())
	e.runner = runner.New(runner.Config{
		Log:      e.log,
		Node:     e.cfg.Node,
		Program:  e.programConfig(),
		Action:   action.Config{ClaimWait: claimWait},
		Engines:  e.newEngines(),
		Tools:    e.tools,
		Journal:  e.committer,
		Table:    e.platform,
		Patience: e.patience,
		Released: func(id structs.ProgramID) { publish(e.bus, topicReleased, released{Program: id}) },
		RingSize: e.cfg.Limits.RingSize,
	})
	e.local = &local{
		Home:      e.runner,
		log:       e.log,
		pulse:     e.pulse,
		router:    e.router,
		notReady:  e.notReady,
		preset:    e.preset,
		patience:  e.patience,
		open:      func() int { return e.committer.Status().Programs },
		openLimit: e.cfg.Limits.OpenPrograms,
		machine:   admission.New(admission.Config{}),
		turnTimes: map[string]time.Duration{},
	}
}

func (e *entry) journalConfig() journal.Config {
	j := e.cfg.Journal
	return journal.Config{
		Log:             e.log,
		Owner:           e.owner(),
		Seed:            e.incarnation,
		PlatformWrites:  j.WriteSharePerSecond,
		Share:           1,
		MinInterval:     j.CommitMinInterval.Std(),
		InlineBytes:     j.InlineBytes,
		CheckpointEvery: j.CheckpointEvery,
	}
}

// owner is what the open row of the home log says of this entry.
func (e *entry) owner() journal.Owner {
	return journal.Owner{
		Node:        e.cfg.Node,
		VM:          e.cfg.VM,
		Domain:      e.cfg.FailureDomain,
		Address:     e.cfg.AdvertisePeer,
		Incarnation: e.started,
	}
}

func (e *entry) programConfig() program.Config {
	tools := map[string]program.Tool{}
	for _, t := range e.cfg.Tools {
		tools[t.Name] = program.Tool{NonRepeatable: t.NonRepeatable, Timeout: t.Timeout.Std()}
	}
	for _, s := range e.cfg.Services {
		tools[s.Name] = program.Tool{NonRepeatable: s.NonRepeatable, Timeout: s.Timeout.Std()}
	}
	return program.Config{
		Tools:            tools,
		Budget:           e.cfg.Budget.Structs(),
		MaxHistoryTokens: int(e.cfg.Limits.HistoryTokens),
	}
}

// newPresets sets up the duty of the preset in force.
func (e *entry) newPresets() {
	cfg := preset.DefaultConfig(e.cfg.Node, e.incarnation)
	cfg.Entries = len(e.cfg.Peers) + 1
	cfg.PollInterval = e.cfg.PresetSpread.PollInterval.Std()
	cfg.Pollers = e.cfg.PresetSpread.Pollers
	cfg.Bound = e.cfg.PresetSpread.CutOffAfter.Std()
	for i, definition := range e.cfg.Presets {
		if definition.Name == e.cfg.InitialPreset {
			cfg.Initial = &e.cfg.Presets[i]
		}
	}
	e.presets = newPresets(cfg, e.platform, e.env.Log, e.sendTo, e.applyPreset)
	e.versions.OnHigher(e.presets.heardVersion)
}

func (e *entry) newDirectory() {
	e.directory = home.NewDirectory(home.DirectoryConfig{
		Own:         e.log,
		Local:       e.local,
		Node:        e.cfg.Node,
		Successors:  successors{e.committer},
		Members:     e.peers,
		Connections: e.pool,
	})
}

// successors asks the platform for the holder of a log.
type successors struct {
	committer *committer.Committer
}

// Successor implements home.Successors.
func (s successors) Successor(ctx context.Context, log structs.LogID) (structs.LogID, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	next, err := s.committer.Successor(ctx, log)
	if errors.Is(err, journal.ErrNoLog) {
		return "", errors.Mark(err, home.ErrNoHome)
	}
	return next, err
}

// applyPreset puts a preset in force in all parts of the process.
func (e *entry) applyPreset(p structs.PresetInForce) {
	e.versions.Set(p.Version)
	publish(e.bus, topicPreset, p)
	e.env.Log.Emit(eventlog.PresetInForce, eventlog.Fields{Step: "apply preset", Count: int64(p.Version), Detail: p.Preset.Name})
}

// patience returns how long callers of a program kind wait by the preset in force.
func (e *entry) patience(kind string) time.Duration {
	p := e.presets.inForce.Load().Preset
	if d, ok := p.Patience[kind]; ok {
		return d.Std()
	}
	return p.Patience[settings.DefaultKind].Std()
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
	case errors.Is(err, journal.ErrNoLog):
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

// register adds the services for other entries.
func (e *entry) register(g *grpc.Server) { newPeerServer(e).register(g) }

func (e *entry) api() http.Handler {
	o := operators{e}
	callers := map[string]structs.OrganisationID{}
	for _, c := range e.cfg.Callers {
		callers[c.Token] = c.Organisation
	}
	names := map[string]string{}
	for _, op := range e.cfg.Operators {
		names[op.Token] = op.Name
	}
	return httpapi.New(httpapi.Config{
		Tokens:    httpapi.NewTokens(callers, names),
		Home:      e.directory,
		Services:  services{e},
		Presets:   o,
		Drainer:   o,
		Orderer:   o,
		Actions:   o,
		System:    o,
		Limits:    command.DefaultLimits,
		BodyBytes: e.cfg.Limits.BodyBytes,
		NotReady:  e.notReady,
		Telemetry: e.env.Telemetry,
	})
}

// services runs plain services for callers.
type services struct {
	*entry
}

// NonRepeatable implements command.Invoker.
func (s services) NonRepeatable(name string) (nonRepeatable, exists bool) {
	service, ok := s.tools.services[name]
	return service.NonRepeatable, ok
}

// Invoke implements command.Invoker.
func (s services) Invoke(ctx context.Context, request structs.ToolRequest) (string, error) {
	if reason := s.notReady(); reason != "" {
		return "", errNotReady("invoke "+request.Name, reason)
	}
	request.Call = structs.CallID("service/" + uuid.NewString())
	request.Timeout = s.tools.services[request.Name].Timeout.Std()
	return s.runner.Invoke(ctx, request)
}
