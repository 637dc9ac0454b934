package homelog

import (
	"cmp"
	"slices"

	"github.com/buckthornroute/buckthornroute/structs"
)

// state is what the entries of a log establish when they are applied in order: its live
// programs and its takeovers. It does not hold the data of the entries.
type state struct {
	// live are the programs that have an entry and have not ended.
	live map[structs.ProgramID]struct{}
	// livePerLog is the number of live programs by the log that they were opened in.
	livePerLog map[structs.LogID]int
	// takingOver are the logs whose takeover has begun and not ended.
	takingOver map[structs.LogID]struct{}
	// takenOver maps each log taken over, as long as its redirect row exists, to the log
	// from whose owner it was inherited. The value is empty for a log whose takeover was
	// requested of this machine.
	takenOver map[structs.LogID]structs.LogID
}

func newState() *state {
	return &state{
		live:       make(map[structs.ProgramID]struct{}),
		livePerLog: make(map[structs.LogID]int),
		takingOver: make(map[structs.LogID]struct{}),
		takenOver:  make(map[structs.LogID]structs.LogID),
	}
}

// empty reports whether a checkpoint has nothing to store.
func (s *state) empty() bool { return len(s.live)+len(s.takingOver)+len(s.takenOver) == 0 }

// applyEntry applies one committed entry.
func (s *state) applyEntry(e Entry) {
	if !e.isInternal() {
		s.applyProgram(e)
		return
	}
	log := structs.LogID(e.Data)
	switch e.Kind {
	case kindTakeoverIntent:
		s.takingOver[log] = struct{}{}
	case kindTakeoverAbandoned:
		delete(s.takingOver, log)
	case kindTakenOver:
		delete(s.takingOver, log)
		s.takenOver[log] = structs.LogID(e.Program)
	case kindRedirectDeleted:
		delete(s.takenOver, log)
	}
}

// applyProgram applies an entry of a program to the live programs.
func (s *state) applyProgram(e Entry) {
	_, known := s.live[e.Program]
	origin := e.Program.Log()
	switch {
	case e.Mark == MarkEnd && known:
		delete(s.live, e.Program)
		s.livePerLog[origin]--
		if s.livePerLog[origin] == 0 {
			delete(s.livePerLog, origin)
		}
	case e.Mark != MarkEnd && !known:
		s.live[e.Program] = struct{}{}
		s.livePerLog[origin]++
	}
}

// redirectNeeded reports whether the callers of a program may still need the redirect row of
// the log. They may while a program opened in the log is live, or while the redirect row of a
// log inherited from it exists, since that row may lead callers to this one.
func (s *state) redirectNeeded(log structs.LogID) bool {
	if s.livePerLog[log] > 0 {
		return true
	}
	for other, from := range s.takenOver {
		if from == log && other != log {
			return true
		}
	}
	return false
}

// fold drops the entries that later ones supersede and preserves the order of the rest.
// complete means that no earlier entries exist: then an ended program is dropped entirely.
// Otherwise the entry that ended it stays, to cancel the earlier ones.
func fold(entries []Entry, complete bool) []Entry {
	first := firstNeeded(entries, complete)
	final := newState()
	for _, e := range entries {
		final.applyEntry(e)
	}
	retained := make([]Entry, 0, len(entries))
	for i, e := range entries {
		if e.isInternal() {
			if !complete || final.isNeeded(e) {
				retained = append(retained, e)
			}
			continue
		}
		if i >= first[e.Program] {
			retained = append(retained, e)
		}
	}
	return retained
}

// firstNeeded returns, for each program with a marked entry, the index from which on its
// entries are still needed. Of a program without one, which is absent, all entries are needed.
func firstNeeded(entries []Entry, complete bool) map[structs.ProgramID]int {
	first := make(map[structs.ProgramID]int)
	for i, e := range entries {
		switch {
		case e.isInternal() || e.Mark == MarkNone:
		case e.Mark == MarkEnd && complete:
			first[e.Program] = i + 1
		default:
			first[e.Program] = i
		}
	}
	return first
}

// isInternal reports whether the entry was written by the home log itself rather than
// appended for a program.
func (e Entry) isInternal() bool {
	switch e.Kind {
	case kindTakeoverIntent, kindTakeoverAbandoned, kindTakenOver, kindRedirectDeleted:
		return true
	}
	return false
}

// isNeeded reports whether the internal entry still contributes to s.
func (s *state) isNeeded(e Entry) bool {
	log := structs.LogID(e.Data)
	switch e.Kind {
	case kindTakeoverIntent:
		_, unfinished := s.takingOver[log]
		return unfinished
	case kindTakenOver:
		_, exists := s.takenOver[log]
		return exists
	}
	return false
}

// byProgram returns the entries of programs without the internal ones, sorted by program
// and, for each program, in their order.
func byProgram(entries []Entry) []Entry {
	var programs []Entry
	for _, e := range entries {
		if !e.isInternal() {
			programs = append(programs, e)
		}
	}
	slices.SortStableFunc(programs, func(a, b Entry) int { return cmp.Compare(a.Program, b.Program) })
	return programs
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
