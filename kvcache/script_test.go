package kvcache

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// testbed is one engine's cache, an entry's view of it, and a retention policy.
type testbed struct {
	now     time.Time
	tracker *Tracker
	view    *View
	policy  *RetentionPolicy
	// events holds the events of the tracker, in their order. The view gets them only by deliver.
	events []Event
	// savedSnapshot is the snapshot that the command "snapshot" took, for a late "resync".
	savedSnapshot Snapshot
}

// arg returns the value of a command's argument, or the given default if it is missing.
func arg[T any](d *datadriven.TestData, key string, value T) T {
	for _, given := range d.CmdArgs {
		if given.Key != key {
			continue
		}
		if _, err := fmt.Sscan(given.Vals[0], &value); err != nil {
			panic(fmt.Sprintf("argument %s=%q: %v", key, given.Vals[0], err))
		}
	}
	return value
}

// blocks returns one block per letter of text. The hash of a block is made of all letters
// up to it, one byte each, so the hash of its parent is its hash without the lowest byte.
func blocks(text string) []uint64 {
	out := make([]uint64, len(text))
	for i := range text {
		for _, r := range text[:i+1] {
			out[i] = out[i]<<8 | uint64(r)
		}
	}
	return out
}

func (w *testbed) start(d *datadriven.TestData) string {
	w.tracker = NewTracker(arg(d, "incarnation", "1"), arg(d, "limit", 4))
	w.events = nil
	return ""
}

// deliver applies event number n, counted from 1, to the view.
func (w *testbed) deliver(n int) string {
	return fmt.Sprintf("needs_snapshot=%v\n", w.view.Apply(w.now, w.events[n-1]))
}

func (w *testbed) step(d *datadriven.TestData) string {
	chain := blocks(arg(d, "blocks", ""))
	program := structs.ProgramID(arg(d, "program", "p1"))
	switch d.Cmd {
	case "start":
		return w.start(d)
	case "use":
		cached, e := w.tracker.Use(chain)
		w.events = append(w.events, e)
		return fmt.Sprintf("cached=%d stored=%d removed=%d sequence=%d\n", cached, len(e.Stored), len(e.Removed), e.Sequence)
	case "hold":
		return fmt.Sprintf("held=%d\n", w.tracker.Hold(program, chain))
	case "release":
		return fmt.Sprintf("released=%v\n", w.tracker.Release(program))
	case "evict-unheld":
		w.events = append(w.events, w.tracker.EvictUnheld())
	case "deliver", "duplicate", "late":
		return w.deliver(arg(d, "event", len(w.events)))
	case "heartbeat":
		return fmt.Sprintf("needs_snapshot=%v\n", w.view.Apply(w.now, w.tracker.Heartbeat()))
	case "snapshot":
		w.savedSnapshot = w.tracker.Snapshot()
	case "resync":
		s := w.tracker.Snapshot()
		if arg(d, "saved", false) {
			s = w.savedSnapshot
		}
		w.view.Resync(w.now, s)
	case "expect-cached":
		w.view.Expect(w.now, chain)
	case "truncate":
		w.view.Truncate(chain, arg(d, "n", 0))
	case "advance":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			return err.Error()
		}
		w.now = w.now.Add(step)
	case "expect":
		return fmt.Sprintf("engine=%d view=%d of %d; len=%d held=%d holds=%v\n", w.tracker.Cached(chain), w.view.Cached(w.now, chain),
			len(chain), w.tracker.Len(), w.tracker.Held(), w.tracker.Holds())
	case "observe":
		w.policy.Observe(arg(d, "tool", "t"), time.Duration(arg(d, "ms", 1000))*time.Millisecond)
	case "decide":
		return w.decide(d)
	default:
		return fmt.Sprintf("unknown verb %q", d.Cmd)
	}
	return ""
}

func (w *testbed) decide(d *datadriven.TestData) string {
	got := w.policy.Decide(Pause{
		Tool:           arg(d, "tool", "t"),
		Tokens:         arg(d, "tokens", int64(4096)),
		Load:           structs.Load{KVLimitTokens: 100_000, PrefillRate: 4096},
		HeldTokens:     arg(d, "held", int64(0)),
		EvictionAge:    time.Duration(arg(d, "eviction_age_ms", 0)) * time.Millisecond,
		RecomputeShare: arg(d, "recompute_share", 0.5),
		HoldMax:        time.Duration(arg(d, "max_ms", 60_000)) * time.Millisecond,
		TransferRate:   arg(d, "transfer", 0.0),
		Neighbours: []structs.Load{
			{Upstream: "n1", KVLimitTokens: 100_000, KVUsedTokens: 99_000},
			{Upstream: "n2", KVLimitTokens: 100_000, KVUsedTokens: arg(d, "neighbour", int64(50_000))},
			{Upstream: "n3", KVLimitTokens: 100_000, Draining: true},
		},
	})
	return fmt.Sprintf("%s for=%v neighbour=%q\n", got.Retention, got.For, got.Neighbour)
}

// TestScripts runs the scenarios of testdata. They guard against wrong evictions, views that
// count blocks which the engine has evicted or which no event confirms, and holds that cost
// more than recomputing the cache. testdata/guards.md lists which check each script guards.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		w := &testbed{now: time.Unix(1000, 0), tracker: NewTracker("1", 4), view: NewView(ViewConfig{MaxBlocks: 8}), policy: NewRetentionPolicy()}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return w.step(d) })
	})
}
