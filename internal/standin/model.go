package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// ModelConfig configures a model engine stand-in. A zero field takes its default.
// Times are in modelled time unless stated otherwise; TimeScale converts them to real time.
type ModelConfig struct {
	Name   string                `toml:"name"`
	Listen string                `toml:"listen"`
	VM     structs.VMID          `toml:"vm"`
	Domain structs.FailureDomain `toml:"domain"`
	// Models are the models loaded at the start; while none is loaded, any model is served.
	Models []string `toml:"models"`
	// PrefillRate is in tokens a second.
	PrefillRate float64 `toml:"prefill_rate"`
	// StepTime is the time of a decode step with one call; each further call in the batch
	// adds StepTimePerCall.
	StepTime        structs.Duration `toml:"step_time"`
	StepTimePerCall structs.Duration `toml:"step_time_per_call"`
	// BatchLimit is the maximum number of running calls, QueueLimit of waiting calls.
	BatchLimit int `toml:"batch_limit"`
	QueueLimit int `toml:"queue_limit"`
	// PrefillChunk is the maximum number of prompt tokens computed in one step.
	PrefillChunk int `toml:"prefill_chunk"`
	// KVTokens is the size of the prefix cache in tokens.
	KVTokens int64 `toml:"kv_tokens"`
	// TransferRate is the rate of KV export and import in tokens a second.
	TransferRate float64 `toml:"transfer_rate"`
	// LoadTime is the time that loading a model or adapter takes.
	LoadTime structs.Duration `toml:"load_time"`
	// ReportLag is the age of the load report in real time.
	ReportLag structs.Duration `toml:"report_lag"`
	// RestartTime is how long the engine is down after a crash, in real time.
	RestartTime structs.Duration `toml:"restart_time"`
	// IgnoreFence accepts orders with old fencing numbers.
	IgnoreFence bool `toml:"ignore_fence"`
	// TimeScale is the number of real seconds per modelled second; 0.1 runs 10 times as
	// fast.
	TimeScale float64 `toml:"time_scale"`
	// Observe, when not nil, is called for each call that ends with its complete answer. It
	// is called with the engine's lock held and must not block or call the Model.
	Observe func(Observation) `toml:"-"`
}

// Observation describes the prefix cache use of a call that ended with its complete answer.
type Observation struct {
	// Prompt and Conversation are the block chains of the prompt and of prompt and answer.
	Prompt, Conversation []uint64
	// PromptTokens is the length of the prompt, CachedTokens that of its cached part.
	PromptTokens, CachedTokens int
}

// Defaults of ModelConfig.
const (
	defaultPrefillRate     = 8000
	defaultStepTime        = structs.Duration(20 * time.Millisecond)
	defaultStepTimePerCall = structs.Duration(500 * time.Microsecond)
	defaultBatchLimit      = 16
	defaultQueueLimit      = 256
	defaultPrefillChunk    = 2048
	defaultKVTokens        = 256 << 10
	defaultTransferRate    = 50000
	defaultLoadTime        = structs.Duration(5 * time.Second)
	defaultReportLag       = structs.Duration(200 * time.Millisecond)
	defaultRestartTime     = structs.Duration(time.Second)
)

func (c ModelConfig) withDefaults() ModelConfig {
	orDefault(&c.PrefillRate, defaultPrefillRate)
	orDefault(&c.StepTime, defaultStepTime)
	orDefault(&c.StepTimePerCall, defaultStepTimePerCall)
	orDefault(&c.BatchLimit, defaultBatchLimit)
	orDefault(&c.QueueLimit, defaultQueueLimit)
	orDefault(&c.PrefillChunk, defaultPrefillChunk)
	orDefault(&c.KVTokens, defaultKVTokens)
	orDefault(&c.TransferRate, defaultTransferRate)
	orDefault(&c.LoadTime, defaultLoadTime)
	orDefault(&c.ReportLag, defaultReportLag)
	orDefault(&c.RestartTime, defaultRestartTime)
	orDefault(&c.TimeScale, 1)
	return c
}

// orDefault sets a zero field to value.
func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Errors with which a model engine refuses a call or an order; a refused one has no effect.
var (
	ErrQueueFull    = errors.New("engine queue is full")
	ErrUnknownModel = errors.New("model is not loaded")
	ErrDown         = errors.New("engine is down")
	ErrTooLong      = errors.New("prompt exceeds the KV cache")
	ErrFenced       = errors.New("fencing number is old")
)

// Model is a model engine stand-in: continuous batching in a step loop, a prefix
// cache of limited size, and the timing model of docs/design/standin.md.
type Model struct {
	// Faults are the faults set at this engine.
	Faults *Faults

	config ModelConfig
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}

	mu           sync.Mutex
	cache        *prefixCache
	events       *eventLog
	running      []*sequence
	waiting      []*sequence // lower priority number first, then by arrival
	lastChains   *recentChains
	models       []string
	role         string
	fence        uint64 // highest accepted fencing number
	restarts     int
	downUntil    time.Time
	crashHandler func(downtime time.Duration)
	reports      []timedLoad // oldest first
	loadSequence uint64      // Sequence of the last load that Load returned
	stats        ModelStats
}

// ModelStats counts the work of an engine since its start.
type ModelStats struct {
	Calls           uint64 `json:"calls"`
	Cancelled       uint64 `json:"cancelled"`
	Crashes         uint64 `json:"crashes"`
	PromptTokens    uint64 `json:"prompt_tokens"`
	CachedTokens    uint64 `json:"cached_tokens"`
	GeneratedTokens uint64 `json:"generated_tokens"`
	// LastStart is when the engine last accepted a call.
	LastStart time.Time `json:"last_start"`
}

// NewModel starts a model engine stand-in; Close stops it.
func NewModel(config ModelConfig) *Model {
	config = config.withDefaults()
	m := &Model{
		Faults:     newFaults(),
		config:     config,
		wake:       make(chan struct{}, 1),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
		models:     slices.Sorted(slices.Values(config.Models)),
		role:       "mixed",
		lastChains: newRecentChains(),
	}
	m.reset()
	go m.loop()
	return m
}

// Close ends the step loop and every call. The engine then refuses calls as being down.
func (m *Model) Close() {
	close(m.stop)
	<-m.done
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelAll()
	m.downUntil = time.Now().Add(permanentDowntime)
}

// permanentDowntime (100 years) is longer than any process runs.
const permanentDowntime = 100 * 365 * 24 * time.Hour

// Stats returns the counters.
func (m *Model) Stats() ModelStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// reset starts a new incarnation of the engine with an empty cache and no cache events.
func (m *Model) reset() {
	m.events = newEventLog(fmt.Sprintf("%s-%d", m.config.Name, m.restarts))
	events := m.events
	m.cache = newPrefixCache(int(m.config.KVTokens/kvcache.BlockTokens), func(stored, removed []uint64) {
		events.add(time.Now(), stored, removed)
	})
	m.lastChains = newRecentChains()
	m.reports = nil
}

// cancelAll ends every call without a complete answer.
func (m *Model) cancelAll() {
	for _, s := range append(m.running, m.waiting...) {
		s.end(true)
	}
	m.running = nil
	m.waiting = nil
}

// Crash drops every call and the cache. The engine is down until RestartTime has passed. It
// keeps its models, its role and the highest accepted fencing number.
func (m *Model) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelAll()
	m.restarts++
	m.stats.Crashes++
	m.reset()
	downtime := time.Duration(m.config.RestartTime)
	m.downUntil = time.Now().Add(downtime)
	if m.crashHandler != nil {
		m.crashHandler(downtime)
	}
}

// onCrash sets the function called at each crash with the time until the restart.
func (m *Model) onCrash(f func(downtime time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashHandler = f
}

func (m *Model) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.downUntil)
}

// Start queues a call. Running.Tokens delivers its tokens; the caller ends the call early
// with Running.Cancel.
func (m *Model) Start(request engine.ChatRequest) (*Running, error) {
	messages := engine.FromChat(request.Messages)
	s := newSequence(request, messages)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkAdmission(s, request.Model); err != nil {
		return nil, err
	}
	// The comparison never returns 0, so that the call goes behind those of the same priority.
	at, _ := slices.BinarySearchFunc(m.waiting, s, func(a, b *sequence) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	m.waiting = slices.Insert(m.waiting, at, s)
	m.stats.Calls++
	m.stats.LastStart = time.Now()
	m.wakeUp()
	return &Running{model: m, sequence: s}, nil
}

// checkAdmission returns an error when the engine cannot queue the call.
func (m *Model) checkAdmission(s *sequence, model string) error {
	switch {
	case time.Now().Before(m.downUntil):
		return ErrDown
	case len(m.models) > 0 && !slices.Contains(m.models, model):
		return errors.Wrapf(ErrUnknownModel, "%q", model)
	case len(m.waiting) >= m.config.QueueLimit:
		return errors.Wrapf(ErrQueueFull, "%d calls wait", len(m.waiting))
	case s.blocksNeeded() > m.cache.capacity:
		return errors.Wrapf(ErrTooLong, "%d tokens", s.promptTokens)
	}
	return nil
}

func (m *Model) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Cancel ends one attempt of a call; it reports whether the attempt was queued or running.
func (m *Model) Cancel(call structs.CallID, attempt uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range append(slices.Clone(m.running), m.waiting...) {
		if s.call == call && s.attempt == attempt {
			m.remove(s)
			return true
		}
	}
	return false
}

func (m *Model) cancelSequence(s *sequence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.ended {
		m.remove(s)
	}
}

// remove ends a call early and frees its cache blocks.
func (m *Model) remove(s *sequence) {
	if i := slices.Index(m.running, s); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
		m.free(s)
	}
	if i := slices.Index(m.waiting, s); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
	m.stats.Cancelled++
	s.end(true)
}

// scaled converts modelled time to real time.
func (m *Model) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * m.config.TimeScale)
}

// Running is a call that the engine has accepted.
type Running struct {
	model    *Model
	sequence *sequence
}

// Tokens delivers the number of new answer tokens of each step; it is closed when
// the call ends.
func (r *Running) Tokens() <-chan int { return r.sequence.out }

// Cancelled reports whether the call ended without its complete answer; it is valid once
// Tokens is closed.
func (r *Running) Cancelled() bool {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	return r.sequence.cancelled
}

// Answer returns the complete answer, also before it has been generated.
func (r *Running) Answer() structs.Message { return r.sequence.answer }

// Usage returns the token usage; it is valid once Tokens is closed.
func (r *Running) Usage() engine.ChatUsage {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	s := r.sequence
	return engine.ChatUsage{
		PromptTokens:        int64(s.promptTokens),
		CompletionTokens:    int64(s.answerTokens),
		PromptTokensDetails: engine.PromptDetails{CachedTokens: int64(s.cachedTokens)},
	}
}

// Cancel ends the call unless it has ended.
func (r *Running) Cancel() { r.model.cancelSequence(r.sequence) }

// transfer waits for the time that a KV transfer of the tokens takes.
func (m *Model) transfer(ctx context.Context, tokens int) {
	seconds := float64(tokens) / m.config.TransferRate
	pause(ctx, m.scaled(time.Duration(seconds*float64(time.Second))))
}
