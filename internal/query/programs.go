package query

import (
	"context"

	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

// MaxPrograms bounds one page of ListProgramsHandler.
const MaxPrograms = 1000

// ReadProgramHandler reads one program, for its organisation or an operator.
type ReadProgramHandler struct {
	Home home.Home
}

// Handle returns the program, with its history if q.History is set.
func (h ReadProgramHandler) Handle(ctx context.Context, q home.Read) (structs.ProgramView, error) {
	return h.Home.Read(ctx, q)
}

// ListProgramsHandler lists programs page by page.
type ListProgramsHandler struct {
	Home home.Home
}

// Handle returns at most MaxPrograms programs with ids after q.After, in id order.
func (h ListProgramsHandler) Handle(ctx context.Context, q home.List) ([]structs.ProgramView, error) {
	if q.Limit <= 0 || q.Limit > MaxPrograms {
		q.Limit = MaxPrograms
	}
	return h.Home.List(ctx, q)
}
