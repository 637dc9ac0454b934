package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

// SendTurn submits one turn of a program, or attaches to a turn that was already
// submitted, and waits for its answer.
type SendTurn struct {
	Turn home.Turn
}

// SendTurnHandler handles SendTurn.
type SendTurnHandler struct {
	Home   home.Home
	Limits Limits
}

// Handle calls event for each event of the turn, up to its answer. An error from event
// ends the wait; the turn continues to run, and a caller can attach to it.
func (h SendTurnHandler) Handle(ctx context.Context, c SendTurn, event func(structs.TurnEvent) error) error {
	const step = "send turn"
	if c.Turn.Number == 0 {
		return badRequest(step, "turn number 0; turns are numbered from 1")
	}
	if !c.Turn.Attach && c.Turn.Content == "" {
		return badRequest(step, "the content of turn %d is empty", c.Turn.Number)
	}
	if err := h.Limits.checkContent(step, "the content", c.Turn.Content); err != nil {
		return err
	}
	if err := h.Limits.checkKey(step, c.Turn.Key); err != nil {
		return err
	}
	return h.Home.Turn(ctx, c.Turn, event)
}
