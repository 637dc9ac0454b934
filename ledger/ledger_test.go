package ledger

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRow: draws and returns must neither lose tokens nor exceed the total, and a malformed
// row must not decode.
func TestRow(t *testing.T) {
	row := Row{Total: 1000}
	row, block := row.Draw("a", DrawRequest{Need: 100})
	if block != 500 {
		t.Fatalf("first draw took %d of 1000, want 500", block)
	}
	row, block = row.Draw("b", DrawRequest{Need: 400})
	if block != 400 || row.Remaining() != 100 {
		t.Fatalf("second draw took %d and left %d; want 400 and 100", block, row.Remaining())
	}
	if _, block = row.Draw("a", DrawRequest{Need: 101}); block != 0 {
		t.Fatalf("a draw that needs 101 took %d of a row that holds 100", block)
	}
	if returned := row.Return("a", 200); returned.Remaining() != 300 {
		t.Fatalf("%d tokens remain after 200 were returned, want 300", returned.Remaining())
	}
	decoded, err := DecodeRow(row.Encode())
	if err != nil || decoded.Remaining() != row.Remaining() {
		t.Fatalf("decoded row %+v, error %v", decoded, err)
	}
	for _, bad := range []string{"", "{}", `{"total":-1}`, `{"total":"5"}`} {
		if _, err := DecodeRow([]byte(bad)); !errors.Is(err, ErrBadRow) {
			t.Errorf("row %q decoded with error %v, want ErrBadRow", bad, err)
		}
	}
}

// grantProvisionally grants a turn provisionally when the account allows it.
func grantProvisionally(a *Account, maxTokens int) bool {
	need, ok := a.ProvisionalGrant(maxTokens, GrantConditions{})
	if ok {
		a.GrantProvisionally(need)
	}
	return ok
}

// TestProvisionalGrantLimits: provisional grants of an owner that may not be the only one
// stay within half of the budget, and together with drawn tokens within all of it.
func TestProvisionalGrantLimits(t *testing.T) {
	a := NewAccount(1716)
	if !grantProvisionally(a, 572) || !a.Reserve(572) {
		t.Fatal("the first turn was not granted provisionally")
	}
	if grantProvisionally(a, 572) {
		t.Fatal("a second turn was granted beyond half of the budget")
	}
	d := a.NextDraw(0)
	if d.Need != 572 {
		t.Fatalf("the draw after the outage needs %d, want 572", d.Need)
	}
	a.ApplyDraw(d, 858)
	if a.Free() != 858-572 || a.Provisional() != 0 {
		t.Fatalf("free %d, provisional %d; want 286 and 0", a.Free(), a.Provisional())
	}

	drawn := NewAccount(1716)
	drawn.ApplyDraw(drawn.NextDraw(1716), 1716)
	for range 3 {
		if !drawn.Reserve(572) {
			t.Fatal("a turn was refused though its tokens were drawn")
		}
	}
	if grantProvisionally(drawn, 572) {
		t.Fatal("drawn and provisional tokens exceed the budget")
	}
}

// TestProvisionalGrantCountsOthers: the known grants of other incarnations reduce what an
// entry may grant provisionally.
func TestProvisionalGrantCountsOthers(t *testing.T) {
	a := NewAccount(1000)
	a.SetOthers(Grants{"x": 700, "me": 50}, "me")
	if grantProvisionally(a, 400) {
		t.Fatal("granted 400 though the others hold 700 of 1000")
	}
	if !grantProvisionally(a, 300) || a.Granted() != 300 {
		t.Fatalf("granted %d, want 300", a.Granted())
	}
}

// TestExhaustedAccountGrantsNothing: a draw that found too few tokens left must end
// provisional grants too, or the program would exceed its budget.
func TestExhaustedAccountGrantsNothing(t *testing.T) {
	a := NewAccount(1000)
	a.ApplyDraw(a.NextDraw(100), 0)
	if !a.Exhausted() || grantProvisionally(a, 100) {
		t.Fatal("an account whose draw took nothing is not exhausted, or granted tokens provisionally")
	}
}

// TestBudgetHoldsOverEntries runs random draws, settlements, returns and crashes of several
// entries. The tokens delivered to callers must never exceed the budget. Provisional grants
// are not part of it.
func TestBudgetHoldsOverEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTokens = 100
		total := rapid.IntRange(1, 12).Draw(t, "turns") * maxTokens
		row := Row{Total: total}
		names := []string{"a", "b", "c"}
		accounts := map[string]*Account{}
		open := map[string]int{}
		for _, n := range names {
			accounts[n] = NewAccount(total)
		}
		delivered := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n := rapid.SampledFrom(names).Draw(t, "entry")
			a := accounts[n]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if a.Reserve(maxTokens) {
					open[n]++
				} else if !a.Exhausted() {
					d := a.NextDraw(maxTokens)
					next, block := row.Draw(n, d)
					row = next
					a.ApplyDraw(d, block)
				}
			case 1:
				if open[n] > 0 {
					used := rapid.IntRange(0, maxTokens).Draw(t, "used")
					a.Settle(maxTokens, used)
					open[n]--
					delivered += used
				}
			case 2:
				row = row.Return(n, a.ReturnFree())
				a.exhausted = false
			case 3: // crash: open turns count as fully delivered, and the account is lost
				delivered += open[n] * maxTokens
				open[n] = 0
				next := n + "'" // the new incarnation draws under a name of its own
				names[slices.Index(names, n)] = next
				accounts[next] = NewAccount(total)
			}
		}
		if delivered > total {
			t.Fatalf("delivered %d tokens on a budget of %d", delivered, total)
		}
	})
}

// TestAtMostOneTurnIsGrantedProvisionally: a runaway program, or one with a turn in progress,
// must not be granted more than one turn provisionally, because the grants may be lost.
func TestAtMostOneTurnIsGrantedProvisionally(t *testing.T) {
	a := NewAccount(3000)
	if !grantProvisionally(a, 500) || !a.Reserve(500) {
		t.Fatal("the first turn was not granted provisionally")
	}
	if _, ok := a.ProvisionalGrant(500, GrantConditions{ExclusiveOwner: true, OpenTurns: 1}); ok {
		t.Fatal("a second turn was granted provisionally while the first was in progress")
	}
	a.Settle(500, 400)
	if _, ok := a.ProvisionalGrant(500, GrantConditions{ExclusiveOwner: true, Runaway: true}); ok {
		t.Fatal("a runaway program was granted more than one turn")
	}
	if need, ok := a.ProvisionalGrant(500, GrantConditions{ExclusiveOwner: true}); !ok || need != 400 {
		t.Fatalf("the next turn of a program that is no runaway: needs %d, allowed %v; want 400, true", need, ok)
	}
}

// TestRunawayDetector: 4 sub-agents that send a turn each every 300 ms are no runaway
// program, 16 turns at intervals of 1 ms are one.
func TestRunawayDetector(t *testing.T) {
	now := time.Unix(100, 0)
	var normal, burst RunawayDetector
	for i := range 40 {
		if i%4 == 0 {
			now = now.Add(300 * time.Millisecond)
		}
		normal.Observe(now)
	}
	if normal.Runaway() {
		t.Error("4 turns at once are detected as a runaway program")
	}
	for range 16 {
		now = now.Add(time.Millisecond)
		burst.Observe(now)
	}
	if !burst.Runaway() {
		t.Error("16 turns at once are not detected as a runaway program")
	}
}

// TestDrawLeavesOthersProvisionalGrants: a paused entry has granted tokens provisionally
// and notified the others. One of them draws when the table is reachable again, and must
// leave those tokens in the row.
func TestDrawLeavesOthersProvisionalGrants(t *testing.T) {
	other := NewAccount(180)
	other.SetOthers(Grants{"a": 110}, "b")
	d := other.NextDraw(60)
	if _, block := (Row{Total: 180}).Draw("b", d); block != 60 {
		t.Fatalf("drew %d, want 60; 110 of 180 are granted already", block)
	}
	if _, block := (Row{Total: 160}).Draw("b", d); block != 0 {
		t.Fatalf("drew %d, want 0; only 50 of 160 remain", block)
	}
	// Grants that the row records must not be counted twice.
	if _, block := (Row{Total: 180, Drawn: map[string]int{"a": 110}}).Draw("b", d); block != 60 {
		t.Fatalf("drew %d of the 70 that remain, want 60", block)
	}
	own := NewAccount(180)
	own.GrantProvisionally(60)
	if _, block := (Row{Total: 180}).Draw("a", own.NextDraw(0)); block != 90 {
		t.Fatalf("the draw that records the entry's own grants took %d, want 90", block)
	}
}

// TestRecordGrants: grants of other incarnations are recorded once.
func TestRecordGrants(t *testing.T) {
	row := Row{Total: 1000, Drawn: map[string]int{"a": 300}}
	granted := Grants{"a": 500, "b": 100}
	next, changed := row.RecordGrants(granted)
	if !changed || next.Remaining() != 400 {
		t.Fatalf("%d of 1000 tokens remain after 600 were granted, want 400", next.Remaining())
	}
	if _, changed = next.RecordGrants(granted); changed {
		t.Fatal("the same grants were recorded a second time")
	}
}

// TestTwoDrawsAfterOwnerCrash: the owner crashed after it had granted 1144 of 1716 tokens
// provisionally. Two entries that know of these grants draw one after the other, and neither
// knows of the other's draw; together they must not take more than the remaining 572.
func TestTwoDrawsAfterOwnerCrash(t *testing.T) {
	row := Row{Total: 1716}
	one, two := NewAccount(1716), NewAccount(1716)
	one.SetOthers(Grants{"crashed": 1144}, "one")
	two.SetOthers(Grants{"crashed": 1144}, "two")
	row, first := row.Draw("one", one.NextDraw(572))
	// The second draw reads the row after the first, without a notice of the first's grant.
	_, second := row.Draw("two", two.NextDraw(572))
	if first != 572 || second != 0 {
		t.Fatalf("drew %d and %d beside 1144 granted of 1716; want 572 and 0", first, second)
	}
}

// TestProvisionalGrantDuringADraw: the table was slow, so a turn was granted provisionally
// while a draw was in flight. The draw covers that turn when it ends, so that its tokens are
// not drawn twice.
func TestProvisionalGrantDuringADraw(t *testing.T) {
	a := NewAccount(500)
	d := a.NextDraw(100)
	if !grantProvisionally(a, 100) || !a.Reserve(100) {
		t.Fatal("the turn was not granted provisionally")
	}
	a.ApplyDraw(d, 250)
	if a.Free() != 150 || a.Provisional() != 0 || a.Granted() != 250 {
		t.Errorf("free %d, provisional %d, granted %d; want 150, 0 and 250", a.Free(), a.Provisional(), a.Granted())
	}
	small := NewAccount(500)
	d = small.NextDraw(100)
	if !grantProvisionally(small, 100) || !small.Reserve(100) || !grantProvisionally(small, 100) || !small.Reserve(100) {
		t.Fatal("the 2 turns were not granted provisionally")
	}
	small.ApplyDraw(d, 150)
	if small.Free() != 0 || small.Provisional() != 50 {
		t.Errorf("free %d, provisional %d after a draw of 150 for 200 in use; want 0 and 50", small.Free(), small.Provisional())
	}
}

// TestBudgetOutlivesItsHolders reproduces a power failure of all entries. Of a budget of 2
// turns, the first used a part of its tokens and the second was reserved but never sent. The
// next turn of the program should get the unused tokens, but they stay drawn and the row has
// too few left: a known fault.
func TestBudgetOutlivesItsHolders(t *testing.T) {
	const total, maxTokens, used = 1140, 570, 200
	row, owner := Row{Total: total}, NewAccount(total)
	for turn := range 2 {
		d := owner.NextDraw(maxTokens)
		var block int
		row, block = row.Draw("owner/1", d)
		owner.ApplyDraw(d, block)
		if !owner.Reserve(maxTokens) {
			t.Fatalf("turn %d does not fit the drawn tokens", turn)
		}
		if turn == 0 {
			owner.Settle(maxTokens, used)
		}
	}
	next := NewAccount(total)
	if _, block := row.Draw("owner/2", next.NextDraw(maxTokens)); block < maxTokens {
		t.Errorf("drew %d for a turn of %d; only %d of %d tokens were used", block, maxTokens, used, total)
	}
}
