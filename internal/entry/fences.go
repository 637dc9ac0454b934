package entry

import (
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// fences returns the fencing numbers of programs: the time when this process became
// their home, in Unix milliseconds. A home takes over later than the former home did,
// so its number is higher. Clocks that differ by more than that interval can cost a
// program its held cache, but never safety.
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
