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

// peerServer serves the other entries.
type peerServer struct {
	*home.Server
	entry *entry
}

func newPeerServer(e *entry) *peerServer {
	return &peerServer{Server: home.NewServer(e.directory), entry: e}
}

func (s *peerServer) register(g *grpc.Server) { peerpb.RegisterHomeServer(g, s) }

// Deliver hands messages to the machines of this process.
func (s *peerServer) Deliver(_ context.Context, req *peerpb.DeliverRequest) (*peerpb.DeliverReply, error) {
	from := structs.NodeID(req.GetFrom())
	for _, m := range req.GetMessages() {
		if err := s.entry.receive(from, m); err != nil {
			return nil, peer.ToStatus(structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "deliver", "%s", err))
		}
	}
	return &peerpb.DeliverReply{}, nil
}

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

// Adopt takes over the programs of a log whose holder asks for it.
func (s *peerServer) Adopt(ctx context.Context, req *peerpb.AdoptRequest) (*peerpb.AdoptReply, error) {
	if err := s.entry.adopt(ctx, structs.LogID(req.GetLog())); err != nil {
		return nil, peer.ToStatus(structs.Refusalf(structs.CodeConflict, structs.OutcomeUnknown, "adopt", "%s", err))
	}
	return &peerpb.AdoptReply{}, nil
}

// adoptionTimeout bounds one takeover; the next try goes on where it stopped.
const adoptionTimeout = 30 * time.Second

// adopt takes over the programs of a log and goes on with them.
func (e *entry) adopt(ctx context.Context, log structs.LogID) error {
	if e.stopping.Load() {
		return errors.Newf("entry %q is stopping", e.cfg.Node)
	}
	// A caller that gives up must not leave programs between two homes.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), adoptionTimeout)
	defer cancel()
	e.local.beginAdoption()
	defer e.local.endAdoption()
	entries, err := e.committer.TakeOver(ctx, log)
	if errors.Is(err, homelog.ErrNoLog) || errors.Is(err, homelog.ErrOtherSuccessor) {
		e.peers.tell(ctx, membership.TakenOver{Log: log})
		return nil // its programs have ended or run elsewhere
	}
	if err != nil {
		e.env.Log.Emit(eventlog.LogTakeoverFailed, eventlog.Fields{Step: "adopt", Peer: string(log), Err: err})
		return err
	}
	e.peers.tell(ctx, membership.TakenOver{Log: log, Successor: e.log})
	e.fences.adoptedAt(time.Now())
	if err := e.runner.TakeOver(ctx, entries); err != nil {
		e.env.Log.Emit(eventlog.HistoryMismatch, eventlog.Fields{Step: "adopt", Peer: string(log), Err: err})
	}
	e.env.Log.Emit(eventlog.LogTakenOver, eventlog.Fields{Step: "adopt", Peer: string(log), Count: int64(len(entries))})
	return nil
}

// adoptOrphan takes over the programs of a log whose holder is gone. A try that
// fails is asked for again by the membership.
func (e *entry) adoptOrphan(ctx context.Context, o orphaned) error {
	if m, ok := e.peers.view.Load().byLog[o.Log]; !ok || m.State == membership.Gone {
		return nil // taken over meanwhile
	}
	return errors.Wrapf(e.adopt(ctx, o.Log), "log %q, %s", o.Log, o.Reason)
}
