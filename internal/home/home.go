// Package home reaches the home of a program: the entry whose log holds it. The
// home may be this process or another one behind gRPC; callers of Home cannot tell.
package home

import (
	"context"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Turn asks a home to run a turn, or to attach to one.
type Turn struct {
	Program      structs.ProgramID
	Organisation structs.OrganisationID
	Number       uint32
	// Key is the caller's idempotency key.
	Key     string
	Content string
	// Attach waits for a turn submitted before; Key and Content are unused.
	Attach bool
}

// End asks a home to end a program.
type End struct {
	Program      structs.ProgramID
	Organisation structs.OrganisationID
	// Cancel ends a running turn too; without it a running program is refused.
	Cancel bool
}

// Read asks a home for one program. An empty Organisation is an operator's.
type Read struct {
	Program      structs.ProgramID
	Organisation structs.OrganisationID
	History      bool
}

// List asks a home for the programs that it runs, in id order.
type List struct {
	// Organisation restricts the list; empty gives all, for an operator.
	Organisation structs.OrganisationID
	After        structs.ProgramID
	Limit        int
}

// Home runs programs. Every error is a *structs.Refusal or the context's own.
type Home interface {
	// Open is idempotent by the organisation and the key of the specification.
	Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error)
	// Turn calls event for each event until the answer; event's error ends the wait, not the turn.
	Turn(ctx context.Context, turn Turn, event func(structs.TurnEvent) error) error
	End(ctx context.Context, end End) error
	Read(ctx context.Context, read Read) (structs.ProgramView, error)
	List(ctx context.Context, list List) ([]structs.ProgramView, error)
}
