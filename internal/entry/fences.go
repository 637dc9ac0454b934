package entry

import (
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// fences gives the fencing numbers of programs: when this process became their
// home, in Unix milliseconds. A home comes after the one that it takes over from,
// so its number is higher; clocks that differ by more cost cache, never safety.
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

// adoptedAt records that programs of other logs were taken over.
func (f *fences) recordTakeover(now time.Time) { f.takenOver.Store(uint64(now.UnixMilli())) }

// of returns the fencing number of the program.
func (f *fences) of(program structs.ProgramID) uint64 {
	if program.Log() == f.log {
		return f.opened
	}
	return f.takenOver.Load()
}
