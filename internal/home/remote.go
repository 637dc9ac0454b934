package home

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Remote is a Home in another entry, reached over gRPC.
type Remote struct {
	client peerpb.HomeClient
	peer   string
}

// NewRemote returns the Home behind the connection. Errors name it by its address.
func NewRemote(conn *grpc.ClientConn, address string) *Remote {
	return &Remote{client: peerpb.NewHomeClient(conn), peer: address}
}

var _ Home = (*Remote)(nil)

// toRefusal converts a gRPC error as peer.FromStatus does. A transport error gets
// CodeHomeUnreachable and a retry delay.
func (r *Remote) toRefusal(err error, step string) error {
	out := peer.FromStatus(err, step, r.peer)
	var refusal *structs.Refusal
	if peer.IsTransportError(err) && errors.As(out, &refusal) {
		refusal.Code = structs.CodeHomeUnreachable
		refusal.RetryAfter = unreachableRetryAfter
	}
	return out
}

// Open implements Home.
func (r *Remote) Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	reply, err := r.client.Open(ctx, &peerpb.OpenRequest{Spec: peer.SpecToPB(spec)})
	if err != nil {
		return "", r.toRefusal(err, "open")
	}
	return structs.ProgramID(reply.GetProgram()), nil
}

// Turn implements Home.
func (r *Remote) Turn(ctx context.Context, turn Turn, event func(structs.TurnEvent) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := r.client.Turn(ctx, &peerpb.TurnRequest{
		Program:      string(turn.Program),
		Organisation: string(turn.Organisation),
		Number:       turn.Number,
		Key:          turn.Key,
		Content:      turn.Content,
		Attach:       turn.Attach,
	})
	if err != nil {
		return r.toRefusal(err, "turn")
	}
	return r.receive(stream, event)
}

// receive calls event for each event of the stream. A stream that ends without an
// answer is an error with outcome unknown.
func (r *Remote) receive(stream grpc.ServerStreamingClient[peerpb.TurnEvent], event func(structs.TurnEvent) error) error {
	answered := false
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			if answered {
				return nil
			}
			return &structs.Refusal{
				Code:    structs.CodeHomeUnreachable,
				Outcome: structs.OutcomeUnknown,
				Step:    "turn",
				Peer:    r.peer,
				Detail:  "the stream of the turn ended before its answer",
			}
		}
		if err != nil {
			return r.toRefusal(err, "turn")
		}
		e := peer.TurnEventFromPB(m)
		answered = answered || e.Answer != nil
		if err := event(e); err != nil {
			return err
		}
	}
}

// End implements Home.
func (r *Remote) End(ctx context.Context, end End) error {
	_, err := r.client.End(ctx, &peerpb.EndRequest{
		Program:      string(end.Program),
		Organisation: string(end.Organisation),
		Cancel:       end.Cancel,
	})
	return r.toRefusal(err, "end")
}

// Read implements Home.
func (r *Remote) Read(ctx context.Context, read Read) (structs.ProgramView, error) {
	reply, err := r.client.Read(ctx, &peerpb.ReadRequest{
		Program:      string(read.Program),
		Organisation: string(read.Organisation),
		History:      read.History,
	})
	if err != nil {
		return structs.ProgramView{}, r.toRefusal(err, "read")
	}
	return peer.ViewFromPB(reply.GetProgram()), nil
}

// List implements Home.
func (r *Remote) List(ctx context.Context, list List) ([]structs.ProgramView, error) {
	reply, err := r.client.List(ctx, &peerpb.ListRequest{
		Organisation: string(list.Organisation),
		After:        string(list.After),
		Limit:        int32(list.Limit),
	})
	if err != nil {
		return nil, r.toRefusal(err, "list")
	}
	views := make([]structs.ProgramView, len(reply.GetPrograms()))
	for i, p := range reply.GetPrograms() {
		views[i] = peer.ViewFromPB(p)
	}
	return views, nil
}
