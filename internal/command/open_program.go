package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

// OpenProgram opens a program on behalf of an organisation.
type OpenProgram struct {
	Spec structs.ProgramSpec
}

// OpenProgramHandler handles OpenProgram.
type OpenProgramHandler struct {
	Home   home.Home
	Limits Limits
}

// Handle returns the id of the new program. A command repeated with the same idempotency
// key returns the same id.
func (h OpenProgramHandler) Handle(ctx context.Context, c OpenProgram) (structs.ProgramID, error) {
	const step = "open program"
	if c.Spec.Kind == "" {
		return "", badRequest(step, "the program's kind is empty")
	}
	if c.Spec.Model == "" {
		return "", badRequest(step, "the program's model is empty")
	}
	// Only the home gives a program a parent: it opens the sub-agents itself.
	if c.Spec.Parent != "" || c.Spec.Depth != 0 {
		return "", badRequest(step, "a caller cannot name parent %q or depth %d", c.Spec.Parent, c.Spec.Depth)
	}
	if err := checkBudget(step, c.Spec.Budget); err != nil {
		return "", err
	}
	if c.Spec.TurnTimeout < 0 {
		return "", badRequest(step, "patience %s is negative", c.Spec.TurnTimeout)
	}
	if err := h.Limits.checkContent(step, "the system text", c.Spec.System); err != nil {
		return "", err
	}
	if err := h.Limits.checkKey(step, c.Spec.Key); err != nil {
		return "", err
	}
	return h.Home.Open(ctx, c.Spec)
}

// checkBudget refuses a budget with a negative part.
func checkBudget(step string, b structs.Budget) error {
	if b.Tokens < 0 || b.Calls < 0 || b.ToolTime < 0 || b.Depth < 0 || b.Agents < 0 {
		return badRequest(step, "budget %+v has a negative part", b)
	}
	return nil
}
