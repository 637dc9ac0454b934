package entry

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// callPass is what a guard lets a call do.
type callPass struct {
	// alone says that nothing may run beside the call at its upstream.
	alone bool
}

// callGuard decides whether an attempt may be made at all, and learns how it ended.
type callGuard struct{}

func (g *callGuard) admit(time.Time, *structs.ModelCall) (callPass, error) { return callPass{}, nil }

func (g *callGuard) ended(time.Time, *structs.ModelCall, structs.UpstreamID, callPass, error) {}
