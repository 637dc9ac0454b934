package side

import (
	"context"
	"errors"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// errNoService is the reason why a model side refuses a request for a service.
var errNoService = errors.New("the upstream is a model engine and runs no services")

// serviceLoad returns the load that the application engine reports.
func (s *Server) serviceLoad(ctx context.Context) (structs.Load, error) {
	if s.cfg.Service == nil {
		return structs.Load{}, errNoService
	}
	return s.cfg.Service.Load(ctx)
}

// Invoke implements the Upstream service.
func (s *Server) Invoke(ctx context.Context, req *peerpb.InvokeRequest) (*peerpb.InvokeReply, error) {
	const step = "invoke"
	if s.cfg.Service == nil {
		return nil, s.status(structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, step, "%s", errNoService))
	}
	done, err := s.admit(step)
	if err != nil {
		return nil, s.status(err)
	}
	defer done()
	waiting := admission.WaitingCall{Call: structs.CallID(req.GetCall()), Attempt: req.GetAttempt()}
	var result string
	err = s.dispatch.run(ctx, waiting, false, func() error {
		result, err = s.cfg.Service.Invoke(ctx, structs.ToolRequest{
			Call:         structs.CallID(req.GetCall()),
			Attempt:      req.GetAttempt(),
			Organisation: structs.OrganisationID(req.GetOrganisation()),
			Name:         req.GetName(),
			Arguments:    req.GetArguments(),
			Key:          req.GetKey(),
			Timeout:      req.GetTimeout().AsDuration(),
			Irreversible: req.GetNonRepeatable(),
		})
		return err
	})
	if err != nil {
		return nil, s.status(err)
	}
	return &peerpb.InvokeReply{
		Call:    req.GetCall(),
		Attempt: req.GetAttempt(),
		Result:  result,
		Load:    peer.LoadToPB(s.load()),
	}, nil
}

// Ask implements the Upstream service.
func (s *Server) Ask(ctx context.Context, req *peerpb.AskRequest) (*peerpb.AskReply, error) {
	if s.cfg.Service == nil {
		return nil, s.status(structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "ask", "%s", errNoService))
	}
	answer, err := s.cfg.Service.Status(ctx, req.GetName(), req.GetKey())
	if err != nil {
		return nil, s.status(err)
	}
	return &peerpb.AskReply{State: string(answer.State), Result: answer.Result}, nil
}
