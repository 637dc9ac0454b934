package entry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/committer"
	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/runner"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/preset"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// newEntry returns an entry with all its components; start starts them. ctx bounds the
// messages to other entries.
func newEntry(ctx context.Context, cfg *settings.Entry, env Environment) (*entry, error) {
	id := uuid.New()
	e := &entry{
		cfg:           cfg,
		env:           env,
		log:           structs.LogID(string(cfg.Node) + "-" + id.String()[:8]),
		incarnation:   binary.BigEndian.Uint64(id[:8]),
		started:       uint64(time.Now().UnixNano()),
		versions:      &peer.PresetVersions{Node: cfg.Node},
		sealed:        make(chan struct{}),
		pauseDetector: newPauseDetector(time.Now),
	}
	e.pool = peer.NewPool(peer.Options{Security: env.Security, Versions: e.versions, Telemetry: env.Telemetry})
	e.platform = platform.NewClientWithTransport(cfg.PlatformURL, env.Telemetry.Transport(daemon.HTTPTransport()))
	e.sender = newSender(ctx, cfg.Node, e.pool)
	var err error
	if e.bus, err = newBus(env.Log); err != nil {
		return nil, err
	}
	if err := e.initRouting(); err != nil {
		return nil, err
	}
	e.initHome()
	e.initPresets()
	e.initPeers()
	e.initDirectory()
	e.subscribe()
	return e, nil
}

// subscribe registers the handlers of the event bus.
func (e *entry) subscribe() {
	handle(e.bus, "admission", topicPreset, func(_ context.Context, p structs.PresetInForce) error {
		e.local.setPreset(p.Preset)
		return nil
	})
	handle(e.bus, "routing", topicPreset, func(_ context.Context, p structs.PresetInForce) error {
		return e.router.setPreset(p.Preset)
	})
	handle(e.bus, "adoption", topicOrphaned, func(ctx context.Context, o orphaned) error {
		return e.takeOverOrphan(ctx, o)
	})
	handle(e.bus, "own log", topicSuperseded, e.checkOwnLog)
	handle(e.bus, "gates", topicGate, e.setGate)
	handle(e.bus, "gate orders", topicGate, e.closeSideGates)
	handle(e.bus, "release", topicProgramEnded, func(_ context.Context, r programEnded) error {
		e.holds.release(r.Program)
		for _, l := range e.links {
			l.forget(r.Program)
		}
		return nil
	})
}

// initRouting creates the router, the links to the sides and the tool clients.
func (e *entry) initRouting() error {
	initialPreset := structs.Preset{Policy: "cost"} // until the preset in force is known
	var err error
	e.router, err = newRouter(routing.Config{}, initialPreset, e.incarnation)
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

// newEngines returns the component that runs model calls. e.router, e.links, e.guard and
// e.holds must exist already.
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

// claimTimeout bounds how long an action that must not be repeated waits for its claim
// on the platform; after that it is refused as not run.
const claimTimeout = 5 * time.Second

// preset returns the preset in force at this entry.
func (e *entry) preset() structs.Preset { return e.presets.inForce.Load().Preset }

// initHome creates the committer of the home log, the runner of programs and the parts
// that they depend on.
func (e *entry) initHome() {
	e.guard = newCallGuard(e.cfg.Node, e.incarnation, e.env.Log, e.sendTo, func() []structs.NodeID { return e.peers.others() })
	e.fences = newFences(e.log, time.Now())
	e.holds = newCacheHolds(e.log, e.links, e.preset, e.fences.of)
	e.committer = committer.New(committer.Config{
		HomeLog:     e.homeLogConfig(),
		OnCommitted: func(through uint64) { e.runner.Committed(through) },
		OnStopped:   e.logSealed,
	}, e.platform, e.platform.Objects())
	e.runner = runner.New(runner.Config{
		Log:         e.log,
		Node:        e.cfg.Node,
		Program:     e.programConfig(),
		Action:      action.Config{ClaimTimeout: claimTimeout},
		Engines:     e.newEngines(),
		Tools:       e.tools,
		HomeLog:     e.committer,
		Table:       e.platform,
		TurnTimeout: e.turnTimeout,
		OnEnded:     func(id structs.ProgramID) { publish(e.bus, topicProgramEnded, programEnded{Program: id}) },
		RingSize:    e.cfg.Limits.RingSize,
	})
	e.local = &localHome{
		Home:          e.runner,
		log:           e.log,
		pauseDetector: e.pauseDetector,
		router:        e.router,
		notReady:      e.notReady,
		preset:        e.preset,
		turnTimeout:   e.turnTimeout,
		openPrograms:  func() int { return e.committer.Status().Programs },
		openLimit:     e.cfg.Limits.OpenPrograms,
		machine:       admission.New(admission.Config{}),
		turnTimes:     map[string]time.Duration{},
	}
}

// homeLogConfig returns the configuration of the home log.
func (e *entry) homeLogConfig() homelog.Config {
	l := e.cfg.HomeLog
	return homelog.Config{
		Log:             e.log,
		Owner:           e.owner(),
		Seed:            e.incarnation,
		PlatformWrites:  l.WriteSharePerSecond,
		Share:           1, // the setting is already the limit of the home logs alone
		MinInterval:     l.CommitMinInterval.Std(),
		InlineBytes:     l.InlineBytes,
		CheckpointEvery: l.CheckpointEvery,
	}
}

// owner returns the description of this entry that the open row of its home log stores.
func (e *entry) owner() homelog.Owner {
	return homelog.Owner{
		Node:        e.cfg.Node,
		VM:          e.cfg.VM,
		Domain:      e.cfg.FailureDomain,
		Address:     e.cfg.AdvertisePeer,
		Incarnation: e.started,
	}
}

// programConfig returns the tools and services, the budget and the history limit of programs.
func (e *entry) programConfig() program.Config {
	tools := map[string]program.Tool{}
	for _, t := range e.cfg.Tools {
		tools[t.Name] = program.Tool{Irreversible: t.Irreversible, Timeout: t.Timeout.Std()}
	}
	for _, s := range e.cfg.Services {
		tools[s.Name] = program.Tool{Irreversible: s.Irreversible, Timeout: s.Timeout.Std()}
	}
	return program.Config{
		Tools:            tools,
		Budget:           e.cfg.Budget.Structs(),
		MaxHistoryTokens: int(e.cfg.Limits.HistoryTokens),
	}
}

// initPresets creates the component that follows the preset in force.
func (e *entry) initPresets() {
	cfg := preset.DefaultConfig(e.cfg.Node, e.incarnation)
	cfg.Entries = len(e.cfg.Peers) + 1
	cfg.PollInterval = e.cfg.PresetSpread.PollInterval.Std()
	cfg.Pollers = e.cfg.PresetSpread.Pollers
	cfg.MaxProofAge = e.cfg.PresetSpread.CutOffAfter.Std()
	for i, definition := range e.cfg.Presets {
		if definition.Name == e.cfg.InitialPreset {
			cfg.Initial = &e.cfg.Presets[i]
		}
	}
	e.presets = newPresets(cfg, e.platform, e.env.Log, e.sendTo, e.applyPreset)
	e.versions.OnHigher(e.presets.versionReceived)
}

// initDirectory creates the directory, which finds the home of any program.
func (e *entry) initDirectory() {
	e.directory = home.NewDirectory(home.DirectoryConfig{
		Own:         e.log,
		Local:       e.local,
		Node:        e.cfg.Node,
		Successors:  successorLookup{e.committer},
		Members:     e.peers,
		Connections: e.pool,
	})
}

// successorLookup implements home.Successors: it looks up on the platform which log has
// taken over another one.
type successorLookup struct {
	committer *committer.Committer
}

// Successor implements home.Successors.
func (s successorLookup) Successor(ctx context.Context, log structs.LogID) (structs.LogID, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	next, err := s.committer.Successor(ctx, log)
	if errors.Is(err, homelog.ErrNoLog) {
		return "", errors.Mark(err, home.ErrNoHome)
	}
	return next, err
}
