package home

import (
	"context"

	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Server serves a Home to other entries over gRPC. It implements Open, Turn, End, Read
// and List of the Home service; the type that embeds it implements Deliver and Adopt.
type Server struct {
	peerpb.UnimplementedHomeServer
	home Home
}

// NewServer returns a Server for h. An entry passes its Directory, so that it also serves as a
// relay.
func NewServer(h Home) *Server { return &Server{home: h} }

// Open serves Home.Open.
func (s *Server) Open(ctx context.Context, req *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	id, err := s.home.Open(ctx, peer.SpecFromPB(req.GetSpec()))
	if err != nil {
		return nil, peer.ToStatus(err)
	}
	return &peerpb.OpenReply{Program: string(id)}, nil
}

// Turn serves Home.Turn.
func (s *Server) Turn(req *peerpb.TurnRequest, stream grpc.ServerStreamingServer[peerpb.TurnEvent]) error {
	turn := Turn{
		Program:      structs.ProgramID(req.GetProgram()),
		Organisation: structs.OrganisationID(req.GetOrganisation()),
		Number:       req.GetNumber(),
		Key:          req.GetKey(),
		Content:      req.GetContent(),
		Attach:       req.GetAttach(),
	}
	err := s.home.Turn(stream.Context(), turn, func(e structs.TurnEvent) error {
		return stream.Send(peer.TurnEventToPB(e))
	})
	return peer.ToStatus(err)
}

// End serves Home.End.
func (s *Server) End(ctx context.Context, req *peerpb.EndRequest) (*peerpb.EndReply, error) {
	err := s.home.End(ctx, End{
		Program:      structs.ProgramID(req.GetProgram()),
		Organisation: structs.OrganisationID(req.GetOrganisation()),
		Cancel:       req.GetCancel(),
	})
	if err != nil {
		return nil, peer.ToStatus(err)
	}
	return &peerpb.EndReply{}, nil
}

// Read serves Home.Read.
func (s *Server) Read(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	view, err := s.home.Read(ctx, Read{
		Program:      structs.ProgramID(req.GetProgram()),
		Organisation: structs.OrganisationID(req.GetOrganisation()),
		History:      req.GetHistory(),
	})
	if err != nil {
		return nil, peer.ToStatus(err)
	}
	return &peerpb.ReadReply{Program: peer.ViewToPB(view)}, nil
}

// List serves Home.List.
func (s *Server) List(ctx context.Context, req *peerpb.ListRequest) (*peerpb.ListReply, error) {
	views, err := s.home.List(ctx, List{
		Organisation: structs.OrganisationID(req.GetOrganisation()),
		After:        structs.ProgramID(req.GetAfter()),
		Limit:        int(req.GetLimit()),
	})
	if err != nil {
		return nil, peer.ToStatus(err)
	}
	reply := &peerpb.ListReply{}
	for _, v := range views {
		reply.Programs = append(reply.Programs, peer.ViewToPB(v))
	}
	return reply, nil
}
