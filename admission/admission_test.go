package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"pgregory.net/rapid"
)

// TestCapacityBound steps through random offers and ends. No more turns may be admitted than the
// capacity, each refusal must have the outcome not_run and a positive RetryAfter, and no state
// may be left after all turns have ended.
func TestCapacityBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 40).Draw(t, "capacity")
		m := New(Config{Capacity: capacity, BlockSize: rapid.IntRange(1, 8).Draw(t, "block")})
		now := time.Unix(1, 0)
		m.Step(now, Switch{Preset: structs.Preset{AdmitNew: true}})
		open := map[structs.ProgramID]bool{}
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "verb") == 0 {
				p := structs.ProgramID(fmt.Sprintf("p%d", rapid.IntRange(0, n).Draw(t, "ended")))
				m.Step(now, Ended{Program: p})
				delete(open, p)
				continue
			}
			o := Offer{Program: structs.ProgramID(fmt.Sprintf("p%d", n)),
				Organisation: structs.OrganisationID(rapid.SampledFrom([]string{"o1", "o1", "o1", "o2", "o3"}).Draw(t, "organisation")),
				Started:      rapid.Bool().Draw(t, "started"),
				Predicted:    time.Duration(rapid.IntRange(0, 1e10).Draw(t, "predicted"))}
			if rapid.Bool().Draw(t, "bounded") {
				o.Deadline = now.Add(time.Duration(rapid.IntRange(0, 1e10).Draw(t, "timeout")))
			}
			switch e := m.Step(now, o)[0].(type) {
			case Admit:
				open[o.Program] = true
			case Refuse:
				if e.Refusal.RetryAfter <= 0 || e.Refusal.Outcome != structs.OutcomeNotRun {
					t.Fatalf("refusal without RetryAfter or with another outcome than not_run: %+v", e.Refusal)
				}
			}
			if len(open) > capacity || m.lent > capacity || m.Running() != len(open) {
				t.Fatalf("%d turns admitted, %d running, %d lent, capacity %d", len(open), m.Running(), m.lent, capacity)
			}
		}
		for p := range open {
			m.Step(now, Ended{Program: p})
		}
		if m.lent != 0 || m.Organisations() != 0 || m.Running() != 0 {
			t.Fatalf("after all turns ended: lent=%d organisations=%d running=%d, want 0", m.lent, m.Organisations(), m.Running())
		}
	})
}

// TestQueueStarvesNoCall: newer calls, mostly of programs with less attained service, arrive as
// fast as calls are served. An older call must still be served before its deadline.
func TestQueueStarvesNoCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		now := time.Unix(1, 0)
		timeout := time.Duration(rapid.IntRange(1, 60).Draw(t, "timeout s")) * time.Second
		old := WaitingCall{Call: "old", Attained: rapid.Int64Range(0, 1<<40).Draw(t, "attained"), Deadline: now.Add(timeout)}
		q.Push(now, old)
		for n := 0; ; n++ {
			other := WaitingCall{Call: structs.CallID(fmt.Sprint(n)), Attained: rapid.Int64Range(0, 5000).Draw(t, "other"),
				Turn: 2, Deadline: now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "other s")) * time.Second)}
			q.Push(now, other)
			got, ok := q.Pop()
			if !ok || q.Len() < 0 {
				t.Fatalf("Pop found no call although one was pushed")
			}
			if got.Call == "old" {
				return
			}
			now = now.Add(time.Second)
			if now.After(old.Deadline) {
				t.Fatalf("call with %d attained tokens was not served within %v", old.Attained, timeout)
			}
		}
	})
}

// BenchmarkQueue measures a Pop and a Push while many calls wait.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{30, 300, 3_000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			var q Queue
			now := time.Unix(1000, 0)
			for i := range n {
				q.Push(now, WaitingCall{Call: structs.CallID(fmt.Sprint(i)), Attained: int64(i * 7919 % 50_000)})
			}
			b.ReportAllocs()
			for b.Loop() {
				w, _ := q.Pop()
				now = now.Add(time.Millisecond)
				q.Push(now, w)
			}
		})
	}
}

// BenchmarkOffer measures an Offer and an Ended with turns of many organisations in progress.
func BenchmarkOffer(b *testing.B) {
	for _, organisations := range []int{130, 1_300, 13_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			m := New(Config{Capacity: 2 * organisations, BlockSize: 8})
			now := time.Unix(1000, 0)
			m.Step(now, Switch{Preset: structs.Preset{AdmitNew: true}})
			offers := make([]Offer, 2*organisations)
			for i := range offers {
				offers[i] = Offer{Program: structs.ProgramID(fmt.Sprint("p", i)),
					Organisation: structs.OrganisationID(fmt.Sprint("o", i%organisations))}
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				m.Step(now, offers[i%len(offers)])
				m.Step(now, Ended{Program: offers[(i+organisations)%len(offers)].Program})
				i++
			}
		})
	}
}
