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

// fakeObjects is the platform's object store in memory.
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

// testProcess is a home with a real home log.
type testProcess struct {
	*testHome
	c *committer.Committer
}

func newTestProcess(t *testing.T, log structs.LogID, table *fakeTable, objects *fakeObjects, services *fakeServices) *testProcess {
	p := &testProcess{testHome: &testHome{t: t, services: services, table: table}}
	p.c = committer.New(committer.Config{
		HomeLog:     homelog.Config{Log: log, CheckpointEvery: 4},
		OnCommitted: func(through uint64) { p.r.Committed(through) },
		OnStopped:   func(successor structs.LogID) { p.r.Stopped(successor) },
	}, table, objects)
	p.r = New(Config{
		Log: log, Node: structs.NodeID(log), Engines: services, Tools: services, HomeLog: p.c, Table: table,
		Program: program.Config{
			Tools:        map[string]program.Tool{"search": {}, "publish": {Irreversible: true}},
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
func (p *testProcess) stop() {
	p.c.Stop()
	p.r.Close()
}

// TestProgramMovesBetweenHomes guards against a turn that is lost, or an action that runs twice,
// when a program moves between homes. The program moves through real home logs: the first home is
// killed during a turn, the second is fenced while it runs one, and the third hands over. The
// faults come at each multiple of 5 ms up to 145 ms.
func TestProgramMovesBetweenHomes(t *testing.T) {
	const plan = "tool search {}; tool publish {}; agent 7; answer done"
	for at := 5 * time.Millisecond; at < 150*time.Millisecond; at += 5 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			table, objects := newFakeTable(), &fakeObjects{values: map[string][]byte{}}
			services := &fakeServices{delay: 10 * time.Millisecond}
			start := func(log structs.LogID) *testProcess { return newTestProcess(t, log, table, objects, services) }
			takeOver := func(p *testProcess, log structs.LogID) {
				entries, err := p.c.TakeOver(t.Context(), log)
				if err == nil {
					err = p.r.TakeOver(t.Context(), entries)
				}
				if err != nil {
					t.Fatalf("killed at %s: take over log %q: %v", at, log, err)
				}
			}
			a := start("e1-a")
			id := a.open(structs.ProgramSpec{Organisation: "council"})
			go func() { _, _, _ = a.turn(id, 1, plan) }()
			time.Sleep(at)
			a.stop()

			b := start("e2-b")
			takeOver(b, "e1-a")
			b.expectAnswer(id, 1, plan)
			go func() { _, _, _ = b.turn(id, 2, plan) }()
			time.Sleep(at)

			c := start("e3-c")
			takeOver(c, "e2-b")
			c.expectAnswer(id, 2, plan)
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
					takeOver(d, "e3-c")
					return nil
				})
			}
			if err != nil {
				t.Fatalf("killed at %s: hand over: %v", at, err)
			}
			d.expectAnswer(id, 3, plan)
			d.expectAnswer(id, 1, plan)
			d.awaitOnlyProgram(id)
			// Of the planned services only publish begins with a p.
			for key, n := range services.runs {
				if key[0] == 'p' && n > 1 {
					t.Fatalf("killed at %s: action %q ran %d times, want at most 1", at, key, n)
				}
			}
			c.r.Close()
			d.stop()
		})
	}
}

// expectAnswer runs or joins a turn and expects a complete, durable answer. It also accepts an
// action in doubt: a home may have been killed after it claimed the action and before it sent it.
func (p *testProcess) expectAnswer(id structs.ProgramID, number uint32, plan string) {
	p.t.Helper()
	_, answer, refusal := p.turn(id, number, plan)
	if refusal != nil && refusal.Code == structs.CodeActionInDoubt {
		return
	}
	if refusal != nil || !answer.Durable || answer.Content != "the answer is done" {
		p.t.Fatalf("turn %d: answer %+v, refusal %v, want a durable answer", number, answer, refusal)
	}
}
