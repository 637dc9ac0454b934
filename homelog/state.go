package homelog

import (
	"cmp"
	"slices"

	"github.com/buckthornroute/buckthornroute/structs"
)

// state is the index that results from applying a log's entries in order.
type state struct {
	// live are the programs that have an entry and have not ended.
	live map[structs.ProgramID]struct{}
	// perLog is the number of live programs by the log that they were opened in.
	perLog map[structs.LogID]int
	// takingOver are the logs whose takeover has begun and not ended.
	adopting map[structs.LogID]struct{}
	// takenOver maps each log taken over, as long as its redirect row exists, to the log
	// through which it was inherited. The value is empty for a log that was sealed for this one.
	adopted map[structs.LogID]structs.LogID
}

func newState() *state {
	return &state{
		live:     make(map[structs.ProgramID]struct{}),
		perLog:   make(map[structs.LogID]int),
		adopting: make(map[structs.LogID]struct{}),
		adopted:  make(map[structs.LogID]structs.LogID),
	}
}

// empty reports whether a checkpoint has nothing to store.
func (s *state) empty() bool { return len(s.live)+len(s.adopting)+len(s.adopted) == 0 }

// applyIndex applies one committed entry.
func (s *state) applyIndex(e Entry) {
	if !e.isOwn() {
		s.applyProgram(e)
		return
	}
	log := structs.LogID(e.Data)
	switch e.Kind {
	case kindAdopting:
		s.adopting[log] = struct{}{}
	case kindAbandoned:
		delete(s.adopting, log)
	case kindAdopted:
		delete(s.adopting, log)
		s.adopted[log] = structs.LogID(e.Program)
	case kindForgotten:
		delete(s.adopted, log)
	}
}

// applyProgram applies an entry of a program to the live programs.
func (s *state) applyProgram(e Entry) {
	_, known := s.live[e.Program]
	origin := e.Program.Log()
	switch {
	case e.Mark == MarkEnd && known:
		delete(s.live, e.Program)
		s.perLog[origin]--
		if s.perLog[origin] == 0 {
			delete(s.perLog, origin)
		}
	case e.Mark != MarkEnd && !known:
		s.live[e.Program] = struct{}{}
		s.perLog[origin]++
	}
}

// redirectNeeded reports whether callers may still need the redirect row of the log: because
// a program opened in it is live, or because the redirect of a log inherited through it
// still exists.
func (s *state) redirectNeeded(log structs.LogID) bool {
	if s.perLog[log] > 0 {
		return true
	}
	for other, through := range s.adopted {
		if through == log && other != log {
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
	settled := newState()
	for _, e := range entries {
		settled.applyIndex(e)
	}
	kept := make([]Entry, 0, len(entries))
	for i, e := range entries {
		if e.isOwn() {
			if !complete || settled.keepsOwn(e) {
				kept = append(kept, e)
			}
			continue
		}
		if i >= first[e.Program] {
			kept = append(kept, e)
		}
	}
	return kept
}

// firstNeeded returns, for each program with a marked entry, the index of the first of its
// entries that is still needed.
func firstNeeded(entries []Entry, complete bool) map[structs.ProgramID]int {
	first := make(map[structs.ProgramID]int)
	for i, e := range entries {
		switch {
		case e.isOwn() || e.Mark == MarkNone:
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
func (e Entry) isOwn() bool {
	switch e.Kind {
	case kindAdopting, kindAbandoned, kindAdopted, kindForgotten:
		return true
	}
	return false
}

// isNeeded reports whether the internal entry still contributes to s.
func (s *state) keepsOwn(e Entry) bool {
	log := structs.LogID(e.Data)
	switch e.Kind {
	case kindAdopting:
		_, open := s.adopting[log]
		return open
	case kindAdopted:
		_, kept := s.adopted[log]
		return kept
	}
	return false
}

// byProgram returns the entries of programs without the internal ones, sorted by program
// and, for each program, in their order.
func byProgram(entries []Entry) []Entry {
	var programs []Entry
	for _, e := range entries {
		if !e.isOwn() {
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
