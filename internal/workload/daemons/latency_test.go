package daemons

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/workload"
	"github.com/buckthornroute/buckthornroute/structs"
)

// BenchmarkAddedLatency reports the latency of a turn with one short model call over the HTTP
// API of an entry, and that of the same call sent directly to the engine. The engine runs
// 1,000 times as fast as modelled, so that nearly all of both latencies is transport.
func BenchmarkAddedLatency(b *testing.B) {
	d, err := workload.NewDeployment(workload.Taichung)
	if err != nil {
		b.Fatal(err)
	}
	d.Engines.Count = 1
	ctx := context.Background()
	s, err := New(ctx, Config{Deployment: d, TimeScale: 0.001, Entries: 1,
		Preset: structs.Preset{Name: "day", Policy: "cost", LatencyWeight: 1, WasteWeight: 1, AdmitNew: true,
			TurnTimeouts: map[string]structs.Duration{"default": structs.Duration(time.Minute)}}})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	const content = "question\nplan: answer 4"
	organisation := workload.Organisations(d)[0]
	b.Run("direct", func(b *testing.B) {
		m := engine.NewModel("m", s.running.StandIns.Addresses()[workload.EngineName(d, 0)], nil)
		defer m.Close()
		n := 0
		measure(b, func() error {
			n++
			_, err := m.Call(ctx, structs.ModelCall{Call: structs.CallID(fmt.Sprintf("log.%d/1/1", n)), Model: d.Model,
				Messages: []structs.Message{{Role: structs.RoleUser, Content: content}}}, engine.CallOptions{}, nil)
			return err
		})
	})
	n := 0
	var program workload.ProgramRef
	open := func() error {
		id, err := s.Open(ctx, structs.ProgramSpec{Organisation: organisation, Kind: "question", Model: d.Model,
			TurnTimeout: time.Minute, Key: fmt.Sprint("program", time.Now().UnixNano())})
		program, n = workload.ProgramRef{ID: id, Organisation: organisation}, 0
		return err
	}
	b.Run("entry", func(b *testing.B) {
		measure(b, func() error {
			n++
			return s.Turn(ctx, program, uint32(n), fmt.Sprint("turn", n), content, nil)
		}, open)
	})
	// The text of an answer is sent before its record is committed to the home log. Only the
	// mark that the answer is durable waits for the commit.
	b.Run("entry-first-token", func(b *testing.B) {
		var times []time.Duration
		for b.Loop() {
			if len(times)%turnsOfOneProgram == 0 {
				if err := open(); err != nil {
					b.Fatal(err)
				}
			}
			n++
			start, first := time.Now(), time.Duration(0)
			err := s.Turn(ctx, program, uint32(n), fmt.Sprint("turn", n), content, func() {
				if first == 0 {
					first = time.Since(start)
				}
			})
			if err != nil {
				b.Fatal(err)
			}
			times = append(times, first)
		}
		report(b, times)
	})
}

// turnsOfOneProgram is the number of measured turns after which a new program is opened.
const turnsOfOneProgram = 50

// measure reports the quantiles of the duration of f. Before every turnsOfOneProgram calls of f,
// it calls the optional function before, which is not measured.
func measure(b *testing.B, f func() error, before ...func() error) {
	b.Helper()
	var times []time.Duration
	for b.Loop() {
		if len(before) > 0 && len(times)%turnsOfOneProgram == 0 {
			if err := before[0](); err != nil {
				b.Fatal(err)
			}
		}
		start := time.Now()
		if err := f(); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(start))
	}
	report(b, times)
}

// report reports the median and the 99th percentile of the times.
func report(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.SortFunc(times, cmp.Compare[time.Duration])
	at := func(q float64) float64 { return float64(times[int(q*float64(len(times)-1))].Microseconds()) }
	b.ReportMetric(at(0.5), "median-us")
	b.ReportMetric(at(0.99), "p99-us")
}
