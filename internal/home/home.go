// Package home forwards calls on a program to its home. The home of a program is
// the entry that owns and runs it: its home log, the write-ahead log of that
// entry's incarnation, holds the program. The Home interface hides whether the home
// is this process or another entry reached over gRPC.
package home

import (
	"context"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Turn is a request to run a turn or to attach to one.
type Turn struct {
	Program      structs.ProgramID
	Organisation structs.OrganisationID
	Number       uint32
	// Key is the caller's idempotency key.
	Key     string
	Content string
	// Attach waits for a turn that was submitted before; Key and Content are unused.
	Attach bool
}

// End is a request to end a program.
type End struct {
	Program      structs.ProgramID
	Organisation structs.OrganisationID
	// Cancel also ends a running turn. Without it, ending a program that runs a turn is
	// refused.
	Cancel bool
}

// Read is a request for the view of one program. An operator's request has an
// empty Organisation.
type Read struct {
	Program      structs.ProgramID
	Organisation structs.OrganisationID
	// History includes the conversation in the view.
	History bool
}

// List is a request for the programs that a home runs, in the order of their ids.
type List struct {
	// Organisation limits the list to one organisation. An operator's request leaves
	// it empty to list all.
	Organisation structs.OrganisationID
	After        structs.ProgramID
	Limit        int
}

// Home runs programs. An error is a *structs.Refusal, the error of the context or, from
// Turn, the error that event returned.
type Home interface {
	// Open opens a program. If the specification has a key, Open is idempotent by the
	// organisation and the key.
	Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error)
	// Turn calls event for each event of the turn up to the answer. An error that
	// event returns ends the wait, but not the turn.
	Turn(ctx context.Context, turn Turn, event func(structs.TurnEvent) error) error
	// End ends a program.
	End(ctx context.Context, end End) error
	// Read returns the view of one program.
	Read(ctx context.Context, read Read) (structs.ProgramView, error)
	// List returns the views of the programs that match list, in the order of their ids.
	List(ctx context.Context, list List) ([]structs.ProgramView, error)
}
