// Package side is the process beside one upstream. It stands on the only way to
// the upstream: it queues and starts calls, keeps the exact load, closes the gate
// when the VM leaves, holds KV cache for programs under leases, and spreads load
// and cache events to the entries. What it refuses cannot run at the upstream.
package side

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/hold"
	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Config sets one side. Fields without a default are required.
type Config struct {
	Node     structs.NodeID
	VM       structs.VMID
	Domain   structs.FailureDomain
	Upstream structs.UpstreamID
	Kind     structs.UpstreamKind
	// Models are the models that the upstream serves.
	Models []string
	// BatchLimit is the number of calls that run at once, QueueLimit of those that wait.
	BatchLimit int
	QueueLimit int
	// HistoryBytes bounds the compressed conversations kept; 32 MiB by default.
	HistoryBytes int
	// SilenceLimit closes the gate when no entry and no platform was heard for that long.
	SilenceLimit time.Duration
	// LoadInterval is the time between two load reports; 250 ms by default.
	LoadInterval time.Duration
	// Hold bounds the leases on KV cache of a model side.
	Hold hold.Config
	// Table holds the fencing numbers and drains; nil knows none.
	Table platform.Table
	// Incarnation tells restarts of this side apart.
	Incarnation string
	// Model is the engine of a model side, Service that of an application side.
	Model   ModelEngine
	Service Service
	// Log takes the side's events; nil discards them.
	Log *eventlog.Logger

	closeUpstream func()
}

const (
	defaultHistoryBytes = 32 << 20
	defaultLoadInterval = 250 * time.Millisecond
)

// Server is one side. Its methods may be called from any goroutine.
type Server struct {
	peerpb.UnimplementedUpstreamServer

	cfg       Config
	dispatch  *dispatcher
	histories *histories
	watchers  *watchers
	// holds is nil at an application engine.
	holds *holds
	// vms is the platform's list; nil when the settings name no platform.
	vms platform.VMList
	// life ends with the duties.
	life    context.Context
	endLife context.CancelFunc

	mu       sync.Mutex
	gate     *Gate
	sequence uint64
	engine   structs.Load
	turnover turnover
	// reported is when the last load report was due.
	reported time.Time
	logged   gateLog
	inFlight sync.WaitGroup
}

// New returns a side with an open gate.
func New(cfg Config) (*Server, error) {
	if cfg.HistoryBytes == 0 {
		cfg.HistoryBytes = defaultHistoryBytes
	}
	if cfg.LoadInterval == 0 {
		cfg.LoadInterval = defaultLoadInterval
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	h, err := newHistories(cfg.HistoryBytes)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:       cfg,
		dispatch:  newDispatcher(time.Now, cfg.BatchLimit, cfg.QueueLimit),
		histories: h,
		watchers:  newWatchers(),
		gate:      NewGate(time.Now(), cfg.SilenceLimit),
	}
	s.life, s.endLife = context.WithCancel(context.Background())
	if cfg.Model != nil {
		s.holds = newHolds(cfg.Hold, cfg.Model, cfg.Table, cfg.Log)
	}
	return s, nil
}

// Register adds the side's service to a gRPC server.
func (s *Server) Register(g *grpc.Server) { peerpb.RegisterUpstreamServer(g, s) }

// enter refuses new work when the gate is closed; otherwise it counts the call until leave.
func (s *Server) enter(step string) (leave func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reason := s.gate.Closed(now)
	s.gate.Heard(now)
	if reason != "" {
		return nil, &structs.Refusal{
			Code:    structs.CodeDraining,
			Outcome: structs.OutcomeNotRun,
			Step:    step,
			Peer:    string(s.cfg.Node),
			Detail:  "upstream " + string(s.cfg.Upstream) + " takes no new work: " + reason,
		}
	}
	s.inFlight.Add(1)
	return s.inFlight.Done, nil
}

// load returns the load of this moment.
func (s *Server) load() structs.Load {
	running, queued, prefill := s.dispatch.depth()
	held := s.heldTokens()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return structs.Load{
		Upstream:            s.cfg.Upstream,
		VM:                  s.cfg.VM,
		Domain:              s.cfg.Domain,
		Kind:                s.cfg.Kind,
		Models:              s.cfg.Models,
		Running:             running,
		Queued:              queued,
		QueuedPrefillTokens: prefill,
		BatchLimit:          s.cfg.BatchLimit,
		KVUsedTokens:        s.engine.KVUsedTokens,
		KVLimitTokens:       s.engine.KVLimitTokens,
		PrefillRate:         s.engine.PrefillRate,
		StepTime:            s.engine.StepTime,
		Draining:            s.gate.Closed(time.Now()) != "",
		Sequence:            s.sequence,
		Incarnation:         s.cfg.Incarnation,
		HeldTokens:          held,
		EvictionAge:         s.turnover.estimate(time.Now(), s.engine.KVLimitTokens),
	}
}

func (s *Server) heldTokens() int64 {
	if s.holds == nil {
		return 0
	}
	return s.holds.tokens()
}

// CallModel implements the Upstream service.
func (s *Server) CallModel(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error {
	leave, err := s.enter("model call")
	if err != nil {
		return s.status(err)
	}
	defer leave()
	call := peer.CallFromPB(req)
	call.Messages, err = s.histories.resolve(call.Program, int(req.GetBaseCount()),
		peer.DigestFromBytes(req.GetBaseDigest()), peer.MessagesFromPB(req.GetDelta()), call.Digest)
	if err != nil {
		return s.status(err)
	}
	var answer structs.ModelAnswer
	run := func() error {
		answer, err = s.runModel(stream, call)
		return err
	}
	waiting := admission.NewWaitingCall(call, int64(structs.Tokens(call.Messages)))
	if err := s.dispatch.run(stream.Context(), waiting, req.GetAlone(), run); err != nil {
		return s.status(err)
	}
	return s.finishModel(stream, call, answer)
}

func (s *Server) runModel(stream grpc.ServerStreamingServer[peerpb.CallModelChunk], call *structs.ModelCall) (structs.ModelAnswer, error) {
	incarnation := s.engineIncarnation()
	answer, err := s.cfg.Model.Call(stream.Context(), *call, engine.CallOptions{}, func(offset int, text string) {
		// A failed send ends the stream's context, which cancels the call.
		_ = stream.Send(&peerpb.CallModelChunk{
			Call:    string(call.Call),
			Attempt: call.Attempt,
			Offset:  int32(offset),
			Text:    text,
		})
	})
	return answer, s.judge(err, incarnation)
}

func (s *Server) finishModel(stream grpc.ServerStreamingServer[peerpb.CallModelChunk], call *structs.ModelCall, answer structs.ModelAnswer) error {
	s.countTokens(answer.Usage)
	call.Messages = append(call.Messages, answer.Message)
	s.histories.put(call.Program, call.Messages, call.Digest.Append(answer.Message))
	return stream.Send(&peerpb.CallModelChunk{
		Call:    string(call.Call),
		Attempt: call.Attempt,
		Answer: &peerpb.ModelAnswer{
			Message:  peer.MessageToPB(answer.Message),
			Usage:    peer.UsageToPB(answer.Usage),
			Upstream: string(s.cfg.Upstream),
		},
		Load: peer.LoadToPB(s.load()),
	})
}

func (s *Server) countTokens(u structs.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnover.add(time.Now(), u.PromptTokens-u.CachedTokens+u.GeneratedTokens)
}

// status returns err as a status with this side as its peer.
func (s *Server) status(err error) error {
	r := *structs.AsRefusal(err)
	if r.Peer == "" {
		r.Peer = string(s.cfg.Node)
	}
	return peer.ToStatus(&r)
}

// Watch implements the Upstream service.
func (s *Server) Watch(_ *peerpb.WatchRequest, stream grpc.ServerStreamingServer[peerpb.WatchReply]) error {
	w := s.watchers.add()
	defer s.watchers.remove(w)
	if err := s.sendSnapshot(stream); err != nil {
		return err
	}
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case update := <-w.updates:
			if err := stream.Send(update); err != nil {
				return err
			}
		}
		if s.watchers.takeBehind(w) {
			if err := s.sendSnapshot(stream); err != nil {
				return err
			}
		}
	}
}

func (s *Server) sendSnapshot(stream grpc.ServerStreamingServer[peerpb.WatchReply]) error {
	reply := &peerpb.WatchReply{Load: peer.LoadToPB(s.load())}
	if s.cfg.Model != nil {
		snapshot, err := s.cfg.Model.CacheSnapshot(stream.Context())
		if err == nil {
			reply.Cache = snapshotToPB(snapshot)
		}
	}
	return stream.Send(reply)
}

func snapshotToPB(c engine.CacheSnapshot) *peerpb.CacheEvents {
	return &peerpb.CacheEvents{Incarnation: c.Incarnation, Sequence: c.Sequence, Snapshot: true, Stored: c.Blocks}
}

// Heard records word from the platform.
func (s *Server) Heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Heard(time.Now())
}

// Leaving closes the gate for good, as the platform's list says, and tells the entries.
func (s *Server) Leaving() {
	s.mu.Lock()
	s.gate.Leaving()
	s.mu.Unlock()
	s.announce()
}

// announce pushes the present load and gate to all entries. An entry whose
// connection is alive counts as heard.
func (s *Server) announce() {
	if s.watchers.len() > 0 {
		s.Heard()
	}
	load := s.load()
	s.noteGate(load)
	s.watchers.send(&peerpb.WatchReply{Load: peer.LoadToPB(load)})
}

// Drain closes the gate, waits until the calls in flight have ended, and returns
// ctx's error when that takes longer.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.gate.Stop()
	s.mu.Unlock()
	s.announce()
	idle := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
