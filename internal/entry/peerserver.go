package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/membership"
	"github.com/buckthornroute/buckthornroute/structs"
)

// peerServer implements the gRPC service that other entries call.
type peerServer struct {
	*home.Server
	entry *entry
}

func newPeerServer(e *entry) *peerServer {
	return &peerServer{Server: home.NewServer(e.directory), entry: e}
}

func (s *peerServer) register(g *grpc.Server) { peerpb.RegisterHomeServer(g, s) }

// Deliver passes messages to the state machines of this process.
func (s *peerServer) Deliver(_ context.Context, req *peerpb.DeliverRequest) (*peerpb.DeliverReply, error) {
	from := structs.NodeID(req.GetFrom())
	for _, m := range req.GetMessages() {
		if err := s.entry.receive(from, m); err != nil {
			return nil, peer.ToStatus(structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "deliver", "%s", err))
		}
	}
	return &peerpb.DeliverReply{}, nil
}

// receive passes a message to the state machine that it is addressed to.
func (e *entry) receive(from structs.NodeID, m *peerpb.Envelope) error {
	switch m.GetMachine() {
	case machinePreset:
		return e.presets.receive(from, m)
	case machineQuarantine:
		return e.guard.receive(from, m)
	case machineMembership:
		return e.peers.receive(m)
	}
	return errors.Wrapf(ErrUnknownMessage, "machine %q", m.GetMachine())
}

// Adopt takes over the programs of a log at the request of its owner, which is stopping.
func (s *peerServer) Adopt(ctx context.Context, req *peerpb.AdoptRequest) (*peerpb.AdoptReply, error) {
	if err := s.entry.takeOver(ctx, structs.LogID(req.GetLog())); err != nil {
		return nil, peer.ToStatus(structs.Refusalf(structs.CodeConflict, structs.OutcomeUnknown, "adopt", "%s", err))
	}
	return &peerpb.AdoptReply{}, nil
}

// takeoverTimeout bounds one attempt at a takeover; the next attempt resumes where it stopped.
const takeoverTimeout = 30 * time.Second

// takeOver takes over the programs of a log and resumes them here.
func (e *entry) takeOver(ctx context.Context, log structs.LogID) error {
	if e.stopping.Load() {
		return errors.Newf("entry %q is stopping", e.cfg.Node)
	}
	// A takeover must not stop half-way when its caller gives up: the programs would
	// have no home.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeoverTimeout)
	defer cancel()
	e.local.beginTakeover()
	defer e.local.endTakeover()
	entries, err := e.committer.TakeOver(ctx, log)
	if errors.Is(err, homelog.ErrNoLog) || errors.Is(err, homelog.ErrOtherSuccessor) {
		e.peers.notify(ctx, membership.TakenOver{Log: log})
		return nil // its programs have ended or run at another entry
	}
	if err != nil {
		e.env.Log.Emit(eventlog.LogTakeoverFailed, eventlog.Fields{Step: "adopt", Peer: string(log), Err: err})
		return err
	}
	e.peers.notify(ctx, membership.TakenOver{Log: log, Successor: e.log})
	e.fences.recordTakeover(time.Now())
	if err := e.runner.TakeOver(ctx, entries); err != nil {
		e.env.Log.Emit(eventlog.HistoryMismatch, eventlog.Fields{Step: "adopt", Peer: string(log), Err: err})
	}
	e.env.Log.Emit(eventlog.LogTakenOver, eventlog.Fields{Step: "adopt", Peer: string(log), Count: int64(len(entries))})
	return nil
}

// takeOverOrphan takes over the programs of a log whose owner is gone. After a failed
// attempt the membership asks for another one.
func (e *entry) takeOverOrphan(ctx context.Context, o orphaned) error {
	if m, ok := e.peers.view.Load().byLog[o.Log]; !ok || m.State == membership.Gone {
		return nil // already taken over
	}
	return errors.Wrapf(e.takeOver(ctx, o.Log), "take over log %q (%s)", o.Log, o.Reason)
}
