package side

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/structs"
)

// crashCheckTimeout bounds the question to an engine that has just failed a call.
const crashCheckTimeout = 500 * time.Millisecond

// judge marks the failure of a call as a crash of its engine when the engine drops or
// refuses connections, or another incarnation answers. One that is only slow has not crashed.
func (s *Server) judge(err error, incarnation string) error {
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Outcome != structs.OutcomeUnknown || r.Code != structs.CodeUpstreamFailed {
		return err
	}
	ctx, cancel := context.WithTimeout(s.life, crashCheckTimeout)
	defer cancel()
	load, askErr := s.cfg.Model.Load(ctx)
	if askErr == nil && (incarnation == "" || load.Incarnation == incarnation) {
		return err
	}
	if askErr != nil && ctx.Err() != nil {
		return err
	}
	crashed := *r
	crashed.Step = structs.StepCrash
	return &crashed
}

// engineIncarnation returns the incarnation of the engine that answered last.
func (s *Server) engineIncarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Incarnation
}
