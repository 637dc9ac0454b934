package side

import (
	"context"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Order implements the Upstream service.
func (s *Server) Order(_ context.Context, req *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	var err error
	switch req.GetOrder() {
	case "drain":
		err = s.operatorDrain(req.GetFencing(), true)
	case "undrain":
		err = s.operatorDrain(req.GetFencing(), false)
	default:
		err = structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "order", "order %q is not known", req.GetOrder())
	}
	if err != nil {
		return nil, s.status(err)
	}
	s.announce()
	return &peerpb.OrderReply{Load: peer.LoadToPB(s.load())}, nil
}

func (s *Server) operatorDrain(version uint64, drain bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Operator(version, drain)
}
