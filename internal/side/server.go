// Package side implements the process beside one upstream. All traffic to the upstream
// passes through its side, which queues and starts the calls, reports the current load in
// its replies, closes the upstream's admission gate when the VM is drained or leaves, holds
// KV cache for programs under leases, and broadcasts load and cache events to the entries
// that watch it. A call that a side refuses with outcome not run never reaches the upstream.
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

// Config configures a Server. A field is required unless its comment says otherwise.
type Config struct {
	Node     structs.NodeID
	VM       structs.VMID
	Domain   structs.FailureDomain
	Upstream structs.UpstreamID
	Kind     structs.UpstreamKind
	// Models are the names of the models that the upstream serves.
	Models []string
	// BatchLimit is the number of calls that run concurrently, QueueLimit the number of
	// calls that may wait.
	BatchLimit int
	QueueLimit int
	// HistoryBytes limits the size of the compressed conversations stored; 32 MiB by default.
	HistoryBytes int
	// SilenceLimit is the longest time without contact with an entry or the platform
	// before the gate closes; 0 sets no limit.
	SilenceLimit time.Duration
	// LoadInterval is the interval between two reads of the upstream's load; 250 ms by
	// default.
	LoadInterval time.Duration
	// Hold configures the leases on KV cache; only a model side uses it.
	Hold hold.Config
	// Table is the platform's store with the fencing numbers and drain rows. Without
	// one, fencing numbers are zero and no drain row is read.
	Table platform.Table
	// Incarnation identifies this run of the side, so that others can detect a restart.
	Incarnation string
	// Model is the engine of a model side and Service that of an application side; the
	// other one is nil.
	Model   ModelEngine
	Service Service
	// Log receives the side's events; nil discards them.
	Log *eventlog.Logger

	closeUpstream func()
}

// Defaults of Config.
const (
	defaultHistoryBytes = 32 << 20
	defaultLoadInterval = 250 * time.Millisecond
)

// Server implements the Upstream service of one side. Its methods may be called from
// any goroutine.
type Server struct {
	peerpb.UnimplementedUpstreamServer

	cfg       Config
	dispatch  *dispatcher
	histories *historyCache
	watchers  *watchers
	// holds is nil if the upstream is an application engine.
	holds *holdDriver
	// vms is the platform's list of VMs; nil if the settings name no platform.
	vms platform.VMList
	// ctx ends with the context of Run.
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	gate *Gate
	// sequence numbers the loads that the side reports.
	sequence uint64
	// engineLoad is the last load that the upstream reported.
	engineLoad  structs.Load
	evictionAge evictionAgeEstimator
	// lastReport is the time of the last periodic load report.
	lastReport time.Time
	logged     loggedGate
	// inFlight counts the calls that admit accepted and that have not ended yet.
	inFlight sync.WaitGroup
}

// New returns a Server with an open gate. It has no connections yet: Register adds
// it to a gRPC server and Run starts its background work.
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
	h, err := newHistoryCache(cfg.HistoryBytes)
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
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if cfg.Model != nil {
		s.holds = newHoldDriver(cfg.Hold, cfg.Model, cfg.Table, cfg.Log)
	}
	return s, nil
}

// Register registers the Upstream service with a gRPC server.
func (s *Server) Register(g *grpc.Server) { peerpb.RegisterUpstreamServer(g, s) }

// admit refuses new work if the gate is closed. Otherwise it counts the call as in
// flight until done is called. The call itself counts as contact, but only after the
// check: a gate closed by the silence limit refuses this call and is open for the next.
func (s *Server) admit(step string) (done func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reason := s.gate.ClosedReason(now)
	s.gate.RecordContact(now)
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

// load returns the current load.
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
		KVUsedTokens:        s.engineLoad.KVUsedTokens,
		KVLimitTokens:       s.engineLoad.KVLimitTokens,
		PrefillRate:         s.engineLoad.PrefillRate,
		StepTime:            s.engineLoad.StepTime,
		Draining:            s.gate.ClosedReason(time.Now()) != "",
		Sequence:            s.sequence,
		Incarnation:         s.cfg.Incarnation,
		HeldTokens:          held,
		EvictionAge:         s.evictionAge.estimate(time.Now(), s.engineLoad.KVLimitTokens),
	}
}

// heldTokens returns the number of tokens of KV cache held; 0 for an application engine.
func (s *Server) heldTokens() int64 {
	if s.holds == nil {
		return 0
	}
	return s.holds.tokens()
}

// CallModel implements the Upstream service.
func (s *Server) CallModel(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error {
	done, err := s.admit("model call")
	if err != nil {
		return s.status(err)
	}
	defer done()
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

// runModel sends the call to the engine and forwards the generated text to stream.
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
	return answer, s.classifyFailure(err, incarnation)
}

// finishModel stores the conversation with the answer, and sends the answer to stream.
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

// countTokens adds the tokens that the engine computed to the estimate of the eviction age.
func (s *Server) countTokens(u structs.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictionAge.add(time.Now(), u.PromptTokens-u.CachedTokens+u.GeneratedTokens)
}

// status converts err to a gRPC status. A refusal without a peer gets this side as its
// peer.
func (s *Server) status(err error) error {
	r := *structs.AsRefusal(err)
	if r.Peer == "" {
		r.Peer = string(s.cfg.Node)
	}
	return peer.ToStatus(&r)
}

// Watch implements the Upstream service. The stream starts with a snapshot, and continues
// with the updates or, after the watcher has missed one, with a new snapshot.
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
		if s.watchers.resetBehind(w) {
			if err := s.sendSnapshot(stream); err != nil {
				return err
			}
		}
	}
}

// sendSnapshot sends the current load and, for a model engine, a snapshot of its cache. If
// the snapshot cannot be read, it sends the load alone.
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

// RecordContact records contact with an entry or the platform.
func (s *Server) RecordContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.RecordContact(time.Now())
}

// MarkLeaving closes the gate permanently, because the platform lists the VM as
// leaving, and broadcasts the change.
func (s *Server) MarkLeaving() {
	s.mu.Lock()
	s.gate.MarkLeaving()
	s.mu.Unlock()
	s.broadcastLoad()
}

// broadcastLoad broadcasts the current load and gate to the watchers. Any watcher counts as
// contact with an entry, because its connection is alive.
func (s *Server) broadcastLoad() {
	if s.watchers.len() > 0 {
		s.RecordContact()
	}
	load := s.load()
	s.logGate(load)
	s.watchers.send(&peerpb.WatchReply{Load: peer.LoadToPB(load)})
}

// Drain closes the gate for the shutdown, which no order can undo, and waits until the
// calls in flight have ended. It returns ctx's error if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.gate.MarkStopping()
	s.mu.Unlock()
	s.broadcastLoad()
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
