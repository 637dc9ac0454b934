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

// load runs programs against a cluster and counts the answers and failures.
type load struct {
	caller   *caller
	standins *standin.Group
	log      io.Writer
	started  time.Time
	// turnTimeout is the turn timeout of each program; it is longer than any fault.
	turnTimeout time.Duration

	programs    []*programRun
	running     sync.WaitGroup
	isFaultOver atomic.Bool

	mu     sync.Mutex
	counts Counts
	// graceful is set during a drain or a graceful shutdown, when no request may be cut.
	graceful bool
	orders   map[string]error // the error that the caller received for each order, by action ID
}

// startLoad starts the programs, which run until their turns are done or ctx ends.
func startLoad(ctx context.Context, c *cluster, log io.Writer, config Config) *load {
	l := &load{
		caller:      newCaller(c.entries),
		standins:    c.standins,
		log:         log,
		started:     time.Now(),
		turnTimeout: config.Outage + config.Pause + config.Limit,
		orders:      make(map[string]error),
	}
	for i := range config.Programs {
		p := &programRun{load: l, name: fmt.Sprintf("p%02d", i)}
		l.programs = append(l.programs, p)
		l.running.Go(func() { p.run(ctx, config.Turns) })
	}
	return l
}

// faultOver reports whether the scenario's fault is over.
func (l *load) faultOver() bool { return l.isFaultOver.Load() }

func (l *load) count(change func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// setGraceful sets whether cut requests are counted from now on.
func (l *load) setGraceful(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.graceful = on
}

// countCut counts a cut request if it happened during a drain or a graceful shutdown; at
// other times requests may be cut.
func (l *load) countCut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.graceful {
		l.counts.CutRequests++
	}
}

// logFailure writes a refusal or failure to the log of the callers.
func (l *load) logFailure(program, step string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.log, "%8.3fs %s %s: %v\n", time.Since(l.started).Seconds(), program, step, err)
}

// executions returns how often the tools or the application engines executed an action. All
// services of a kind share one ledger, so that the first one's has every execution.
func (l *load) executions(name, actionID string) int {
	if name == serviceOrder {
		return l.standins.Applications[0].Ledger().ActionExecutions(name, actionID)
	}
	return l.standins.Tools[0].Ledger().ActionExecutions(name, actionID)
}

func (l *load) recordOrder(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[id] = err
}

// checkOrders compares the outcome of each order that the caller received with how often the
// order was executed.
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

// checkDuplicates counts the executions of an action beyond the first. The search tool is
// left out because its calls are not irreversible.
func (l *load) checkDuplicates() {
	duplicates := l.standins.Applications[0].Ledger().Duplicates()
	for _, d := range append(duplicates, l.standins.Tools[0].Ledger().Duplicates()...) {
		if d.Action && d.Name != toolSearch {
			l.count(func(c *Counts) { c.DoubleActions += d.Count - 1 })
			l.logFailure(d.Name, "double", errors.Newf("%q executed %d times", d.Key, d.Count))
		}
	}
}

// checkHistories checks the history of every program that was opened and closes the program.
func (l *load) checkHistories(ctx context.Context) {
	var checking sync.WaitGroup
	for _, p := range l.programs {
		if p.id != "" {
			checking.Go(func() { l.checkProgram(ctx, p) })
		}
	}
	checking.Wait()
}

// checkProgram checks the history of one program and, if it could be read, closes the program.
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

// holdReleaseTime is how long a hold may remain after its program has ended.
const holdReleaseTime = 10 * time.Second

// checkHolds counts the holds that engines still have for ended programs after
// holdReleaseTime.
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
		sleep(ctx, pollInterval)
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

// awaitRecovery waits until each of the programs continues or ctx ends. It returns the
// times until they continued and the number of those that did not.
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
			sleep(ctx, pollInterval)
		}
	}
	return took, stuck
}
