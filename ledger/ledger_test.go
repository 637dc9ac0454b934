package ledger

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRowDraw(t *testing.T) {
	row := Row{Total: 1000}
	row, lump := row.Draw("a", Drawing{Need: 100})
	if lump != 500 {
		t.Fatalf("first draw took %d, want half", lump)
	}
	row, lump = row.Draw("b", Drawing{Need: 400})
	if lump != 400 || row.Remaining() != 100 {
		t.Fatalf("second draw took %d and left %d", lump, row.Remaining())
	}
	if _, lump = row.Draw("a", Drawing{Need: 101}); lump != 0 {
		t.Fatalf("drew %d of a row that holds 100", lump)
	}
	if back := row.Return("a", 200); back.Remaining() != 300 {
		t.Fatalf("after a return %d are left", back.Remaining())
	}
	decoded, err := DecodeRow(row.Encode())
	if err != nil || decoded.Remaining() != row.Remaining() {
		t.Fatalf("decoded %+v, %v", decoded, err)
	}
	for _, bad := range []string{"", "{}", `{"total":-1}`, `{"total":"5"}`} {
		if _, err := DecodeRow([]byte(bad)); !errors.Is(err, ErrBadRow) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// advance grants a turn ahead of the row when the account allows it.
func advance(a *Account, most int) bool {
	need, ok := a.AdvanceNeeded(most, Standing{})
	if ok {
		a.Advance(need)
	}
	return ok
}

func TestAdvanceIsBoundByHalfAndByTheRow(t *testing.T) {
	a := NewAccount(1716)
	if !advance(a, 572) || !a.Reserve(572) {
		t.Fatal("no advance for the first turn")
	}
	if advance(a, 572) {
		t.Fatal("advanced a second turn beyond half of the budget")
	}
	d := a.Drawing(0)
	if d.Need != 572 {
		t.Fatalf("the draw after the outage needs %d", d.Need)
	}
	a.Drawn(d, 858)
	if a.Free() != 858-572 || a.Advanced() != 0 {
		t.Fatalf("free %d, advanced %d", a.Free(), a.Advanced())
	}

	drawn := NewAccount(1716)
	drawn.Drawn(drawn.Drawing(1716), 1716)
	for range 3 {
		if !drawn.Reserve(572) {
			t.Fatal("a drawn turn was refused")
		}
	}
	if advance(drawn, 572) {
		t.Fatal("advanced beyond what the row held in all")
	}
}

func TestAdvanceCountsWhatOthersWereGranted(t *testing.T) {
	a := NewAccount(1000)
	a.Learn(Grants{"x": 700, "me": 50}, "me")
	if advance(a, 400) {
		t.Fatal("advanced beyond what the others left")
	}
	if !advance(a, 300) || a.Granted() != 300 {
		t.Fatalf("granted %d", a.Granted())
	}
}

func TestExhaustedAdvancesNothing(t *testing.T) {
	a := NewAccount(1000)
	a.Drawn(a.Drawing(100), 0)
	if !a.Exhausted() || advance(a, 100) {
		t.Fatal("an exhausted account advanced")
	}
}

// TestBudgetHoldsOverEntries plays draws, advances, settlements, returns and deaths of
// entries at random: what callers got never exceeds the budget and one turn.
func TestBudgetHoldsOverEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 100
		total := rapid.IntRange(1, 12).Draw(t, "turns") * most
		row := Row{Total: total}
		names := []string{"a", "b", "c"}
		accounts := map[string]*Account{}
		open := map[string]int{}
		for _, n := range names {
			accounts[n] = NewAccount(total)
		}
		handed := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n := rapid.SampledFrom(names).Draw(t, "entry")
			a := accounts[n]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if a.Reserve(most) {
					open[n]++
				} else if !a.Exhausted() {
					d := a.Drawing(most)
					next, lump := row.Draw(n, d)
					row = next
					a.Drawn(d, lump)
				}
			case 1:
				if open[n] > 0 {
					used := rapid.IntRange(0, most).Draw(t, "used")
					a.Settle(most, used)
					open[n]--
					handed += used
				}
			case 2:
				row = row.Return(n, a.Return())
				a.exhausted = false
			case 3: // the entry dies: open turns got anything, its account is lost
				handed += open[n] * most
				open[n] = 0
				next := n + "'" // a new life draws under a name of its own
				names[slices.Index(names, n)] = next
				accounts[next] = NewAccount(total)
			}
		}
		if handed > total {
			t.Fatalf("handed %d of %d", handed, total)
		}
	})
}

func TestProgramThatRunsAwayIsAdvancedOneTurn(t *testing.T) {
	a := NewAccount(3000)
	if !advance(a, 500) || !a.Reserve(500) {
		t.Fatal("no first turn")
	}
	if _, ok := a.AdvanceNeeded(500, Standing{Alone: true, Open: 1}); ok {
		t.Fatal("a second turn beside the first was granted ahead of the row")
	}
	a.Settle(500, 400)
	if _, ok := a.AdvanceNeeded(500, Standing{Alone: true, Surging: true}); ok {
		t.Fatal("a program that runs away got more than one turn")
	}
	if need, ok := a.AdvanceNeeded(500, Standing{Alone: true}); !ok || need != 400 {
		t.Fatalf("the next turn of another program: %d, %v", need, ok)
	}
}

func TestArrivals(t *testing.T) {
	now := time.Unix(100, 0)
	var calm, wild Arrivals
	for i := range 40 {
		if i%4 == 0 {
			now = now.Add(300 * time.Millisecond)
		}
		calm.Note(now)
	}
	if calm.Surging() {
		t.Error("four sub-agents at once count as running away")
	}
	for range 16 {
		now = now.Add(time.Millisecond)
		wild.Note(now)
	}
	if !wild.Surging() {
		t.Error("sixteen turns at once don't")
	}
}

// TestDrawLeavesWhatOthersWereGrantedAhead: an entry that is paused has granted tokens
// ahead of the row and told the others; one of them draws when the table is back.
func TestDrawLeavesWhatOthersWereGrantedAhead(t *testing.T) {
	other := NewAccount(180)
	other.Learn(Grants{"a": 110}, "b")
	d := other.Drawing(60)
	if _, lump := (Row{Total: 180}).Draw("b", d); lump != 60 {
		t.Fatalf("drew %d; 110 of 180 are granted already", lump)
	}
	if _, lump := (Row{Total: 160}).Draw("b", d); lump != 0 {
		t.Fatalf("drew %d; only 50 of 160 are left", lump)
	}
	// Once they are recorded they don't count twice.
	if _, lump := (Row{Total: 180, Drawn: map[string]int{"a": 110}}).Draw("b", d); lump != 60 {
		t.Fatalf("drew %d of the 70 that are left", lump)
	}
	own := NewAccount(180)
	own.Advance(60)
	if _, lump := (Row{Total: 180}).Draw("a", own.Drawing(0)); lump != 90 {
		t.Fatalf("recording its own grants drew %d", lump)
	}
}

func TestWitnessRecordsWhatIsMissing(t *testing.T) {
	row := Row{Total: 1000, Drawn: map[string]int{"a": 300}}
	granted := Grants{"a": 500, "b": 100}
	next, changed := row.Witness(granted)
	if !changed || next.Remaining() != 400 {
		t.Fatalf("%d are left of 1000 after 600 were granted", next.Remaining())
	}
	if _, changed = next.Witness(granted); changed {
		t.Fatal("a second witness records it again")
	}
}

// TestTwoDrawsBesideADeadOwner: the owner died with 1144 of 1716 tokens granted ahead of the
// row; two entries that know of it draw at the same time.
func TestTwoDrawsBesideADeadOwner(t *testing.T) {
	row := Row{Total: 1716}
	one, two := NewAccount(1716), NewAccount(1716)
	one.Learn(Grants{"dead": 1144}, "one")
	two.Learn(Grants{"dead": 1144}, "two")
	row, first := row.Draw("one", one.Drawing(572))
	// The second draw meets the row after the first, and has not heard of that.
	_, second := row.Draw("two", two.Drawing(572))
	if first != 572 || second != 0 {
		t.Fatalf("drew %d and %d beside 1144 of 1716", first, second)
	}
}

// TestGrantAheadOfADrawOnItsWay: the row took long, so a turn was granted ahead of it; the
// draw that ends later covers that turn, and nothing is drawn twice for it.
func TestGrantAheadOfADrawOnItsWay(t *testing.T) {
	a := NewAccount(500)
	d := a.Drawing(100)
	if !advance(a, 100) || !a.Reserve(100) {
		t.Fatal("no turn ahead of the row")
	}
	a.Drawn(d, 250)
	if a.Free() != 150 || a.Advanced() != 0 || a.Granted() != 250 {
		t.Errorf("free %d, ahead %d, granted %d", a.Free(), a.Advanced(), a.Granted())
	}
	small := NewAccount(500)
	d = small.Drawing(100)
	if !advance(small, 100) || !small.Reserve(100) || !advance(small, 100) || !small.Reserve(100) {
		t.Fatal("no two turns ahead of the row")
	}
	small.Drawn(d, 150)
	if small.Free() != 0 || small.Advanced() != 50 {
		t.Errorf("free %d, ahead %d after a draw of 150 for 200 in use", small.Free(), small.Advanced())
	}
}

// TestBudgetOutlivesItsHolders replays a loss of power of all entries: of a budget of two
// turns the first used a part, the second was granted and never sent. The program's next turn
// is then owed its tokens, though the row shows the budget as drawn.
func TestBudgetOutlivesItsHolders(t *testing.T) {
	const total, most, used = 1140, 570, 200
	row, owner := Row{Total: total}, NewAccount(total)
	for turn := range 2 {
		d := owner.Drawing(most)
		var lump int
		row, lump = row.Draw("owner/1", d)
		owner.Drawn(d, lump)
		if !owner.Reserve(most) {
			t.Fatalf("turn %d does not fit", turn)
		}
		if turn == 0 {
			owner.Settle(most, used)
		}
	}
	next := NewAccount(total)
	if _, lump := row.Draw("owner/2", next.Drawing(most)); lump < most {
		t.Errorf("drew %d for a turn of %d; %d of %d tokens were handed out", lump, most, used, total)
	}
}
