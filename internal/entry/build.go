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
		HomeLog:     e.journalConfig(),
		OnCommitted: func(through uint64) { e.runner.Committed(through) },
		OnStopped:   e.logSealed,
	}, e.platform, e.platform.Objects())
	e.runner = runner.New(runner.Config{
		Log:         e.log,
		Node:        e.cfg.Node,
		Program:     e.programConfig(),
		Action:      action.Config{ClaimTimeout: claimWait},
		Engines:     e.newEngines(),
		Tools:       e.tools,
		Journal:     e.committer,
		Table:       e.platform,
		TurnTimeout: e.patience,
		OnReleased:  func(id structs.ProgramID) { publish(e.bus, topicReleased, released{Program: id}) },
		RingSize:    e.cfg.Limits.RingSize,
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

func (e *entry) journalConfig() homelog.Config {
	j := e.cfg.Journal
	return homelog.Config{
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
func (e *entry) owner() homelog.Owner {
	return homelog.Owner{
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
	cfg.MaxProofAge = e.cfg.PresetSpread.CutOffAfter.Std()
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
	if errors.Is(err, homelog.ErrNoLog) {
		return "", errors.Mark(err, home.ErrNoHome)
	}
	return next, err
}
