package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/structs"
)

// SettleAction records the outcome that an operator determined for an unresolved action: one
// in doubt or in progress.
type SettleAction struct {
	Organisation structs.OrganisationID
	Key          string
	// Outcome is OutcomeRan, with Result, or OutcomeNotRun.
	Outcome  structs.Outcome
	Result   string
	Operator string
}

// Actions records the outcomes of unresolved actions.
type Actions interface {
	// Settle records the outcome. It returns a refusal with CodeNotFound if the action does not
	// exist, and with CodeConflict if its outcome is already recorded or its row changes
	// meanwhile.
	Settle(ctx context.Context, c SettleAction) error
}

// SettleActionHandler handles SettleAction.
type SettleActionHandler struct {
	Actions Actions
}

// Handle checks the command and calls Actions.Settle, whose refusals it returns.
func (h SettleActionHandler) Handle(ctx context.Context, c SettleAction) error {
	const step = "settle action"
	if c.Organisation == "" || c.Key == "" {
		return badRequest(step, "organisation %q or key %q is empty", c.Organisation, c.Key)
	}
	if c.Outcome != structs.OutcomeRan && c.Outcome != structs.OutcomeNotRun {
		return badRequest(step, "outcome %q is neither %q nor %q", c.Outcome, structs.OutcomeRan, structs.OutcomeNotRun)
	}
	return h.Actions.Settle(ctx, c)
}
