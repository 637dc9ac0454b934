package faulttrial

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// load runs programs against a cluster and counts what comes back.
type load struct {
	caller   *caller
	standins *standin.Group
	log      io.Writer
	started  time.Time
	// patience of each turn is longer than any fault lasts.
	patience time.Duration

	programs []*programRun
	running  sync.WaitGroup
	over     atomic.Bool

	mu     sync.Mutex
	counts Counts
	// graceful is set while no request may be cut.
	graceful bool
	orders   map[string]error
}

// startLoad starts the programs; each runs its turns until ctx ends.
func startLoad(ctx context.Context, c *cluster, log io.Writer, config Config) *load {
	l := &load{
		caller:   newCaller(c.entries),
		standins: c.standins,
		log:      log,
		started:  time.Now(),
		patience: config.Outage + config.Pause + config.Limit,
		orders:   make(map[string]error),
	}
	for i := range config.Programs {
		p := &programRun{load: l, name: fmt.Sprintf("p%02d", i)}
		l.programs = append(l.programs, p)
		l.running.Go(func() { p.run(ctx, config.Turns) })
	}
	return l
}

// faultOver reports whether the scenario's fault is over.
func (l *load) faultOver() bool { return l.over.Load() }

func (l *load) count(change func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// setGraceful says whether a cut request counts from now on.
func (l *load) setGraceful(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.graceful = on
}

// cut counts a request that broke off while none may.
func (l *load) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.graceful {
		l.counts.CutRequests++
	}
}

// note writes a refusal or failure to the trial's log.
func (l *load) note(program, step string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.log, "%8.3fs %s %s: %v\n", time.Since(l.started).Seconds(), program, step, err)
}

// executions returns how often the tools or the application engines executed an action.
func (l *load) executions(name, actionID string) int {
	if name == serviceOrder {
		return l.standins.Applications[0].Ledger().ActionExecutions(name, actionID)
	}
	return l.standins.Tools[0].Ledger().ActionExecutions(name, actionID)
}

func (l *load) ordered(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[id] = err
}

// checkOrders compares what callers were told of their orders with what ran.
func (l *load) checkOrders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, err := range l.orders {
		ran := l.executions(serviceOrder, id)
		l.counts.Orders++
		var refusal *structs.Refusal
		switch {
		case err == nil && ran != 1:
			l.counts.WrongAnswers++
		case errors.Is(err, errNotSent) && ran > 0:
			l.counts.FalseNotRun++
		case errors.As(err, &refusal) && refusal.Outcome == structs.OutcomeNotRun && ran > 0:
			l.counts.FalseNotRun++
		}
	}
}

// checkDoubles counts what upstreams executed more than once.
func (l *load) checkDoubles() {
	doubles := l.standins.Applications[0].Ledger().Duplicates()
	for _, d := range append(doubles, l.standins.Tools[0].Ledger().Duplicates()...) {
		if d.Action && d.Name != toolSearch {
			l.count(func(c *Counts) { c.DoubleActions += d.Count - 1 })
			l.note(d.Name, "double", errors.Newf("%q executed %d times", d.Key, d.Count))
		}
	}
}

// checkHistories reads every program's history and closes it.
func (l *load) checkHistories(ctx context.Context) {
	var checking sync.WaitGroup
	for _, p := range l.programs {
		if p.id != "" {
			checking.Go(func() { l.checkProgram(ctx, p) })
		}
	}
	checking.Wait()
}

func (l *load) checkProgram(ctx context.Context, p *programRun) {
	lost, ok := p.checkHistory(ctx)
	l.count(func(c *Counts) {
		c.LostTurns += lost
		if !ok {
			c.UnreadHistories++
		}
	})
	if ok {
		p.close(ctx)
	}
}

// holdReleaseTime bounds the life of a hold whose program has ended.
const holdReleaseTime = 10 * time.Second

// checkHolds counts the KV cache that engines hold for ended programs.
func (l *load) checkHolds(ctx context.Context) {
	deadline := time.Now().Add(holdReleaseTime)
	for {
		held := 0
		for _, m := range l.standins.Models {
			held += len(m.Holds())
		}
		if held == 0 {
			return
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			l.count(func(c *Counts) { c.LeakedHolds += held })
			return
		}
		sleep(ctx, readyInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitRecovery waits until every program given goes on, or ctx ends, and returns
// the times that they took.
func awaitRecovery(ctx context.Context, programs []*programRun) (took []time.Duration, stuck int) {
	for _, p := range programs {
		for {
			if d, ok := p.recovery(); ok {
				took = append(took, d)
				break
			}
			if ctx.Err() != nil {
				stuck++
				break
			}
			sleep(ctx, readyInterval)
		}
	}
	return took, stuck
}
