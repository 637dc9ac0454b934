package side

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/structs"
)

// crashCheckTimeout bounds the load request that checks whether an engine has crashed
// after a failed call.
const crashCheckTimeout = 500 * time.Millisecond

// classifyFailure marks the failure of a call as a crash of its engine if the engine
// then drops or refuses connections, or answers with another incarnation. An engine
// that only answers too late has not crashed.
func (s *Server) classifyFailure(err error, incarnation string) error {
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Outcome != structs.OutcomeUnknown || r.Code != structs.CodeUpstreamFailed {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, crashCheckTimeout)
	defer cancel()
	load, loadErr := s.cfg.Model.Load(ctx)
	if loadErr == nil && (incarnation == "" || load.Incarnation == incarnation) {
		return err
	}
	if loadErr != nil && ctx.Err() != nil {
		return err
	}
	crashed := *r
	crashed.Step = structs.StepCrash
	return &crashed
}

// engineIncarnation returns the incarnation in the last load that the engine reported.
func (s *Server) engineIncarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engineLoad.Incarnation
}
