package resume

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a table with one service's row and its upstreams, and entries that use Rows.
type model struct {
	now     time.Time
	row     Row
	nextRow int64
	// log holds each registration and removal of a version, registered the present ones.
	log        []registration
	registered map[string]bool
	// lists holds what a list shows after each entry of the log.
	lists []map[string]bool
	// dropped is the length of the log up to which the changes are not stored any more.
	dropped int
	entries []*modelEntry
	late    []lateWrite
	// began is when a stream last began at a version.
	began map[string]time.Time
	// named counts the times that a version was named, resumed the streams that were resumed.
	named, resumed int
}

type registration struct {
	version string
	present bool
}

// lateWrite is a write that the table applies later, if its condition still holds.
type lateWrite struct {
	row Row
	at  time.Time
}

type modelEntry struct {
	rows   *Rows
	seen   int // of the log; -1 before the first list
	frozen time.Time
	owner  bool
	// lag is how long its reads of the upstreams take, slow that of calls for the row.
	lag, slow time.Duration
	// list is when the list under way began, and what it will show; nil if there is none.
	list *modelList
	// call is the call for the row that is under way; nil if there is none.
	call *modelCall
}

type modelList struct {
	begun time.Time
	end   int
}

type modelCall struct {
	action Action
	begun  time.Time
	sent   bool
	row    Row // as read
	failed bool
}

func newModel(entries int) *model {
	m := &model{now: start, registered: map[string]bool{}, began: map[string]time.Time{}, lists: []map[string]bool{{}}}
	for range entries {
		m.entries = append(m.entries, &modelEntry{})
		m.restart(len(m.entries)-1, true)
	}
	return m
}

func (m *model) restart(i int, firstStart bool) {
	e := &modelEntry{rows: NewRows(firstStart, 50*time.Millisecond), seen: -1, owner: i == 0}
	e.rows.SetRoutes(m.now, map[string]string{"s": "r"})
	m.entries[i] = e
}

// startsFirst reports whether an entry that starts with first_start has not listed the upstreams yet. The
// setting says that no stream began before; until then no version goes.
func (m *model) startsFirst() bool {
	for _, e := range m.entries {
		if e.rows.firstStart && e.seen < 0 {
			return true
		}
	}
	return false
}

func (m *model) register(version string, present bool) {
	if m.registered[version] == present || !present && m.startsFirst() {
		return
	}
	m.registered[version] = present
	m.log = append(m.log, registration{version, present})
	list := map[string]bool{}
	for v, is := range m.registered {
		if is {
			list[v] = true
		}
	}
	m.lists = append(m.lists, list)
}

// apply writes a row if the condition holds.
func (m *model) apply(row Row) bool {
	if row.Version != m.row.Version {
		return false
	}
	m.nextRow++
	row.Version = m.nextRow
	if row.Named != "" {
		m.named++
	}
	m.row = row
	return true
}

func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	waiting := m.late[:0]
	for _, w := range m.late {
		if w.at.After(m.now) {
			waiting = append(waiting, w)
			continue
		}
		m.apply(w.row)
	}
	m.late = waiting
}

// listBegin starts a read of the upstreams, listEnd ends it. It shows what was registered when it began.
func (m *model) listBegin(e *modelEntry) {
	if e.list == nil {
		e.list = &modelList{begun: m.now, end: len(m.log)}
	}
}

func (m *model) listEnd(e *modelEntry) {
	if e.list == nil {
		return
	}
	l := Listing{Registered: map[string]map[string]bool{"s": m.lists[e.list.end]}, Passed: map[string]map[string]bool{"s": {}}}
	for _, c := range m.log[max(0, e.seen):e.list.end] {
		if c.present {
			l.Passed["s"][c.version] = true
		}
	}
	if e.seen < m.dropped {
		l.Interrupted, l.Passed = true, nil
	}
	first := e.seen < 0
	e.seen = e.list.end
	e.rows.Update(m.now, l)
	if first {
		rows := map[string]Row{}
		if m.row.Version > 0 {
			rows["s"] = m.row
		}
		e.rows.ReadAll(m.now, m.now, rows)
	}
	e.rows.Confirm(e.list.begun)
	e.list = nil
}

// callBegin starts the call for the row that is due; callSend lets the table do it; callEnd passes the answer.
func (m *model) callBegin(e *modelEntry) {
	if e.call != nil {
		return
	}
	if a := e.rows.Next(m.now, "s", e.owner); a.Operation != Nothing {
		e.call = &modelCall{action: a, begun: m.now}
	}
}

// outcome is what the table does with a call.
type outcome int

const (
	answered outcome = iota
	lost             // done, but not answered
	rejected
	delayed // rejected, but a write is applied later
)

func (m *model) callSend(e *modelEntry, o outcome, delay time.Duration) {
	c := e.call
	if c == nil || c.sent {
		return
	}
	c.sent = true
	switch {
	case o == delayed && c.action.Operation == WriteRow:
		m.late = append(m.late, lateWrite{c.action.Row, m.now.Add(delay)})
		c.failed = true
	case o == rejected || o == delayed:
		c.failed = true
	case c.action.Operation == ReadRow:
		c.row, c.failed = m.row, o == lost
	default:
		c.failed = !m.apply(c.action.Row) || o == lost
	}
}

func (m *model) callEnd(e *modelEntry) {
	c := e.call
	if c == nil || !c.sent {
		return
	}
	e.call = nil
	switch {
	case c.action.Operation == WriteRow:
		e.rows.Written("s", c.action.Row, !c.failed)
	case !c.failed:
		e.rows.Read(c.begun, m.now, "s", c.row)
	}
	if c.failed {
		e.rows.Failed(m.now, "s")
	}
}

// begin begins a stream at each version at which the entry may.
func (m *model) begin(e *modelEntry) {
	for i := range 3 {
		version := fmt.Sprint("v", i)
		if e.rows.MayBegin(m.now, "s", version) {
			m.began[version] = m.now
		}
	}
}

// resume resumes a stream that no entry knows. It may be any that began within Retention.
func (m *model) resume(e *modelEntry) error {
	version, refused := e.rows.Resume(m.now, "s", "r", m.row)
	if refused != "" {
		return nil
	}
	m.resumed++
	for other, at := range m.began {
		if other != version && m.now.Sub(at) <= Retention {
			return fmt.Errorf("a stream that began at %s %v ago is resumed at %s, row %+v", other, m.now.Sub(at), version, m.row)
		}
	}
	return nil
}

// run lets all entries that are not frozen work for a time, beside versions that come and go now and then.
func (m *model) run(r *rand.Rand, d time.Duration) error {
	for end := m.now.Add(d); m.now.Before(end); {
		m.pass(500 * time.Millisecond)
		if r.IntN(60) == 0 {
			m.register(fmt.Sprint("v", r.IntN(3)), true)
		} else if r.IntN(20) == 0 {
			m.register(fmt.Sprint("v", r.IntN(3)), false)
		}
		for _, e := range m.entries {
			if m.now.Before(e.frozen) {
				continue
			}
			if e.list != nil && m.now.Sub(e.list.begun) >= e.lag {
				m.listEnd(e)
			}
			m.listBegin(e)
			m.callSend(e, answered, 0)
			if e.call != nil && m.now.Sub(e.call.begun) >= e.slow {
				m.callEnd(e)
			}
			m.callBegin(e)
			m.begin(e)
			if err := m.resume(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// step does one thing of those that can happen.
func (m *model) step(r *rand.Rand) error {
	e := m.entries[r.IntN(len(m.entries))]
	if m.now.Before(e.frozen) {
		e = m.entries[0]
	}
	alive := !m.now.Before(e.frozen)
	version := fmt.Sprint("v", r.IntN(3))
	switch n := r.IntN(40); {
	case n < 4:
		m.register(version, true)
	case n < 9:
		m.register(version, false)
	case n < 10:
		m.dropped = len(m.log)
	case n < 11:
		i := r.IntN(len(m.entries))
		m.restart(i, false)
	case n < 12: // all entries end at once
		for i := range m.entries {
			m.restart(i, false)
		}
	case n < 14:
		e.frozen = m.now.Add(time.Duration(r.IntN(70)) * time.Second)
	case n < 15:
		m.entries[r.IntN(len(m.entries))].owner = r.IntN(2) == 0
		m.entries[r.IntN(len(m.entries))].lag = time.Duration(r.IntN(2)*r.IntN(24)) * time.Second
		m.entries[r.IntN(len(m.entries))].slow = time.Duration(r.IntN(2)*r.IntN(40)) * time.Second
	case n < 18:
		return m.run(r, time.Duration(r.IntN(80))*time.Second)
	case n < 20:
		m.pass(time.Duration(r.IntN(30_000)) * time.Millisecond)
	case n < 23:
		m.pass(time.Duration(r.IntN(300)) * time.Millisecond)
	case n < 25:
		m.callSend(e, outcome(r.IntN(4)), time.Duration(r.IntN(100_000))*time.Millisecond)
	case !alive:
	case n < 28:
		m.listBegin(e)
	case n < 31:
		m.listEnd(e)
	case n < 34:
		m.callBegin(e)
	case n < 37:
		m.callEnd(e)
	case n < 39:
		m.begin(e)
	default:
		return m.resume(e)
	}
	return nil
}

// TestNoStreamOfTwoVersions: whatever happens to the entries, the table and the upstreams, and in whatever
// order, no stream of unknown origin is resumed at another version than the one that began it.
func TestNoStreamOfTwoVersions(t *testing.T) {
	named, resumed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m := newModel(2 + r.IntN(3))
		for i := range 400 {
			if err := m.step(r); err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
		}
		named += m.named
		resumed += m.resumed
	})
	if named == 0 || resumed == 0 {
		t.Errorf("versions were named %d times and streams resumed %d times, want both", named, resumed)
	}
}

// TestOneVersionNeverWaits: while a service has one version only, streams begin at it at every entry that has
// a fresh list, also if the table rejects all calls for rows, and upstreams come and go.
func TestOneVersionNeverWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		m, dropped := newModel(3), false
		for range 300 {
			e := m.entries[r.IntN(len(m.entries))]
			switch r.IntN(8) {
			case 0:
				m.register("v0", dropped || r.IntN(3) > 0)
			case 1:
				m.restart(r.IntN(len(m.entries)), false)
			case 2:
				m.callSend(e, outcome(r.IntN(4)), time.Second)
				m.callEnd(e)
			case 3:
				m.callBegin(e)
			case 4:
				e.owner = !e.owner
			case 5: // versions that come back after that may have been away for long
				if m.registered["v0"] {
					dropped = true
					m.dropped = len(m.log)
				}
			default:
				m.pass(time.Duration(r.IntN(4000)) * time.Millisecond)
			}
			for _, e := range m.entries {
				m.listBegin(e)
				m.listEnd(e)
				if m.registered["v0"] && e.rows.Excluded(m.now, "s") != nil {
					t.Fatalf("streams wait though there was one version only; row %+v", m.row)
				}
			}
		}
	})
}
