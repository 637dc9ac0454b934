package runner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/committer"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
)

// fakeObjects is the object store in memory.
type fakeObjects struct {
	mu     sync.Mutex
	values map[string][]byte
}

func (o *fakeObjects) Put(_ context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.values[key] = value
	return nil
}

func (o *fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	value, found := o.values[key]
	if !found {
		return nil, platform.ErrNotFound
	}
	return value, nil
}

func (o *fakeObjects) Delete(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.values, key)
	return nil
}

// process is a home with its real journal.
type process struct {
	*bench
	c *committer.Committer
}

func newProcess(t *testing.T, log structs.LogID, table *fakeTable, objects *fakeObjects, world *fakeWorld) *process {
	p := &process{bench: &bench{t: t, world: world, table: table}}
	p.c = committer.New(committer.Config{
		HomeLog:     homelog.Config{Log: log, CheckpointEvery: 4},
		OnCommitted: func(through uint64) { p.r.Committed(through) },
		OnStopped:   func(successor structs.LogID) { p.r.Stopped(successor) },
	}, table, objects)
	p.r = New(Config{
		Log: log, Node: structs.NodeID(log), Engines: world, Tools: world, Journal: p.c, Table: table,
		Program: program.Config{
			Tools:        map[string]program.Tool{"search": {}, "publish": {NonRepeatable: true}},
			ToolFailures: 100,
		},
	})
	p.c.Start(t.Context())
	if err := p.c.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	return p
}

// stop ends the process as a crash would.
func (p *process) stop() {
	p.c.Stop()
	p.r.Close()
}

// TestHomesOverOneJournal moves a program from home to home through the journal: one is
// killed in mid-turn, one is fenced while it is at work, one hands over. The history is
// whole at the last, and no action ran twice.
func TestHomesOverOneJournal(t *testing.T) {
	const plan = "tool search {}; tool publish {}; agent 7; answer done"
	for at := 5 * time.Millisecond; at < 150*time.Millisecond; at += 5 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			table, objects := newFakeTable(), &fakeObjects{values: map[string][]byte{}}
			world := &fakeWorld{delay: 10 * time.Millisecond}
			start := func(log structs.LogID) *process { return newProcess(t, log, table, objects, world) }
			adopt := func(p *process, log structs.LogID) {
				entries, err := p.c.TakeOver(t.Context(), log)
				if err == nil {
					err = p.r.TakeOver(t.Context(), entries)
				}
				if err != nil {
					t.Fatalf("at %s: adopt %q: %v", at, log, err)
				}
			}
			a := start("e1-a")
			id := a.open(structs.ProgramSpec{Organisation: "council"})
			go func() { _, _, _ = a.turn(id, 1, plan) }()
			time.Sleep(at)
			a.stop()

			b := start("e2-b")
			adopt(b, "e1-a")
			b.whole(id, 1, plan)
			go func() { _, _, _ = b.turn(id, 2, plan) }()
			time.Sleep(at)

			c := start("e3-c")
			adopt(c, "e2-b")
			c.whole(id, 2, plan)
			b.stop()

			if err := c.r.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			entries, err := c.r.HandOver(t.Context())
			if err == nil {
				_, err = c.c.Append(t.Context(), entries...)
			}
			d := start("e4-d")
			if err == nil {
				err = c.c.Close(t.Context(), func(context.Context, structs.LogID) error {
					adopt(d, "e3-c")
					return nil
				})
			}
			if err != nil {
				t.Fatalf("hand over: %v", err)
			}
			d.whole(id, 3, plan)
			d.whole(id, 1, plan)
			d.onlyProgram(id)
			for key, n := range world.runs {
				if key[0] == 'p' && n > 1 {
					t.Fatalf("at %s: %s ran %d times", at, key, n)
				}
			}
			c.r.Close()
			d.stop()
		})
	}
}

// whole runs or rejoins a turn, whose answer must be whole and kept. An action that a dead
// home claimed and did not send may be in doubt.
func (p *process) whole(id structs.ProgramID, number uint32, plan string) {
	p.t.Helper()
	_, answer, refusal := p.turn(id, number, plan)
	if refusal != nil && refusal.Code == structs.CodeActionInDoubt {
		return
	}
	if refusal != nil || !answer.Durable || answer.Content != "the answer is done" {
		p.t.Fatalf("turn %d: %+v, %v", number, answer, refusal)
	}
}
