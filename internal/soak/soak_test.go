package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
)

var (
	seeds   = flag.Int("seeds", 1, "number of seeds to run")
	first   = flag.Uint64("first", 1, "first seed")
	length  = flag.Duration("length", 5*time.Second, "duration of load and faults of each seed")
	entries = flag.Int("entries", 3, "number of entry processes of each seed")
	clients = flag.Int("clients", 12, "number of concurrent programs")
)

// regressions lists seeds that failed once, each with the cause of the failure.
var regressions = []uint64{
	// The owner of a budget had granted tokens before the row was stored and was paused
	// when the store became available again; another entry then drew all tokens of the row.
	110,
}

// TestSoak runs each seed: callers under load, random faults, recovery, then the checks.
// It guards against a request that runs after it was reported as not run, a second run of
// an unsafe request, a program that exceeds its token budget, a wrong or incomplete answer
// that looks complete, a retained turn that is lost, a request that crashes upstreams without end,
// an upstream that gets more than its limit, a stream that goes on at another software version than the one
// that began it, and an entry that exits by itself.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak test starts processes")
	}
	binary := buildEntry(t)
	all := append([]uint64(nil), regressions...)
	for i := range *seeds {
		all = append(all, *first+uint64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { newTrial(t, binary, seed).run() })
	}
}

// trial is the run of one seed.
type trial struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	store        *store
	links        []*link // the proxies between each entry and the store
	entries      []*entry
	llm          []*upstream // of the service "llm", which answers turns
	app          []*upstream // of the service "app", which answers tool calls
	crashes      crashes     // of upstreams that ran the crashing request
	ledger       *callerLedger
	callers      *callers
	version      int            // of the configuration document
	stopped      chan struct{}  // closed when the callers must end
	pendingUndos sync.WaitGroup // faults that undoAfter has still to end
	// losses is set if all entries end together or in turn, too; losing is held while they do.
	losses bool
	losing sync.Mutex
}

func newTrial(t *testing.T, binary string, seed uint64) *trial {
	dir := t.TempDir()
	all := &runs{byID: map[string][]run{}}
	x := &trial{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), store: newStore(t), stopped: make(chan struct{}),
		ledger: &callerLedger{reportedNotRun: map[string]int{}, tokens: map[string]int{}, budgets: map[string]int{}, unsettled: map[string]int{}},
	}
	for i := range 4 {
		x.llm = append(x.llm, newUpstream(t, fmt.Sprintf("llm-%d", i), "llm", all, x.store, &x.crashes))
		x.llm[i].version = "v1"
		if !x.rollsBack() {
			x.llm[i].version = fmt.Sprintf("v%d", 1+i%softwareVersions)
		}
		x.app = append(x.app, newUpstream(t, fmt.Sprintf("app-%d", i), "app", all, x.store, &x.crashes))
	}
	x.publishDocument()
	for _, u := range append(append([]*upstream(nil), x.llm...), x.app...) {
		x.store.put("servers//"+u.id, u.row("ready"))
	}
	for i := range *entries {
		k := newLink(t, x.store.address())
		x.links = append(x.links, k)
		e := newEntry(t, dir, binary, i+1, k.address())
		x.entries = append(x.entries, e)
		t.Cleanup(func() { _ = e.end(syscall.SIGKILL) })
	}
	x.callers = newCallers(x.entries, x.ledger, all, fmt.Sprintf("s%d", seed))
	return x
}

// publishDocument stores the next version of the configuration document. Each version has a
// route with the version in its prefix, so that a request shows whether an entry uses it. By turns, streams may
// go on within their answer or are left to their callers.
func (x *trial) publishDocument() {
	x.version++
	x.store.put("op//config", fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"read","host":"h","prefix":"/read/","route-type":"safe","timeout-ms":1500,"service":"app","attempts":2},
 {"name":"act","host":"h","prefix":"/act/","route-type":"unsafe","timeout-ms":1500,"service":"app","attempts":1},
 {"name":"ask","host":"h","prefix":"/ask/","route-type":"stream","timeout-ms":2000,"service":"llm","attempts":%d,"resumable":true},
 {"name":"draft","host":"h","prefix":"/draft/","route-type":"stream","timeout-ms":2000,"service":"llm","attempts":1,"retained":true,"retention-s":60},
 {"name":"v","host":"h","prefix":"/v%d/","route-type":"safe","timeout-ms":1500,"service":"app","attempts":2}],
 "services":[{"name":"app","max-connections":100},{"name":"llm","max-connections":100,"engine":{"slots":8,"kv-capacity-tokens":100000,"tokens-per-event":%d}}],
 "limits":{"max-body-bytes":100000,"idle-timeout-ms":5000}}`, x.version, 1+x.version%2, x.version, tokensPerEvent))
}

// run starts the entries, puts load and faults on them for the length of a trial, and checks
// the results once every entry has recovered.
func (x *trial) run() {
	for _, e := range x.entries {
		e.start(x.t)
	}
	x.await("all entries are ready", 20*time.Second, x.allReady)
	var load sync.WaitGroup
	for range *clients {
		load.Add(1)
		go func() {
			defer load.Done()
			for {
				select {
				case <-x.stopped:
					return
				default:
					x.callers.program(x.stopped)
				}
			}
		}()
	}
	load.Add(1)
	go func() {
		defer load.Done()
		x.callers.crashingCaller(x.stopped)
	}()
	x.limitSome()
	if x.rollsBack() {
		x.await("the only version is named", 10*time.Second, x.named)
	}
	end := time.Now().Add(*length)
	x.pendingUndos.Add(1)
	go func() {
		defer x.pendingUndos.Done()
		x.changeSoftware(end)
	}()
	for time.Now().Before(end) {
		if x.losses && x.rng.IntN(5) == 0 {
			x.injectLoss()
		}
		x.injectFault()
		pause(time.Duration(50+x.rng.IntN(600)) * time.Millisecond)
	}
	x.pendingUndos.Wait()
	x.recover()
	close(x.stopped)
	load.Wait()
	if x.losses {
		x.checkKeptPrograms()
	}
	x.check()
}

// undoAfter calls undo after d, in its own goroutine, so that faults overlap.
func (x *trial) undoAfter(d time.Duration, undo func()) {
	x.pendingUndos.Add(1)
	go func() {
		defer x.pendingUndos.Done()
		pause(d)
		undo()
	}()
}

// injectFault injects one fault; the seed decides its kind, target and duration.
func (x *trial) injectFault() {
	d := time.Duration(100+x.rng.IntN(1500)) * time.Millisecond
	e := x.entries[x.rng.IntN(len(x.entries))]
	k := x.links[x.rng.IntN(len(x.links))]
	u := append(append([]*upstream(nil), x.llm...), x.app...)[x.rng.IntN(len(x.llm)+len(x.app))]
	kind := x.rng.IntN(18)
	x.t.Logf("%s fault %d for %v", time.Now().Format("05.000"), kind, d)
	switch kind {
	case 0: // kill an entry and restart it
		_ = e.end(syscall.SIGKILL)
		x.undoAfter(d, func() { e.start(x.t) })
	case 1: // shut an entry down and restart it at once
		x.undoAfter(0, func() {
			if err := e.end(syscall.SIGTERM); err != nil {
				x.ledger.violation("%v", err)
			}
			e.start(x.t)
		})
	case 2: // pause an entry
		e.signal(syscall.SIGSTOP, false)
		x.undoAfter(d, func() { e.signal(syscall.SIGCONT, false) })
	case 3: // make an entry reload its settings
		e.signal(syscall.SIGHUP, false)
	case 4: // drop what an entry sends to the store
		k.dropToTarget.Store(true)
		x.undoAfter(d, k.heal)
	case 5: // drop what the store sends to an entry
		k.dropFromTarget.Store(true)
		x.undoAfter(d, k.heal)
	case 6: // cut an entry off from the store
		k.refuse.Store(true)
		k.reset()
		x.undoAfter(d, k.heal)
	case 7: // delay the traffic between an entry and the store
		k.delay.Store(int64(80 * time.Millisecond))
		x.undoAfter(d, k.heal)
	case 8: // the store drops connections before a request takes effect
		x.storeFault(standin.Fault{Kind: standin.FaultDown, For: structs.Duration(d)})
	case 9: // the store refuses requests
		x.storeFault(standin.Fault{Kind: standin.FaultRefuse, For: structs.Duration(d)})
	case 10: // the store is slow
		x.storeFault(standin.Fault{Kind: standin.FaultSlow, Delay: structs.Duration(120 * time.Millisecond), For: structs.Duration(d)})
	case 11: // the store loses answers to transactions
		x.storeFault(standin.Fault{Kind: standin.FaultLoseAnswer, Match: "apply", Count: 1 + x.rng.IntN(10), For: structs.Duration(d)})
	case 12: // the store applies transactions late, after their callers have received an error
		x.storeFault(standin.Fault{Kind: standin.FaultLateWrite, Count: 1 + x.rng.IntN(10), Delay: structs.Duration(d), For: structs.Duration(d)})
	case 13: // the store drops its change history
		x.store.table.DropChanges()
	case 14: // publish a new version of the configuration document
		x.undoAfter(0, x.publishDocument)
	case 15: // an upstream resets its connections and aborts answers
		u.link.reset()
		u.broken.Store(true)
		x.undoAfter(d, func() { u.broken.Store(false) })
	case 16: // an upstream sends extra answers
		u.extra.Store(true)
		x.undoAfter(d, func() { u.extra.Store(false) })
	case 17: // drop what the entries send to an upstream
		u.link.dropToTarget.Store(true)
		x.undoAfter(d, u.link.heal)
	}
}

func (x *trial) storeFault(f standin.Fault) {
	if err := x.store.faults.Set(f); err != nil {
		x.t.Error(err)
	}
}

// recover ends the faults of the store, of the links to it and of the entries, starts the
// entries that do not run, and waits until each is ready and uses the latest document. The
// faults of the upstreams and their links have ended before: run waits for pendingUndos.
func (x *trial) recover() {
	x.storeFault(standin.Fault{Kind: "all", Clear: true})
	for _, k := range x.links {
		k.heal()
	}
	for _, e := range x.entries {
		e.signal(syscall.SIGCONT, false)
		e.start(x.t)
	}
	x.await("all entries are ready again", 30*time.Second, x.allReady)
	x.publishDocument()
	path := fmt.Sprintf("/v%d/", x.version)
	x.await("every entry uses the latest document", 30*time.Second, func() bool {
		for _, e := range x.entries {
			if id := x.callers.nextID(); x.callers.send(e, "GET", path+id, id, "", nil).status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (x *trial) allReady() bool {
	for _, e := range x.entries {
		if !e.isReady() {
			return false
		}
	}
	return true
}

// await waits until f returns true; after limit, it fails the test.
func (x *trial) await(what string, limit time.Duration, f func() bool) {
	x.t.Helper()
	for end := time.Now().Add(limit); !f(); pause(20 * time.Millisecond) {
		if time.Now().After(end) {
			for _, e := range x.entries {
				x.t.Logf("%s ready: %v; its log ends with:\n%s", e.name, e.isReady(), e.logEnd())
			}
			x.t.Fatalf("not reached within %v: %s; logs in %s", limit, what, filepath.Dir(x.entries[0].log))
		}
	}
}

// check compares what the callers received with what the upstreams ran.
func (x *trial) check() {
	x.checkRetained()
	x.checkCrashes()
	x.checkLimits()
	x.callers.runs.mu.Lock()
	defer x.callers.runs.mu.Unlock()
	x.ledger.mu.Lock()
	defer x.ledger.mu.Unlock()
	for id, rs := range x.callers.runs.byID {
		if status, notRun := x.ledger.reportedNotRun[id]; notRun && len(rs) > 0 {
			x.t.Errorf("request %s was answered %d, which means not run, but ran at %s", id, status, rs[0].path)
		}
		x.checkRuns(id, rs)
	}
	for program, tokens := range x.ledger.tokens {
		if limit := x.ledger.budgets[program] + maxTokensPerTurn; tokens > limit {
			x.t.Errorf("program %s received %d tokens; its budget plus one turn is %d", program, tokens, limit)
		}
	}
	for _, f := range x.ledger.violations {
		x.t.Error(f)
	}
	for _, e := range x.entries {
		if e.unexpectedExit != nil {
			x.t.Error(e.unexpectedExit)
		}
	}
	x.t.Logf("%d streams taken up, %d of them went on", x.ledger.takenUp, x.ledger.wentOn)
	x.t.Logf("%d streams answered, %d retained turns, %d requests ran", x.ledger.answered, len(x.ledger.completed), len(x.callers.runs.byID))
	if x.ledger.answered == 0 {
		x.t.Error("no stream was answered")
	}
}

// checkRuns checks how often a request ran: at most once for an unsafe or a retained
// request, at most twice for any other.
func (x *trial) checkRuns(id string, rs []run) {
	begun := 0 // runs from the start of the answer, without resumed streams
	for _, r := range rs {
		if r.from < 0 {
			begun++
		}
	}
	path := rs[0].path
	atMostOnce := len(path) > 4 && (path[:5] == "/act/" || path == retainedRoute)
	if atMostOnce && len(rs) > 1 {
		x.t.Errorf("request %s at %s ran %d times, want once at most", id, path, len(rs))
	}
	if len(rs) > 2 || begun > 2 {
		x.t.Errorf("request %s at %s was sent to %d upstreams, want 2 at most", id, path, len(rs))
	}
}

// checkRetained continues conversations from at most 20 of the retained turns that were
// answered completely, each through a random entry. A turn that is not found fails the test.
func (x *trial) checkRetained() {
	x.ledger.mu.Lock()
	turns := append([]turn(nil), x.ledger.completed...)
	x.ledger.mu.Unlock()
	for range min(20, len(turns)) {
		t := turns[x.rng.IntN(len(turns))]
		x.await("a retained turn is found: "+t.id, 20*time.Second, func() bool {
			program := "check" + x.callers.nextID()
			x.ledger.mu.Lock()
			x.ledger.budgets[program] = 10 * maxTokensPerTurn
			x.ledger.mu.Unlock()
			return x.callers.runTurn(program, retainedRoute, 10*maxTokensPerTurn, &t, "more") != nil
		})
	}
}
