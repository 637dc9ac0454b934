package runner

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
)

// instantHomeLog commits each append at once.
type instantHomeLog struct {
	r *Runner
	n uint64
}

func (l *instantHomeLog) Append(_ context.Context, entries ...homelog.Entry) (uint64, error) {
	l.n += uint64(len(entries))
	go l.r.Committed(l.n)
	return l.n, nil
}

// newInstantRunner returns a runner with one shard, whose home log, table and upstreams answer
// without delay.
func newInstantRunner(b *testing.B) *Runner {
	log := &instantHomeLog{}
	services := &fakeServices{}
	r := New(Config{
		Log: "e1-a", Engines: services, Tools: services, HomeLog: log, Table: newFakeTable(), Shards: 1,
		Program: program.Config{Tools: map[string]program.Tool{"search": {}}, MaxHistoryTokens: 1 << 40},
	})
	log.r = r
	b.Cleanup(r.Close)
	return r
}

// BenchmarkTurnOfNewProgram opens a program, runs a turn of a model call, a tool call and a
// second model call, and ends the program.
func BenchmarkTurnOfNewProgram(b *testing.B) {
	r := newInstantRunner(b)
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id, err := r.Open(ctx, structs.ProgramSpec{Organisation: "council"})
			if err == nil {
				err = r.Turn(ctx, home.Turn{Program: id, Number: 1, Content: "tool search {}; answer 1"},
					func(structs.TurnEvent) error { return nil })
			}
			if err == nil {
				err = r.End(ctx, home.End{Program: id})
			}
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkOpenPrograms reports the heap memory per open program with an empty history.
func BenchmarkOpenPrograms(b *testing.B) {
	for _, programs := range []int{200, 2000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			for b.Loop() {
				r := newInstantRunner(b)
				before := heapInUse()
				for i := range programs {
					spec := structs.ProgramSpec{Organisation: "council", Key: fmt.Sprint(i), Kind: "draft", Model: "large"}
					if _, err := r.Open(context.Background(), spec); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapInUse()-before)/float64(programs), "bytes/program")
				r.Close()
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
