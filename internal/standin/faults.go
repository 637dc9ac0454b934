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

// FaultKind names a fault.
type FaultKind string

// Faults. Which stand-in honours which is in docs/design/standin.md.
const (
	// FaultDown drops each request before it takes effect, without an answer.
	FaultDown FaultKind = "down"
	// FaultRefuse answers 503 before the request takes effect.
	FaultRefuse FaultKind = "refuse"
	// FaultSlow delays a request by Delay; an engine's steps take Factor times as long.
	FaultSlow FaultKind = "slow"
	// FaultLoseAnswer lets a request take effect and drops its answer.
	FaultLoseAnswer FaultKind = "lose_answer"
	// FaultLateWrite drops a table transaction's answer at once and applies it Delay later.
	FaultLateWrite FaultKind = "late_write"
	// FaultHang lets a request take effect and holds its answer until the client leaves.
	FaultHang FaultKind = "hang"
	// FaultOtherCall puts a chunk of another call into a stream.
	FaultOtherCall FaultKind = "cross"
	// FaultOtherAttempt puts a chunk of another attempt of the same call into a stream.
	FaultOtherAttempt FaultKind = "cross_attempt"
	// FaultCut drops a stream after Factor chunks.
	FaultCut FaultKind = "cut"
	// FaultDuplicateChunk sends each chunk twice.
	FaultDuplicateChunk FaultKind = "duplicate_chunk"
	// FaultSkipChunk leaves out one chunk of a stream.
	FaultSkipChunk FaultKind = "skip_chunk"
	// FaultCrashMarked crashes the upstream when a request contains Match.
	FaultCrashMarked FaultKind = "crash_marked"
	// FaultIgnoreFence accepts orders with old fencing numbers.
	FaultIgnoreFence FaultKind = "ignore_fence"
	// FaultLateEvents publishes cache events Delay late.
	FaultLateEvents FaultKind = "late_events"
	// FaultDropEvents leaves out cache events.
	FaultDropEvents FaultKind = "drop_events"
	// FaultWrongLoad reports Factor times the true load.
	FaultWrongLoad FaultKind = "lie_load"
	// FaultRateLimit bounds requests to Factor a second; those above get 429.
	FaultRateLimit FaultKind = "rate_limit"
)

var faultKinds = map[FaultKind]bool{
	FaultDown: true, FaultRefuse: true, FaultSlow: true, FaultLoseAnswer: true, FaultHang: true,
	FaultOtherCall: true, FaultOtherAttempt: true, FaultCut: true, FaultDuplicateChunk: true,
	FaultSkipChunk: true, FaultCrashMarked: true, FaultIgnoreFence: true, FaultLateEvents: true,
	FaultDropEvents: true, FaultWrongLoad: true, FaultRateLimit: true, FaultLateWrite: true,
}

// Fault is one fault in force.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Match restricts the fault to requests whose path, service name, call id or
	// content contains it; empty matches all.
	Match string `json:"match,omitempty"`
	// Count is the number of requests that it hits; 0 is without bound.
	Count int `json:"count,omitempty"`
	// For is how long it lasts; 0 is until cleared.
	For structs.Duration `json:"for,omitempty"`
	// Delay is the delay of slow and late faults.
	Delay structs.Duration `json:"delay,omitempty"`
	// Factor is the number that the kind describes.
	Factor float64 `json:"factor,omitempty"`
	// Clear ends the fault; kind "all" ends all.
	Clear bool `json:"clear,omitempty"`
}

type activeFault struct {
	Fault
	until time.Time
	// windowStart and windowCount serve FaultRateLimit.
	windowStart time.Time
	windowCount float64
}

// Faults is the set of faults in force at one stand-in. Safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	active map[FaultKind]*activeFault
}

func newFaults() *Faults { return &Faults{active: make(map[FaultKind]*activeFault)} }

const allFaults FaultKind = "all"

// Set puts a fault in force, in place of one of the same kind, or clears it.
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

// List returns the faults in force, by kind.
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

// current returns the fault of a kind, or nil when there is none or it has lapsed.
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

// empty reports whether no fault is in force.
func (f *Faults) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.active) == 0
}

// peek returns the fault of a kind without using up its count.
func (f *Faults) peek(kind FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.current(kind)
	if a == nil {
		return Fault{}, false
	}
	return a.Fault, true
}

// take returns the fault of a kind that hits a request described by subject,
// and uses up one of its count.
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

// overRateLimit reports whether the rate limit refuses a request now.
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

// faultAction is what befalls a request before it takes effect.
type faultAction int

const (
	proceed faultAction = iota
	dropped
	refused
	rateLimited
)

// beforeEffect applies the faults that act beforeEffect a request takes effect.
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

// afterEffect applies the faults that act once a request has taken effect; it reports
// whether the answer is lost.
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

const maxFaultBytes = 4 << 10

// ServeHTTP serves POST /fault, which sets or clears one fault, and GET /fault,
// which lists those in force.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, f.List())
		return
	}
	var fault Fault
	if err := readJSON(w, r, maxFaultBytes, &fault); err != nil {
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
