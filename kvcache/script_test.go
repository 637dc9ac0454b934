package kvcache

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// world is one engine's cache, the view that an entry has of it, and a keeper.
type world struct {
	now     time.Time
	tracker *Tracker
	view    *View
	keeper  *RetentionPolicy
	sent    []Event
	saved   Snapshot
}

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

// blocks returns the chain "abc…" as one block a letter; a letter stands for its prefix.
func blocks(text string) []uint64 {
	out := make([]uint64, len(text))
	for i := range text {
		for _, r := range text[:i+1] {
			out[i] = out[i]<<8 | uint64(r)
		}
	}
	return out
}

func (w *world) start(d *datadriven.TestData) string {
	w.tracker = NewTracker(arg(d, "incarnation", "1"), arg(d, "limit", 4))
	w.sent = nil
	return ""
}

// deliver hands event number n, counted from 1, to the view.
func (w *world) deliver(n int) string {
	return fmt.Sprintf("needs_snapshot=%v\n", w.view.Apply(w.now, w.sent[n-1]))
}

func (w *world) step(d *datadriven.TestData) string {
	chain := blocks(arg(d, "blocks", ""))
	program := structs.ProgramID(arg(d, "program", "p1"))
	switch d.Cmd {
	case "start":
		return w.start(d)
	case "submit":
		cached, e := w.tracker.Use(chain)
		w.sent = append(w.sent, e)
		return fmt.Sprintf("cached=%d stored=%d removed=%d sequence=%d\n", cached, len(e.Stored), len(e.Removed), e.Sequence)
	case "hold":
		return fmt.Sprintf("held=%d\n", w.tracker.Hold(program, chain))
	case "release":
		return fmt.Sprintf("released=%v\n", w.tracker.Release(program))
	case "drop":
		w.sent = append(w.sent, w.tracker.Drop())
	case "deliver", "duplicate", "late":
		return w.deliver(arg(d, "event", len(w.sent)))
	case "beat":
		return fmt.Sprintf("needs_snapshot=%v\n", w.view.Apply(w.now, w.tracker.Beat()))
	case "snapshot":
		w.saved = w.tracker.Snapshot()
	case "resync":
		s := w.tracker.Snapshot()
		if arg(d, "saved", false) {
			s = w.saved
		}
		w.view.Resync(w.now, s)
	case "expected":
		w.view.Expect(w.now, chain)
	case "shrink":
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
	case "pause":
		w.keeper.Observe(arg(d, "tool", "t"), time.Duration(arg(d, "ms", 1000))*time.Millisecond)
	case "decide":
		return w.decide(d)
	default:
		return fmt.Sprintf("unknown verb %q", d.Cmd)
	}
	return ""
}

func (w *world) decide(d *datadriven.TestData) string {
	got := w.keeper.Decide(Pause{
		Tool:           arg(d, "tool", "t"),
		Tokens:         arg(d, "tokens", int64(4096)),
		Load:           structs.Load{KVLimitTokens: 100_000, PrefillRate: 4096},
		HeldTokens:     arg(d, "held", int64(0)),
		EvictionAge:    time.Duration(arg(d, "turnover_ms", 0)) * time.Millisecond,
		RecomputeShare: arg(d, "reuse", 0.5),
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

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		w := &world{now: time.Unix(1000, 0), tracker: NewTracker("1", 4), view: NewView(ViewConfig{MaxBlocks: 8}), keeper: NewRetentionPolicy()}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return w.step(d) })
	})
}
