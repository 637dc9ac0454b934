package query

import (
	"context"

	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

// MaxPrograms bounds one page of ListPrograms.
const MaxPrograms = 1000

// ReadProgramHandler returns one program to its organisation or to an operator.
type ReadProgramHandler struct {
	Home home.Home
}

// Handle returns the program, with its history if asked for.
func (h ReadProgramHandler) Handle(ctx context.Context, q home.Read) (structs.ProgramView, error) {
	return h.Home.Read(ctx, q)
}

// ListProgramsHandler returns programs page by page.
type ListProgramsHandler struct {
	Home home.Home
}

// Handle returns up to MaxPrograms programs after the one named, in id order.
func (h ListProgramsHandler) Handle(ctx context.Context, q home.List) ([]structs.ProgramView, error) {
	if q.Limit <= 0 || q.Limit > MaxPrograms {
		q.Limit = MaxPrograms
	}
	return h.Home.List(ctx, q)
}
