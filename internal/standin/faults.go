package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// FaultKind is the name of a kind of fault.
type FaultKind string

// Kinds of faults. docs/design/standin.md lists which stand-in supports which kind.
const (
	// FaultDown drops the connection of each request without an answer, before the request
	// takes effect.
	FaultDown FaultKind = "down"
	// FaultRefuse answers 503; the request takes no effect.
	FaultRefuse FaultKind = "refuse"
	// FaultSlow delays each request by Delay; the steps of a model engine take Factor times
	// as long.
	FaultSlow FaultKind = "slow"
	// FaultLoseAnswer drops the connection without an answer after the request has taken
	// effect.
	FaultLoseAnswer FaultKind = "lose_answer"
	// FaultLateWrite drops the answer to a table transaction at once and applies the
	// transaction Delay later.
	FaultLateWrite FaultKind = "late_write"
	// FaultHang withholds the answer after the request has taken effect, until the client
	// closes the connection.
	FaultHang FaultKind = "hang"
	// FaultOtherCall inserts a chunk of another call before the second content chunk of a
	// stream.
	FaultOtherCall FaultKind = "cross"
	// FaultOtherAttempt inserts a chunk of another attempt of the same call at the same
	// place.
	FaultOtherAttempt FaultKind = "cross_attempt"
	// FaultCut drops the connection of a stream after Factor content chunks (at least 1), or
	// at the end of a shorter answer.
	FaultCut FaultKind = "cut"
	// FaultDuplicateChunk sends each content chunk twice.
	FaultDuplicateChunk FaultKind = "duplicate_chunk"
	// FaultSkipChunk omits the second content chunk of a stream.
	FaultSkipChunk FaultKind = "skip_chunk"
	// FaultCrashMarked crashes the upstream when it receives a request that contains Match,
	// which must not be empty. A model engine checks chat requests only.
	FaultCrashMarked FaultKind = "crash_marked"
	// FaultIgnoreFence accepts orders with old fencing numbers.
	FaultIgnoreFence FaultKind = "ignore_fence"
	// FaultLateEvents publishes cache events after a delay of Delay.
	FaultLateEvents FaultKind = "late_events"
	// FaultDropEvents omits cache events.
	FaultDropEvents FaultKind = "drop_events"
	// FaultWrongLoad reports a load of Factor times the true load.
	FaultWrongLoad FaultKind = "lie_load"
	// FaultRateLimit limits requests to Factor a second; further ones are answered with 429.
	FaultRateLimit FaultKind = "rate_limit"
)

// faultKinds contains every kind that can be set.
var faultKinds = map[FaultKind]bool{
	FaultDown: true, FaultRefuse: true, FaultSlow: true, FaultLoseAnswer: true, FaultHang: true,
	FaultOtherCall: true, FaultOtherAttempt: true, FaultCut: true, FaultDuplicateChunk: true,
	FaultSkipChunk: true, FaultCrashMarked: true, FaultIgnoreFence: true, FaultLateEvents: true,
	FaultDropEvents: true, FaultWrongLoad: true, FaultRateLimit: true, FaultLateWrite: true,
}

// Fault describes a fault, to set or to clear.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Match restricts the fault to requests whose path, service name, key, call id or
	// content contains it; empty matches all. FaultIgnoreFence, FaultLateEvents,
	// FaultWrongLoad and the Factor of FaultSlow ignore it; FaultDropEvents applies only when
	// it is empty.
	Match string `json:"match,omitempty"`
	// Count limits how often the fault applies: to requests, or for FaultDropEvents to
	// events. 0 means no limit. FaultIgnoreFence, FaultLateEvents, FaultWrongLoad,
	// FaultRateLimit and the Factor of FaultSlow ignore it, as does FaultCrashMarked at a
	// model engine.
	Count int `json:"count,omitempty"`
	// For is how long the fault stays in force; 0 means until it is cleared.
	For structs.Duration `json:"for,omitempty"`
	// Delay is the delay of FaultSlow, FaultLateWrite and FaultLateEvents.
	Delay structs.Duration `json:"delay,omitempty"`
	// Factor is the factor, count or rate of the kinds that name it.
	Factor float64 `json:"factor,omitempty"`
	// Clear ends the fault of this kind; with kind "all" it ends every fault.
	Clear bool `json:"clear,omitempty"`
}

// activeFault is a fault in force.
type activeFault struct {
	Fault
	until time.Time // zero means until it is cleared
	// windowStart and windowCount count the requests of the current second for
	// FaultRateLimit.
	windowStart time.Time
	windowCount float64
}

// Faults is the set of faults in force at one stand-in. Safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	active map[FaultKind]*activeFault
}

func newFaults() *Faults { return &Faults{active: make(map[FaultKind]*activeFault)} }

// allFaults is the kind that, with Clear, ends every fault.
const allFaults FaultKind = "all"

// Set puts a fault in force, replacing the one of the same kind, or, with Clear, ends the one
// of that kind.
func (f *Faults) Set(fault Fault) error {
	if fault.Kind != allFaults && !faultKinds[fault.Kind] {
		return fmt.Errorf("fault kind %q does not exist", fault.Kind)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case fault.Clear && fault.Kind == allFaults:
		clear(f.active)
	case fault.Clear:
		delete(f.active, fault.Kind)
	case fault.Kind == allFaults:
		return fmt.Errorf("fault kind %q can only be cleared", fault.Kind)
	default:
		f.active[fault.Kind] = newActive(fault)
	}
	return nil
}

func newActive(fault Fault) *activeFault {
	a := &activeFault{Fault: fault}
	if fault.For > 0 {
		a.until = time.Now().Add(time.Duration(fault.For))
	}
	return a
}

// List returns the faults in force, sorted by kind.
func (f *Faults) List() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Fault, 0, len(f.active))
	for kind := range f.active {
		if a := f.current(kind); a != nil {
			out = append(out, a.Fault)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Kind < out[j].Kind })
	return out
}

// current returns the fault of a kind, or nil when none is set or it has expired. The caller
// holds the lock.
func (f *Faults) current(kind FaultKind) *activeFault {
	a := f.active[kind]
	if a == nil {
		return nil
	}
	if !a.until.IsZero() && !time.Now().Before(a.until) {
		delete(f.active, kind)
		return nil
	}
	return a
}

// empty reports whether no fault is set. An expired one counts until it is looked up.
func (f *Faults) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.active) == 0
}

// peek returns the fault of a kind without decrementing its count.
func (f *Faults) peek(kind FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.current(kind)
	if a == nil {
		return Fault{}, false
	}
	return a.Fault, true
}

// take returns the fault of a kind when it applies to a request with this subject, and
// decrements its count.
func (f *Faults) take(kind FaultKind, subject string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.current(kind)
	if a == nil || !strings.Contains(subject, a.Match) {
		return Fault{}, false
	}
	hit := a.Fault
	if a.Count > 0 {
		a.Count--
		if a.Count == 0 {
			delete(f.active, kind)
		}
	}
	return hit, true
}

// overRateLimit counts a request and reports whether it exceeds FaultRateLimit.
func (f *Faults) overRateLimit(subject string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.current(FaultRateLimit)
	if a == nil || !strings.Contains(subject, a.Match) {
		return false
	}
	now := time.Now()
	if now.Sub(a.windowStart) >= time.Second {
		a.windowStart = now
		a.windowCount = 0
	}
	a.windowCount++
	return a.windowCount > a.Factor
}

// faultAction is what the faults do to a request before it takes effect.
type faultAction int

const (
	proceed     faultAction = iota
	dropped                 // by FaultDown
	refused                 // by FaultRefuse
	rateLimited             // by FaultRateLimit
)

// beforeEffect applies the faults that act before a request takes effect. It waits for
// the delay of FaultSlow.
func (f *Faults) beforeEffect(ctx context.Context, subject string) faultAction {
	if slow, hit := f.take(FaultSlow, subject); hit {
		pause(ctx, time.Duration(slow.Delay))
	}
	if _, hit := f.take(FaultDown, subject); hit {
		return dropped
	}
	if _, hit := f.take(FaultRefuse, subject); hit {
		return refused
	}
	if f.overRateLimit(subject) {
		return rateLimited
	}
	return proceed
}

// afterEffect applies the faults that act after a request has taken effect; it reports
// whether the answer must be dropped.
func (f *Faults) afterEffect(ctx context.Context, subject string) bool {
	if _, hit := f.take(FaultHang, subject); hit {
		<-ctx.Done()
		return true
	}
	_, lost := f.take(FaultLoseAnswer, subject)
	return lost
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// maxSmallBodyBytes bounds the body of POST /fault, /vms and /weights/fetch.
const maxSmallBodyBytes = 4 << 10

// ServeHTTP serves POST /fault, which sets or clears one fault, and GET /fault,
// which lists those in force.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, f.List())
		return
	}
	var fault Fault
	if err := readJSON(w, r, maxSmallBodyBytes, &fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.Set(fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("body of %s: %w", r.URL.Path, err)
	}
	return nil
}

// dropConnection ends the request without an answer; net/http closes the connection.
func dropConnection() { panic(http.ErrAbortHandler) }
