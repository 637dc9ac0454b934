package soak

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var busy = flag.Int("busy", 0, "number of processes that keep a processor busy each, for runs of TestPlannedWork by hand")

// TestPlannedWork restarts entries, sends them SIGHUP and changes the document, all of it overlapping, while callers
// use their connections until the processes are gone. Nothing fails. It guards against a whole request that gets
// neither an answer nor a refusal, a refused request that runs, and a second run of an unsafe request.
func TestPlannedWork(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak test starts processes")
	}
	binary := buildEntry(t)
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { newPlannedTrial(t, binary, seed, *entries).run() })
	}
}

// plannedTrial is the run of one seed of TestPlannedWork.
type plannedTrial struct {
	t        *testing.T
	seed     uint64
	store    *store
	document *plannedDocument
	entries  []*plannedEntry
	arrivals *arrivals
	ids      atomic.Int64
	// lag is the longest time that a timer of the test process was late, by which it may see the end of a connection late.
	lag atomic.Int64

	mu sync.Mutex
	// counts has the requests by how they ended, violations the violations by kind and the event before.
	counts, violations map[string]int
	// refused has the requests that must not run, with the status that said so; 0 for one that got no answer. unsafe has
	// those that must run once at most.
	refused map[string]int
	unsafe  []string
	// traced has the requests with a violation, and the entries that got them.
	traced map[string]*plannedEntry
}

// plannedEntry is an entry with the planned work done on it.
type plannedEntry struct {
	*entry
	rng *rand.Rand

	mu      sync.Mutex
	events  []plannedEvent
	stopped time.Time // the last SIGTERM that began a stop
	started time.Time // the last start
}

// plannedEvent is a signal to an entry, or its start.
type plannedEvent struct {
	at   time.Time
	kind string
}

func (e *plannedEntry) note(kind string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, plannedEvent{time.Now(), kind})
}

// before describes the last event before at, with when in the stop it was.
func (e *plannedEntry) before(at time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.events) - 1; i >= 0; i-- {
		ev := e.events[i]
		if ev.at.After(at) {
			continue
		}
		phase := "not stopping"
		if since := at.Sub(e.stopped); !e.stopped.IsZero() && since >= 0 && since < shutdownGrace {
			phase = "in the grace"
			if since < drainDelay {
				phase = "in the drain delay"
			} else if since < drainDelay+lossSlack {
				phase = "at the end of the drain delay"
			}
		}
		return ev.kind + ", " + phase
	}
	return "none"
}

// cutAt reports whether calls in progress are cut off at the time, since the grace ends.
func (e *plannedEntry) cutAt(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := at.Sub(e.stopped)
	return !e.stopped.IsZero() && since > shutdownGrace-cutMargin && since < shutdownGrace+time.Second
}

const (
	// drainDelay is the drain delay of the entries, cutMargin how long before the end of the grace they cut calls off,
	// with some tolerance.
	drainDelay = 2500 * time.Millisecond
	cutMargin  = 750 * time.Millisecond
)

func newPlannedTrial(t *testing.T, binary string, seed uint64, entries int) *plannedTrial {
	dir := t.TempDir()
	x := &plannedTrial{
		t: t, seed: seed, store: newStore(t), arrivals: &arrivals{byID: map[string]int{}},
		counts: map[string]int{}, violations: map[string]int{}, refused: map[string]int{}, traced: map[string]*plannedEntry{},
	}
	x.document = newPlannedDocument(x.store)
	for _, service := range []string{"app", "app-2", "llm", "llm-2"} {
		for i := range upstreamsPerService {
			u := newPlannedUpstream(t, fmt.Sprintf("%s-u%d", service, i), service, x.arrivals)
			x.store.put("servers//"+u.id, u.row(1))
		}
	}
	for i := range entries {
		e := &plannedEntry{entry: newEntry(t, dir, binary, i+1, x.store.address()), rng: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		x.entries = append(x.entries, e)
		t.Cleanup(func() { _ = e.end(syscall.SIGKILL) })
	}
	for range *busy {
		burn := exec.Command("sh", "-c", "while :; do :; done")
		burn.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := burn.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = burn.Process.Kill()
			_ = burn.Wait()
		})
	}
	return x
}

func (x *plannedTrial) nextID() string { return fmt.Sprintf("w%d-%d", x.seed, x.ids.Add(1)) }

func (x *plannedTrial) run() {
	for _, e := range x.entries {
		e.start(x.t)
	}
	for _, e := range x.entries {
		x.awaitReady(e)
	}
	stopped := make(chan struct{})
	var load, work sync.WaitGroup
	for i := range 4 * *clients {
		c := &plannedCaller{x: x, at: x.entries[i%len(x.entries)], rng: rand.New(rand.NewPCG(x.seed, uint64(1000+i))), kept: i%3 != 0}
		load.Go(func() { c.run(stopped) })
	}
	load.Go(func() { x.measureLag(stopped) })
	end := time.Now().Add(*length)
	for _, e := range x.entries {
		work.Go(func() {
			for time.Now().Before(end) {
				x.disturb(e)
				e.sleep(800)
			}
		})
	}
	work.Go(func() { x.changeDocument(end) })
	work.Wait()
	pause(500 * time.Millisecond)
	close(stopped)
	load.Wait()
	x.check()
}

// sleep waits for up to ms milliseconds.
func (e *plannedEntry) sleep(ms int) { pause(time.Duration(e.rng.IntN(ms)) * time.Millisecond) }

// initTime is longer than a process takes from its start to main, where it takes SIGHUP over. One that comes earlier
// ends it.
const initTime = 150 * time.Millisecond

// hangUp sends up to n SIGHUPs in a row.
func (e *plannedEntry) hangUp(n int, when string) {
	pause(time.Until(e.started.Add(initTime)))
	for range 1 + e.rng.IntN(n) {
		e.note("SIGHUP " + when)
		e.signal(syscall.SIGHUP, false)
		e.sleep(20)
	}
}

// disturb does one piece of planned work on the entry: SIGHUP, or a stop and a start with signals in between.
func (x *plannedTrial) disturb(e *plannedEntry) {
	if e.rng.IntN(4) == 0 {
		e.hangUp(5, "alone")
		return
	}
	if e.rng.IntN(2) == 0 {
		e.hangUp(3, "just before SIGTERM")
	}
	e.mu.Lock()
	e.stopped = time.Now()
	e.mu.Unlock()
	e.note("SIGTERM")
	var signals sync.WaitGroup
	e.entry.mu.Lock()
	exited := e.exited
	e.entry.mu.Unlock()
	e.signal(syscall.SIGTERM, true)
	for range e.rng.IntN(4) {
		at := time.Duration(e.rng.Int64N(int64(shutdownGrace - time.Second)))
		kind, s := "SIGHUP during the stop", syscall.SIGHUP
		if e.rng.IntN(3) == 0 {
			kind, s = "second SIGTERM", syscall.SIGTERM
		}
		signals.Go(func() {
			select {
			case <-exited:
			case <-time.After(at):
				e.note(kind)
				e.signal(s, true)
			}
		})
	}
	signals.Wait()
	select {
	case <-exited:
	case <-time.After(time.Until(e.stopped.Add(shutdownGrace + time.Second))):
		x.violation("still running 1 s after the grace", e.before(time.Now()))
		_ = e.end(syscall.SIGKILL)
	}
	if e.rng.IntN(2) == 0 {
		e.sleep(300)
	}
	e.note("start")
	e.start(x.t)
	e.started = time.Now()
	if e.rng.IntN(3) > 0 {
		x.awaitReady(e)
	}
}

// changeDocument changes the document until end, now and then many times in a row.
func (x *plannedTrial) changeDocument(end time.Time) {
	rng := rand.New(rand.NewPCG(x.seed, 50))
	for time.Now().Before(end) {
		x.document.change(rng)
		if rng.IntN(6) == 0 {
			for range 5 + rng.IntN(15) {
				x.document.change(rng)
				pause(time.Duration(rng.IntN(30)) * time.Millisecond)
			}
		}
		pause(time.Duration(30+rng.IntN(500)) * time.Millisecond)
	}
}

func (x *plannedTrial) awaitReady(e *plannedEntry) {
	for end := time.Now().Add(10 * time.Second); !e.isReady(); pause(20 * time.Millisecond) {
		if time.Now().After(end) {
			x.t.Errorf("%s is not ready 10 s after its start:\n%s", e.name, e.logEnd())
			return
		}
	}
}

// measureLag measures how late timers of the test process are.
func (x *plannedTrial) measureLag(stopped <-chan struct{}) {
	for {
		at := time.Now()
		select {
		case <-stopped:
			return
		case <-time.After(5 * time.Millisecond):
			x.lag.Store(max(x.lag.Load(), int64(time.Since(at)-5*time.Millisecond)))
		}
	}
}

func (x *plannedTrial) count(what string, n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.counts[what] += n
}

func (x *plannedTrial) violation(what, before string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.violations[what+" | "+before]++
}

// mustNotRun notes that a request was dropped with its connection, and must not have been sent on.
func (x *plannedTrial) mustNotRun(r *plannedRequest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refused[r.id] = 0
}

// record notes how a whole request ended.
func (x *plannedTrial) record(at *plannedEntry, r *plannedRequest, p plannedReply) {
	x.count("requests", 1)
	x.mu.Lock()
	if r.route == "act" {
		x.unsafe = append(x.unsafe, r.id)
	}
	if p.err == nil && (p.status == 503 || p.status == 429 || p.status == 408) {
		x.refused[r.id] = p.status
	}
	x.mu.Unlock()
	if p.err == nil {
		x.count(fmt.Sprintf("answered %d", p.status), 1)
		return
	}
	before := at.before(p.at)
	if doc := x.document.lastChange(p.at); doc != "" {
		before += "; " + doc
	}
	violation := func(format string, args ...any) {
		x.violation(fmt.Sprintf(format, args...), before)
		x.mu.Lock()
		if len(x.traced) < maxTraced || p.status != 0 {
			x.traced[r.id] = at
		}
		x.mu.Unlock()
		x.t.Logf("%s %s %s: ended %v after its first and %v after its last byte: %v", p.at.Format("05.000"), at.name, r.id, p.at.Sub(r.begun), p.at.Sub(r.sent), p.err)
	}
	ran, late := x.arrivals.of(r.id) > 0, p.at.Sub(r.sent)
	switch {
	case p.status != 0 && p.at.Sub(r.begun) >= x.document.timeoutOf(r.route, r.begun, p.at)*7/10:
		x.count("broken off at the route's timeout", 1)
	case p.status != 0 && at.cutAt(p.at):
		x.count("broken off at the end of the grace", 1)
	case p.status != 0:
		violation("%d broken off, %s, %s", p.status, r.route, r.mode)
	case ran:
		violation("reached an upstream and got no answer, %s, %s", r.route, r.mode)
	case late > lossSlack+time.Duration(x.lag.Load()):
		violation("no answer later than the slack, %s", r.mode)
	default:
		x.count("crossed, "+r.mode, 1)
		x.count("crossed", 1)
	}
}

// check checks what ran and prints the counts.
func (x *plannedTrial) check() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, status := range x.refused {
		if x.arrivals.of(id) > 0 {
			x.violations[fmt.Sprintf("not run by its status %d, and ran", status)]++
		}
	}
	for _, id := range x.unsafe {
		if x.arrivals.of(id) > 1 {
			x.violations["unsafe request ran more than once"]++
		}
	}
	for _, e := range x.entries {
		e.entry.mu.Lock()
		if e.unexpectedExit != nil {
			x.violations["exited by itself"]++
			x.t.Error(e.unexpectedExit)
		}
		e.entry.mu.Unlock()
	}
	x.printLogs()
	for _, k := range slices.Sorted(maps.Keys(x.counts)) {
		x.t.Logf("%6d %s", x.counts[k], k)
	}
	stops := 0
	for _, e := range x.entries {
		for _, ev := range e.events {
			if ev.kind == "SIGTERM" {
				stops++
			}
		}
	}
	x.t.Logf("%6d stops, %d versions of the document, timers up to %v late", stops, x.document.version, time.Duration(x.lag.Load()).Round(time.Millisecond))
	for _, k := range slices.Sorted(maps.Keys(x.violations)) {
		x.t.Errorf("%6d violations: %s", x.violations[k], k)
	}
	if x.counts["answered 200"] == 0 {
		x.t.Error("no request was served")
	}
}

// maxTraced bounds the requests without an answer whose log lines are printed.
const maxTraced = 20

// printLogs prints the lines of the entries' logs about requests with a violation.
func (x *plannedTrial) printLogs() {
	for id, e := range x.traced {
		text, err := os.ReadFile(e.log)
		if err != nil {
			x.t.Error(err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"request":"`+id+`"`) {
				x.t.Logf("%s: %s", e.name, strings.TrimSpace(line))
			}
		}
	}
}
