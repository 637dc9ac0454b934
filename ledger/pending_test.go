package ledger

import (
	"encoding/json"
	"fmt"
	"testing"
)

// afterLoss returns the state of a program at the next process of the owner's node.
func afterLoss(total, life int) *Program {
	p := NewProgram(total, fmt.Sprintf("owner/%d/1", life))
	p.MarkKept()
	return p
}

// reserveAfterLoss reserves a turn with the ends of the turns that are stored read.
func reserveAfterLoss(p *Program, row Row, id string, tokens int, stored map[string]Usage) (Row, bool) {
	p.Reserve(id, tokens, false)
	c := p.Change(id, tokens, nil)
	c.Resolved(stored)
	res := row.Apply(c)
	p.Applied(c, res)
	return res.Row, res.Reserved
}

// beginTurn records that a turn begins.
func beginTurn(t *testing.T, p *Program, row Row, id string) Row {
	t.Helper()
	if s := p.Begin(id); s != BeginPending {
		t.Fatalf("state %d of a turn that has not begun", s)
	}
	row, _ = change(p, row, "", 0, nil)
	if s := p.Begin(id); s != BeginDone {
		t.Fatalf("state %d of a turn that has begun, row %+v", s, row)
	}
	return row
}

// TestTwoLossesCountWhatWasHandedOut: all processes end twice, each time with a turn under way that has handed out tokens. None of
// these may be granted again.
func TestTwoLossesCountWhatWasHandedOut(t *testing.T) {
	const total, most = 300, 100
	row, begun := Row{Total: total}, 0
	for life := 1; life <= 5; life++ {
		p := afterLoss(total, life)
		id, ok := fmt.Sprintf("t%d", life), false
		if row, ok = reserveAfterLoss(p, row, id, most, nil); ok {
			row = beginTurn(t, p, row, id)
			begun++
		}
	}
	if begun != total/most {
		t.Errorf("%d turns of %d tokens began in a budget of %d", begun, most, total)
	}
}

// TestParallelTurnsThatReachedNothing: sub-agents wait for engines that are silent when all processes end, several at once and twice in
// a row. All of their tokens must be free again.
func TestParallelTurnsThatReachedNothing(t *testing.T) {
	const total, most = 300, 100
	row := Row{Total: total}
	for life := 1; life <= 3; life++ {
		p := afterLoss(total, life)
		for n := range total / most {
			var ok bool
			if row, ok = reserveAfterLoss(p, row, fmt.Sprintf("t%d-%d", life, n), most, nil); !ok {
				t.Fatalf("turn %d after %d losses was refused, row %+v", n, life-1, row)
			}
		}
	}
}

// TestDroppedReservationDoesNotBegin: a process that seemed to have ended still serves a turn, and its reservation was given to
// another turn. It must not hand tokens out; while there is room, its turn begins all the same.
func TestDroppedReservationDoesNotBegin(t *testing.T) {
	const most = 100
	for _, total := range []int{most, 2 * most} {
		silent, owner := NewProgram(total, "silent/1/1"), afterLoss(total, 1)
		silent.MarkKept()
		row, _ := change(silent, Row{Total: total}, "t1", most, nil)
		row.Drawn[settledKey] = total - most
		c := owner.Change("t2", most, nil)
		c.Gone = []string{"silent/1"}
		c.Resolved(nil)
		if row = row.Apply(c).Row; total == 2*most {
			row.Drawn[settledKey] = 0
		}
		silent.Begin("t1")
		row, _ = change(silent, row, "", 0, nil)
		if s, room := silent.Begin("t1"), total == 2*most; s == BeginDone != room {
			t.Errorf("room %v: state %d of a turn whose reservation was dropped, row %+v", room, s, row)
		}
		if row.Remaining() < 0 {
			t.Errorf("the row is exceeded: %+v", row)
		}
	}
}

// TestRunningProcessKeepsItsReservation: a turn of a running process waits for an engine when another turn finds too few tokens.
// Its reservation must stay.
func TestRunningProcessKeepsItsReservation(t *testing.T) {
	running := NewProgram(100, "running/1/1")
	running.MarkKept()
	row, _ := change(running, Row{Total: 100}, "t1", 100, nil)
	if row, ok := reserveAfterLoss(afterLoss(100, 1), row, "t2", 100, nil); ok {
		t.Errorf("the tokens of a turn that waits were granted again, row %+v", row)
	}
}

// TestRowOfABuildBeforeCountsAsBegun: the build before doesn't know of pending reservations and drops what it doesn't know. Its rows
// and those that it has written again count each reservation at its most, and a turn of this build begins in them.
func TestRowOfABuildBeforeCountsAsBegun(t *testing.T) {
	p := afterLoss(100, 1)
	row, _ := change(p, Row{Total: 100}, "t1", 100, nil)
	var before struct {
		Total int            `json:"total"`
		Drawn map[string]int `json:"drawn"`
	}
	if err := json.Unmarshal(row.Encode(), &before); err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(before)
	if err != nil {
		t.Fatal(err)
	}
	if row, err = DecodeRow(value); err != nil {
		t.Fatal(err)
	}
	if _, ok := reserveAfterLoss(afterLoss(100, 2), row, "t2", 100, nil); ok {
		t.Error("tokens that may have been handed out were granted again")
	}
	beginTurn(t, p, row, "t1")
}

// TestReservationForABuildBeforeCountsAsBegun: an entry of the build before can't tell when its turn begins, so the owner must count its
// tokens at once.
func TestReservationForABuildBeforeCountsAsBegun(t *testing.T) {
	p := afterLoss(100, 1)
	p.ServedBy("t1", "")
	row, _ := change(p, Row{Total: 100}, "t1", 100, nil)
	if p.Pending("t1") || len(row.Pending) > 0 {
		t.Errorf("the turn waits for its beginning, row %+v", row)
	}
	if _, ok := reserveAfterLoss(afterLoss(100, 2), row, "t2", 100, nil); ok {
		t.Error("its tokens were granted again")
	}
}

// TestReservationsInMemoryLeaveRoom: turns that are reserved in memory count against those that are reserved in the row, also in a write in
// flight, and what they don't use is free again without a write.
func TestReservationsInMemoryLeaveRoom(t *testing.T) {
	const total, most = 600, 100
	p := afterLoss(total, 1)
	if p.ReserveInMemory("t0", most) {
		t.Fatal("a turn was reserved in memory without a row")
	}
	row, _ := change(p, Row{Total: total}, "t0", most, nil)
	held := 0
	for n := 1; p.ReserveInMemory(fmt.Sprint("t", n), most); n++ {
		held++
	}
	if want := total/most - inMemoryMargin; held != want {
		t.Fatalf("%d turns are reserved in memory, want %d: the last ones go to the row", held, want)
	}
	row, ok := change(p, row, "last", most, nil)
	if _, more := change(p, row, "one more", most, nil); !ok || more {
		t.Errorf("reserved the last %v and one more %v, row %+v, %d in memory", ok, more, row, held)
	}
	for n := range held {
		p.Settle(fmt.Sprint("t", n+1), 0, false)
	}
	if p.Flush() {
		t.Error("turns that never began are to be written")
	}
	if _, ok := change(p, row, "again", most, nil); !ok {
		t.Error("the tokens of turns that never began are not free")
	}
}

// TestTurnReservedInMemoryBeginsWithinTheBudget: another entry took what the remembered row has left. A turn reserved in memory must not begin.
func TestTurnReservedInMemoryBeginsWithinTheBudget(t *testing.T) {
	p := afterLoss(400, 1)
	row, _ := change(p, Row{Total: 400}, "t0", 100, nil)
	if !p.ReserveInMemory("t1", 100) {
		t.Fatal("the turn was not reserved in memory")
	}
	row.Drawn[settledKey] = 300
	p.Begin("t1")
	if row, _ = change(p, row, "", 0, nil); p.Begin("t1") != BeginLost || row.Remaining() != 0 {
		t.Errorf("the turn begins beyond the budget, row %+v", row)
	}
}

// TestClaimedTurnThatReachedNothing: the row was slow, so a turn of a kept program was claimed. It has reached no engine when all processes
// end, and its tokens must be free again. One that has begun counts, whether its claim was recorded before or after.
func TestClaimedTurnThatReachedNothing(t *testing.T) {
	const total, most = 100, 100
	for _, begun := range []bool{false, true} {
		p := afterLoss(total, 1)
		p.Reserve("t1", most, false)
		if _, _, ok := p.Claim("t1", most, most, nil); !ok || !p.Confirm("t1", nil) {
			t.Fatal("the turn was not claimed")
		}
		row, _ := change(p, Row{Total: total}, "", 0, nil)
		if begun {
			if s := p.Begin("t1"); s != BeginDone || !p.Flush() {
				t.Fatalf("state %d of a claimed turn that begins, and to be recorded: %v", s, p.Flush())
			}
			row, _ = change(p, row, "", 0, nil)
		}
		if row, ok := reserveAfterLoss(afterLoss(total, 2), row, "t2", most, nil); ok == begun {
			t.Errorf("begun %v: another turn is reserved: %v, row %+v", begun, ok, row)
		}
	}
}

// TestClaimUnderAPendingKeyUsesTheSlack: a turn was claimed while the write that reserves it was in flight, and the row shows that
// reservation as pending. It may be dropped, so another entry must count the claim towards the slack all the same.
func TestClaimUnderAPendingKeyUsesTheSlack(t *testing.T) {
	const total, most = 200, 100
	key := turnKey("t1", false)
	p := afterLoss(total, 1)
	row, _ := change(p, Row{Total: total, Drawn: map[string]int{key: most}, Pending: map[string]string{key: "a/1"}}, "t2", most, nil)
	if _, pending := row.Pending[key]; !pending {
		t.Fatalf("the reservation is not pending: %+v", row)
	}
	if _, _, ok := p.Claim("t3", most, most, Grants{key: most}); ok {
		t.Error("the slack was claimed twice")
	}
}
