package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/internal/home"
)

// EndProgram ends a program. With End.Cancel it also ends the running turn.
type EndProgram struct {
	End home.End
}

// EndProgramHandler handles EndProgram.
type EndProgramHandler struct {
	Home home.Home
}

// Handle ends the program and all its sub-agents. It is idempotent.
func (h EndProgramHandler) Handle(ctx context.Context, c EndProgram) error {
	return h.Home.End(ctx, c.End)
}
