package ledger

import (
	"errors"
	"slices"
	"testing"

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
	if returned := row.Lower("a", 300); returned.Remaining() != 300 {
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

// claim claims the tokens of a turn at an entry whose witnesses know nothing else.
func claim(p *Program, id string, tokens int, known Grants) bool {
	if _, _, ok := p.Claim(id, tokens, tokens, known); !ok {
		return false
	}
	if !p.Confirm(id, known) {
		p.Withdraw(id)
		return false
	}
	return true
}

// change applies a change for a turn to the row as an entry does, and returns the row and whether
// the turn is reserved.
func change(p *Program, row Row, id string, tokens int, known Grants) (Row, bool) {
	if id != "" {
		p.Reserve(id, tokens, false)
	}
	c := p.Change(id, tokens, known)
	res := row.Apply(c)
	p.Applied(c, res)
	return res.Row, p.Reserve(id, tokens, false) == OutcomeGranted
}

// TestClaimsStayWithinOneTurn: what an entry hands out beside the row is the tokens of one turn in all,
// also if its turns follow one another slowly. All that know of claims may end, and then these
// tokens are handed out again.
func TestClaimsStayWithinOneTurn(t *testing.T) {
	p := NewProgram(1716, "a/1/1")
	if !claim(p, "t1", 572, nil) {
		t.Fatal("the first turn was not claimed")
	}
	if claim(p, "t2", 572, nil) {
		t.Fatal("a second turn was claimed while the first was in progress")
	}
	p.Settle("t1", 264, false)
	if claim(p, "t3", 572, nil) {
		t.Fatal("claimed 572 tokens beside 264 that were handed out")
	}
	if _, n, ok := p.Claim("t4", 572, 300, nil); !ok || n != 308 || !p.Confirm("t4", nil) || p.Tokens("t4") != 308 {
		t.Fatalf("claimed %d of the 308 tokens that are left", n)
	}
	p.Settle("t4", 0, false)
	if !claim(p, "t5", 308, nil) {
		t.Fatal("a claim that was not used stays counted")
	}
	row, ok := change(p, Row{Total: 1716}, "t6", 572, nil)
	if !ok || row.Remaining() > 1716-264-308-572 {
		t.Fatalf("granted %v, %d tokens remain beside 264 used, 308 claimed and 572 drawn", ok, row.Remaining())
	}
	if !claim(p, "t7", 572, nil) {
		t.Fatal("the slack is not whole again though the row shows all claims")
	}
}

// TestClaimCountsOthers: the known claims of other entries reduce what an entry may claim, also those
// that it learns of only after its own claim was announced.
func TestClaimCountsOthers(t *testing.T) {
	p := NewProgram(1000, "a/1/1")
	if claim(p, "t1", 400, Grants{"turn:x": 100}) {
		t.Fatal("claimed 400 of a turn's 400 though another entry holds 100")
	}
	if _, _, ok := p.Claim("t2", 400, 400, nil); !ok {
		t.Fatal("the first claim was refused")
	}
	if p.Confirm("t2", Grants{"turn:t2": 400, "turn:x": 1}) {
		t.Fatal("confirmed a claim though a witness knew another")
	}
	p.Withdraw("t2")
	if !claim(p, "t3", 400, Grants{"turn:t3": 400}) {
		t.Fatal("its own claim, told by a witness, counted twice")
	}
}

// TestSpentProgramClaimsNothing: a change that found too few tokens left must end claims too, unless
// another entry may hold unused ones. Then no more may be claimed than the tokens of one turn beyond
// the budget, in all.
func TestSpentProgramClaimsNothing(t *testing.T) {
	p := NewProgram(1000, "a/1/1")
	if _, ok := change(p, Row{Total: 1000, Drawn: map[string]int{"settled": 950}}, "t1", 100, nil); ok {
		t.Fatal("drew 100 of 50 tokens")
	}
	if claim(p, "t1", 100, nil) {
		t.Fatal("a program that is spent claimed tokens")
	}
	held := NewProgram(1000, "a/1/1")
	row, ok := change(held, Row{Total: 1000, Drawn: map[string]int{"b/1/1": 1000}}, "t1", 100, nil)
	if ok || !claim(held, "t2", 100, nil) {
		t.Fatal("a turn was refused though another entry may hold unused tokens")
	}
	row, _ = change(held, row, "", 0, nil)
	if claim(held, "t3", 1, nil) || row.Remaining() != -100 {
		t.Fatalf("claimed beyond one turn's tokens, %d tokens remain", row.Remaining())
	}
	if other := NewProgram(1000, "c/1/1"); claim(other, "t4", 1, Grants{"turn:t2": 100}) {
		t.Fatal("an entry that has not seen the row claimed beside a recorded claim")
	}
}

// TestBudgetHoldsOverEntries runs random draws, settlements, returns and crashes of several
// entries. The tokens delivered to callers must never exceed the budget. Claims are not part of it.
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
				} else {
					next, block := row.Draw(n, a.NextDraw(maxTokens))
					row = next
					a.ApplyDraw(block)
				}
			case 1:
				if open[n] > 0 {
					used := rapid.IntRange(0, maxTokens).Draw(t, "used")
					a.Settle(maxTokens, used)
					open[n]--
					delivered += used
				}
			case 2:
				a.ReturnFree()
				row = row.Lower(n, a.Granted())
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

// TestDrawLeavesOthersClaims: a paused entry has claimed tokens and told the others. One of them
// draws when the table is reachable again, and must leave those tokens in the row.
func TestDrawLeavesOthersClaims(t *testing.T) {
	known := Grants{"turn:a": 110}
	if row, ok := change(NewProgram(180, "b/1/1"), Row{Total: 180}, "t", 60, known); !ok || row.Remaining() < 0 || row.Drawn["turn:a"] != 110 {
		t.Fatalf("reserved %v, row %+v; want at most the 70 that 110 claimed ones leave", ok, row)
	}
	if _, ok := change(NewProgram(160, "b/1/1"), Row{Total: 160}, "t", 60, known); ok {
		t.Fatal("drew 60 tokens though only 50 of 160 remain")
	}
	// Claims that the row shows must not be counted twice.
	if row, ok := change(NewProgram(180, "b/1/1"), Row{Total: 180, Drawn: map[string]int{"turn:a": 110}}, "t", 60, known); !ok || row.Remaining() < 0 || row.Drawn["turn:a"] != 110 {
		t.Fatalf("reserved %v, row %+v; want at most the 70 that remain", ok, row)
	}
	own := NewProgram(180, "a/1/1")
	if !claim(own, "t", 60, nil) {
		t.Fatal("the claim was refused")
	}
	if row, _ := change(own, Row{Total: 180}, "", 0, nil); row.Remaining() != 120 || len(own.Claims()) != 0 {
		t.Fatalf("the write that records the entry's own claim left %d, want 120", row.Remaining())
	}
}

// TestRecordGrants: claims of other entries, and grants of the build before, are recorded once, and a
// claim whose end the row shows is not raised again.
func TestRecordGrants(t *testing.T) {
	row := Row{Total: 1000, Drawn: map[string]int{"a": 300}}
	granted := Grants{"a": 500, "b": 100, "turn:t": 50}
	next, changed := row.Record(granted)
	if !changed || next.Remaining() != 350 {
		t.Fatalf("%d of 1000 tokens remain after 650 were granted, want 350", next.Remaining())
	}
	if _, changed = next.Record(granted); changed {
		t.Fatal("the same grants were recorded a second time")
	}
	ended := next.Apply(EndOf("t", 20)).Row
	if again, changed := ended.Record(granted); changed || again.Remaining() != 380 {
		t.Fatalf("%d tokens remain after the claim had ended with 20 used and was told again, want 380", again.Remaining())
	}
}

// TestTwoDrawsAfterOwnerCrash: the owner crashed after it had granted 1144 of 1716 tokens that the row
// did not show. Two entries that know of these draw one after the other, and neither
// knows of the other's draw; together they must not take more than the remaining 572.
func TestTwoDrawsAfterOwnerCrash(t *testing.T) {
	known := Grants{"turn:crashed": 1144}
	row, first := change(NewProgram(1716, "one/1/1"), Row{Total: 1716}, "t1", 572, known)
	// The second draw reads the row after the first, without any notice of it.
	_, second := change(NewProgram(1716, "two/1/1"), row, "t2", 572, known)
	if !first || second {
		t.Fatalf("drew %v and %v beside 1144 granted of 1716; want the first only", first, second)
	}
}

// TestClaimDuringAWrite: the table was slow, so a turn was claimed while the write that reserves it
// was in flight. The tokens must not be counted twice once both are in the row.
func TestClaimDuringAWrite(t *testing.T) {
	p := NewProgram(500, "a/1/1")
	p.MarkKept()
	c := p.Change("t", 100, nil)
	if !claim(p, "t", 100, nil) || p.Begin("t") != BeginDone {
		t.Fatal("the turn was not claimed, or does not begin")
	}
	res := (Row{Total: 500}).Apply(c)
	p.Applied(c, res)
	row, _ := change(p, res.Row, "", 0, nil)
	if row.Remaining() != 400 || len(p.Claims()) != 0 {
		t.Errorf("%d of 500 tokens remain beside one turn of 100, want 400; unrecorded claims %v", row.Remaining(), p.Claims())
	}
	p.Settle("t", 30, false)
	if row, _ = change(p, row, "", 0, nil); row.Remaining() != 470 {
		t.Errorf("%d of 500 tokens remain after the turn used 30, want 470", row.Remaining())
	}
}

// TestRepeatedReturn: the answer to the write that lowers a block was lost, and it is carried out again on
// the row that shows it. Tokens must not be returned twice: they would be handed out twice.
func TestRepeatedReturn(t *testing.T) {
	p := NewProgram(1000, "a/1/1")
	row, ok := change(p, Row{Total: 1000}, "t", 100, nil)
	if !ok {
		t.Fatal("the draw failed")
	}
	p.Settle("t", 90, false)
	p.Release()
	c := p.Change("", 0, nil)
	for try := range 3 {
		if row = row.Apply(c).Row; row.Remaining() != 910 {
			t.Fatalf("after %d writes of one return %d of 1000 tokens remain beside 90 used, want 910", try+1, row.Remaining())
		}
	}
}

// TestUnansweredReservation: the answer to a reservation was lost, its turn was refused, and the write
// may still be applied. The next write must remove it, or make it impossible.
func TestUnansweredReservation(t *testing.T) {
	for _, applied := range []bool{true, false} {
		p := NewProgram(1000, "a/1/1")
		p.MarkKept()
		c := p.Change("t", 600, nil)
		row := Row{Total: 1000}
		if applied {
			row = row.Apply(c).Row
		}
		p.Failed(c, true)
		p.Settle("t", 0, false)
		res := row.Apply(p.Change("", 0, nil))
		if !res.Write || res.Row.Remaining() != 1000 {
			t.Errorf("applied %v: written %v, %d of 1000 tokens remain, want a write after which all do", applied, res.Write, res.Row.Remaining())
		}
	}
}

// TestKeptTurnsOutliveTheirOwner reproduces review case 1: all entries were killed after two turns that
// are kept. The turns that are stored tell what was used, so the program has room for one more.
func TestKeptTurnsOutliveTheirOwner(t *testing.T) {
	const total, maxTokens, used = 1150, 575, 264
	owner := NewProgram(total, "owner/1/1")
	owner.MarkKept()
	row, stored := Row{Total: total}, map[string]Usage{}
	for _, id := range []string{"t0", "t1"} {
		var ok bool
		if row, ok = change(owner, row, id, maxTokens, nil); !ok {
			t.Fatalf("turn %s was not reserved", id)
		}
		owner.Settle(id, used, true)
		stored[turnKey(id, false)] = Usage{Tokens: used}
	}
	next := NewProgram(total, "owner/2/1")
	next.MarkKept()
	c := next.Change("t2", maxTokens, nil)
	c.Resolved(stored)
	if res := row.Apply(c); !res.Reserved || res.Row.Remaining() != total-2*used-maxTokens {
		t.Errorf("a turn of %d was refused though %d of %d tokens were used, row %+v", maxTokens, 2*used, total, res.Row)
	}
}

// TestBudgetOutlivesItsHolders reproduces a power failure of all entries. Of a budget of 2
// turns, the first used a part of its tokens and the second was reserved but never sent. The
// next turn of the program should get the unused tokens, but nothing tells that the second was not sent: a
// known fault.
func TestBudgetOutlivesItsHolders(t *testing.T) {
	const total, maxTokens, used = 1140, 570, 200
	owner := NewProgram(total, "owner/1/1")
	owner.MarkKept()
	row, stored := Row{Total: total}, map[string]Usage{}
	for turn, id := range []string{"t0", "t1"} {
		var ok bool
		if row, ok = change(owner, row, id, maxTokens, nil); !ok {
			t.Fatalf("turn %d was not reserved", turn)
		}
		if turn == 0 {
			owner.Settle(id, used, true)
			stored[turnKey(id, false)] = Usage{Tokens: used}
		}
	}
	next := NewProgram(total, "owner/2/1")
	next.MarkKept()
	c := next.Change("t2", maxTokens, nil)
	c.Resolved(stored)
	if res := row.Apply(c); !res.Reserved {
		t.Errorf("a turn of %d was refused; only %d of %d tokens were used, row %+v", maxTokens, used, total, res.Row)
	}
}

// TestOwnerForgetsOnlyItsOwnReservation: the owner reserved a turn and its answer came too late, so another entry
// reserved the turn in its place. When the owner is told to forget it, the tokens of the running turn must stay
// reserved, and once the turn is stored they must count once.
func TestOwnerForgetsOnlyItsOwnReservation(t *testing.T) {
	owner, other := NewProgram(1000, "a/1/1"), NewProgram(1000, "b/1/1")
	owner.MarkKept()
	other.MarkKept()
	row, _ := change(owner, Row{Total: 1000}, "t", 100, nil)
	other.Reserve("t", 100, true)
	c := other.Change("t", 100, nil)
	res := row.Apply(c)
	if other.Applied(c, res); !res.Reserved || other.Reserve("t", 100, true) != OutcomeGranted {
		t.Fatal("the turn was not reserved in place of the owner")
	}
	// All may end now, and the turn is stored with 40 tokens used.
	usage := Usage{Tokens: 40, StandIn: true}
	lost := NewProgram(1000, "c/1/1").Change("", 0, nil)
	lost.Resolved(map[string]Usage{turnKey("t", false): usage, turnKey("t", true): usage})
	if left := res.Row.Apply(lost).Row.Remaining(); left != 960 {
		t.Errorf("%d of 1000 tokens remain after one turn that used 40, want 960", left)
	}
	owner.Settle("t", 0, false)
	if row, _ = change(owner, res.Row, "", 0, nil); row.Remaining() != 900 {
		t.Errorf("%d of 1000 tokens remain while a turn of 100 runs, want 900", row.Remaining())
	}
}

// TestUnconfirmedClaimReservesNothing: the budget is used up, and an entry claims for a turn while its write of the row for the
// same turn is in flight. Until the claim is confirmed the turn is not reserved, whether the write would record the
// claim itself or another entry has done so.
func TestUnconfirmedClaimReservesNothing(t *testing.T) {
	const total, most = 300, 100
	full := Row{Total: total, Drawn: map[string]int{"turn:1": most, "turn:2": most, "turn:3": most}}
	for _, recordedByOther := range []bool{false, true} {
		p := NewProgram(total, "e/1/1")
		p.MarkKept()
		if out := p.Reserve("4", most, false); out != OutcomeObtain {
			t.Fatalf("outcome %v of a turn without tokens", out)
		}
		key, tokens, ok := p.Claim("4", most, most, nil)
		if !ok {
			t.Fatal("the claim was refused")
		}
		row, change := full, p.Change("4", most, nil)
		if recordedByOther {
			row, _ = full.Record(Grants{key: tokens})
		}
		res := row.Apply(change)
		if res.Reserved {
			t.Errorf("recorded by another entry %v: the turn is reserved, row %+v", recordedByOther, res.Row)
		}
		p.Applied(change, res)
		p.Withdraw("4") // too few witnesses
		if out := p.Reserve("4", most, false); out == OutcomeGranted {
			t.Errorf("recorded by another entry %v: the turn is granted after its claim was withdrawn", recordedByOther)
		}
		if after := res.Row.Apply(p.Change("", 0, nil)).Row; after.Remaining() != 0 {
			t.Errorf("recorded by another entry %v: %d tokens are left, want 0: %+v", recordedByOther, after.Remaining(), after)
		}
	}
}

// TestClaimIsNotRepeatedUnderItsKey: a claim was withdrawn and the row shows that. A second one under the same key would
// count nowhere: the row keeps what it has, and witnesses take it for a late notice of the first.
func TestClaimIsNotRepeatedUnderItsKey(t *testing.T) {
	const total, most = 100, 100
	p := NewProgram(total, "e/1/1")
	p.MarkKept()
	p.Reserve("2", most, false)
	if _, _, ok := p.Claim("2", most, most, nil); !ok {
		t.Fatal("the first claim was refused")
	}
	p.Withdraw("2")
	row := Row{Total: total, Drawn: map[string]int{"turn:1": 0}}
	change := p.Change("", 0, nil)
	res := row.Apply(change)
	p.Applied(change, res)
	if _, _, ok := p.Claim("2", most, most, nil); ok {
		t.Errorf("a second claim under a key was accepted, row %+v", res.Row)
	}
}

// TestWithdrawnClaimIsNotClaimedAgain: a claim was refused by the witnesses' answers and withdrawn, the row shows it with 0
// tokens, and the turn asks again, as an owner does whose change of the row has meanwhile found too few tokens
// left. The row keeps the key as it is and witnesses take a second claim for a late notice, so that its
// tokens would be known to nobody else.
func TestWithdrawnClaimIsNotClaimedAgain(t *testing.T) {
	const total, most = 1144, 572
	row := Row{Total: total, Drawn: map[string]int{"other/1/1": total}}
	p := NewProgram(total, "owner/1/1")
	p.Reserve("t", most, false)
	if _, _, ok := p.Claim("t", most, most, nil); !ok {
		t.Fatal("the first claim was refused here")
	}
	if p.Confirm("t", Grants{"turn:u": most}) {
		t.Fatal("the claim was confirmed beside another one")
	}
	p.Withdraw("t")
	c := p.Change("", 0, nil)
	res := row.Apply(c)
	p.Applied(c, res)
	if _, _, ok := p.Claim("t", most, most, nil); !ok || !p.Confirm("t", nil) {
		return
	}
	c = p.Change("", 0, nil)
	if res = res.Row.Apply(c); res.Row.Drawn["turn:t"] < most {
		t.Errorf("%d tokens were claimed again, the row shows %v", p.Tokens("t"), res.Row.Drawn)
	}
}

// TestUsedClaimStaysInTheRow: a turn ran on a claim and has ended, the row shows what it used. The change of the row
// that was started for the turn before the claim finds too few tokens left only then, and the owner claims for it once
// more. That must not take the used tokens out of the row, where others would draw them again.
func TestUsedClaimStaysInTheRow(t *testing.T) {
	const total, most = 1144, 572
	row := Row{Total: total, Drawn: map[string]int{"other/1/1": total}}
	p := NewProgram(total, "owner/1/1")
	p.Reserve("t", most, false)
	if _, _, ok := p.Claim("t", most, most, nil); !ok || !p.Confirm("t", nil) {
		t.Fatal("the first claim was refused")
	}
	write := func() {
		c := p.Change("", 0, nil)
		res := row.Apply(c)
		p.Applied(c, res)
		row = res.Row
	}
	write()
	p.Settle("t", most, false)
	row = row.Lower("other/1/1", total-most) // given back meanwhile
	write()
	if _, _, ok := p.Claim("t", most, most, nil); ok && !p.Confirm("t", nil) {
		p.Withdraw("t")
	}
	write()
	if row.Drawn["turn:t"] != most {
		t.Errorf("the turn used %d tokens, the row shows %v", most, row.Drawn)
	}
}

// TestTurnAskedAgainKeepsItsUsage: a turn has run and its key in the row shows what it used. Its caller asks again under the
// same id, of an owner that doesn't know of it, and is refused: the budget has too few tokens. What was used still counts.
func TestTurnAskedAgainKeepsItsUsage(t *testing.T) {
	const total, most, used = 300, 150, 60
	for _, resolved := range []map[string]Usage{nil, {"turn:4": {Tokens: used}}} {
		row := Row{Total: total, Drawn: map[string]int{"turn:1": 100, "turn:2": 100, "turn:4": used}}
		p := NewProgram(total, "e/2/1")
		p.MarkKept()
		p.Reserve("4", most, false)
		c := p.Change("4", most, nil)
		c.Resolved(resolved)
		res := row.Apply(c)
		if p.Applied(c, res); res.Reserved {
			t.Fatalf("the turn was reserved: %+v", res.Row)
		}
		if after := res.Row.Apply(p.Change("", 0, nil)).Row; after.Remaining() != total-200-used {
			t.Errorf("resolved %v: %d tokens remain, want %d: %+v", resolved, after.Remaining(), total-200-used, after)
		}
	}
}

// TestLateChangeOfClaimedTurnKeepsItsUsage: a turn's claim is confirmed, and the turn maybe ends, before the change for
// the turn is planned, or planned again. The row keeps what the turn used or still holds.
func TestLateChangeOfClaimedTurnKeepsItsUsage(t *testing.T) {
	const total, most, used = 300, 100, 60
	for _, drawn := range []map[string]int{{"turn:1": most}, {"turn:1": most, "turn:2": most, "turn:3": most}} {
		for _, settled := range []bool{false, true} {
			row, want := Row{Total: total, Drawn: drawn}, most
			p := NewProgram(total, "e/1/1")
			p.MarkKept()
			p.Reserve("4", most, false)
			if _, _, ok := p.Claim("4", most, most, nil); !ok || !p.Confirm("4", nil) || p.Begin("4") != BeginDone {
				t.Fatal("the claim was refused, or its turn does not begin")
			}
			if settled {
				p.Settle("4", used, true)
				want = used
			}
			for _, id := range []string{"4", "4", ""} {
				c := p.Change(id, most, nil)
				res := row.Apply(c)
				p.Applied(c, res)
				row = res.Row
			}
			if row.Drawn["turn:4"] != want {
				t.Errorf("ended %v, %d others: the row shows %d tokens of the turn, want %d: %+v", settled, len(drawn), row.Drawn["turn:4"], want, row)
			}
		}
	}
}

// TestReservationThatIsRefusedAgainIsEnded: a write reserves a turn and is not answered; when it is carried out again, a claim
// of another entry has taken the row over its budget, and the turn is refused. Its tokens must not stay reserved.
func TestReservationThatIsRefusedAgainIsEnded(t *testing.T) {
	const total = 100
	p := NewProgram(total, "e/1/1")
	p.MarkKept()
	p.Reserve("t", total, false)
	change := p.Change("t", total, nil)
	reserved := Row{Total: total}.Apply(change).Row
	over, _ := reserved.Record(Grants{"turn:u": total})
	res := over.Apply(change)
	if res.Reserved {
		t.Fatalf("the turn is reserved beyond the budget: %+v", res.Row)
	}
	p.Applied(change, res)
	p.Abandon("t")
	if after := res.Row.Apply(p.Change("", 0, nil)).Row; after.Drawn["turn:t"] != 0 {
		t.Errorf("the refused turn still has tokens: %+v", after)
	}
}
