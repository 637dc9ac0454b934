package entry

import (
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// fences returns the fencing numbers of programs, in Unix milliseconds: the start of this
// process for programs of its own log, and the time of its latest takeover for all others.
// A process takes over a program later than the former home did, so its number is higher.
// If the clocks differ by more than the time in between, its number can be lower: the
// program then loses its held cache, but safety is not affected.
type fences struct {
	log       structs.LogID
	opened    uint64
	takenOver atomic.Uint64
}

func newFences(log structs.LogID, now time.Time) *fences {
	f := &fences{log: log, opened: uint64(now.UnixMilli())}
	f.takenOver.Store(f.opened)
	return f
}

// recordTakeover records when programs of other logs were last taken over.
func (f *fences) recordTakeover(now time.Time) { f.takenOver.Store(uint64(now.UnixMilli())) }

// of returns the fencing number of the program.
func (f *fences) of(program structs.ProgramID) uint64 {
	if program.Log() == f.log {
		return f.opened
	}
	return f.takenOver.Load()
}
