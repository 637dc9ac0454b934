// Package runner is the shell of program and action machines: it runs all programs whose
// home is this process.
//
// Programs are divided among shards. A shard is one duty that steps its machines, fed by a
// bounded ring; a second duty appends its records to the journal. Each model or tool call
// has a goroutine of its own, of which a program has at most one beside its sub-agents.
package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// Engines makes model calls.
type Engines interface {
	// Call returns the whole answer. onChunk is called in order with the text as it comes;
	// offset is the number of bytes before it, and an offset of 0 after others says that
	// the text starts anew. Errors are *structs.Refusal or ctx's error.
	Call(ctx context.Context, call structs.ModelCall, onChunk func(offset int, text string)) (structs.ModelAnswer, error)
}

// Tools calls tool services and plain services.
type Tools interface {
	// Run sends the request once. Errors are *structs.Refusal or ctx's error; only a
	// refusal with OutcomeNotRun says that the service cannot have started it.
	Run(ctx context.Context, request structs.ToolRequest) (string, error)
	// QueryStatus asks the service for its account of a request that was sent with the key.
	// A service that cannot tell gives an error.
	QueryStatus(ctx context.Context, tool, key string) (action.RequestStatus, string, error)
}

// Journal keeps entries in the home log; committer.Committer is one. Its owner tells the
// runner with Committed and Stopped what became of them.
type Journal interface {
	// Append queues entries that are committed together and returns the sequence number of
	// the last. It waits while too much is not committed.
	Append(ctx context.Context, entries ...homelog.Entry) (uint64, error)
}

// Config holds the settings of a Runner. Zero numbers and durations take their defaults.
type Config struct {
	// Log is the own home log, Node the name of this process.
	Log  structs.LogID
	Node structs.NodeID
	// Program holds the limits of programs; Runner sets AttemptBase.
	Program program.Config
	Action  action.Config
	Engines Engines
	Tools   Tools
	Journal Journal
	Table   platform.Table
	// TurnTimeout returns how long callers of a program kind wait by the preset in force; nil
	// or zero leaves it to Program.TurnTimeout.
	TurnTimeout func(kind string) time.Duration
	// OnReleased is called when a program has ended; nil calls nothing.
	OnReleased func(structs.ProgramID)

	// Shards is the number of duties that step programs.
	Shards int
	// RingSize is the number of messages that may wait for one shard.
	RingSize int
	// MaxTurns bounds the turns under way.
	MaxTurns int
	// MaxBacklog bounds the bytes of records that the journal has not taken, above which no turn is begun.
	MaxBacklog int64
	// OpenWait bounds the wait for the commit of a new program.
	OpenWait time.Duration
	// RequestTimeout bounds one request to the table or one question to a service.
	RequestTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultShards         = 4
	DefaultRingSize       = 1024
	DefaultMaxTurns       = 4096
	DefaultMaxBacklog     = 8 << 20
	DefaultOpenWait       = 10 * time.Second
	DefaultRequestTimeout = 2 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Shards, DefaultShards)
	setDefault(&c.RingSize, DefaultRingSize)
	setDefault(&c.MaxTurns, DefaultMaxTurns)
	setDefault(&c.MaxBacklog, DefaultMaxBacklog)
	setDefault(&c.OpenWait, DefaultOpenWait)
	setDefault(&c.RequestTimeout, DefaultRequestTimeout)
	c.Action = c.Action.WithDefaults()
	c.Program = c.Program.WithDefaults()
	c.Program.AttemptBase = attemptBase(c.Log)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// attemptBase sets the attempts of different homes of one program apart.
func attemptBase(log structs.LogID) uint32 {
	return uint32(xxhash.Sum64String(string(log))) &^ (1<<program.AttemptBits - 1)
}

// Runner runs programs. All methods may be called from any goroutine.
type Runner struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
	shards []*shard

	mu sync.RWMutex
	// where maps a program to its shard, keys the open requests to what they opened,
	// children a parent's call to its sub-agent.
	where    map[structs.ProgramID]int
	keys     map[openKey]opened
	children map[structs.CallID]structs.ProgramID
	last     uint64

	draining atomic.Bool
	fenced   atomic.Pointer[structs.Refusal]
	// busy counts the programs with a turn under way, or an end of one that is not committed.
	busy   atomic.Int64
	turns  atomic.Int64
	idle   chan struct{}
	caller atomic.Uint64
	// through is the sequence number up to which the journal is committed.
	through atomic.Uint64
}

var _ home.Home = (*Runner)(nil)

// openKey identifies an open request within an organisation.
type openKey struct {
	organisation structs.OrganisationID
	key          string
}

type opened struct {
	program structs.ProgramID
	spec    structs.ProgramSpec
}

// New returns a runner whose duties run until Close.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:      cfg.withDefaults(),
		where:    map[structs.ProgramID]int{},
		keys:     map[openKey]opened{},
		children: map[structs.CallID]structs.ProgramID{},
		idle:     make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for range r.cfg.Shards {
		s := newShard(r)
		r.shards = append(r.shards, s)
		r.duties.Go(s.run)
		r.duties.Go(s.records.run)
	}
	return r
}

// Close ends all duties and calls at once, as a crash would, and waits for them.
func (r *Runner) Close() {
	r.cancel()
	r.duties.Wait()
}

// Committed tells that the journal holds all entries up to the sequence number.
func (r *Runner) Committed(through uint64) {
	for {
		old := r.through.Load()
		if through <= old || r.through.CompareAndSwap(old, through) {
			break
		}
	}
	for _, s := range r.shards {
		_ = s.tasks.Push(r.ctx, (*shard).commit)
	}
}

// Stopped tells that the home log is sealed: its successor, if any, runs the programs now.
// Every turn under way ends with a refusal, and nothing more is recorded.
func (r *Runner) Stopped(successor structs.LogID) {
	refusal := structs.Refusalf(structs.CodeFenced, structs.OutcomeUnknown, "commit",
		"home log %q is sealed; log %q succeeds it", r.cfg.Log, successor)
	refusal.Peer = string(r.cfg.Node)
	r.fenced.Store(refusal)
	for _, s := range r.shards {
		_ = s.tasks.Push(r.ctx, func(s *shard) { s.dropAll(refusal) })
	}
}

// shardOf returns the shard that runs the program, or nil.
func (r *Runner) shardOf(id structs.ProgramID) *shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	i, found := r.where[id]
	if !found {
		return nil
	}
	return r.shards[i]
}

// place chooses the shard of a program that has no parent here.
func (r *Runner) place(id structs.ProgramID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(len(r.shards)))
}

// newID numbers a program of the own log.
func (r *Runner) newID() structs.ProgramID {
	r.last++
	return structs.NewProgramID(r.cfg.Log, r.last)
}

// owner names one attempt at an action.
func (r *Runner) owner(request structs.ToolRequest) action.Owner {
	return action.Owner{Log: r.cfg.Log, Call: request.Call, Attempt: request.Attempt, Nonce: rand.Uint64()}
}

// Drain takes no more programs and turns and waits until no turn is under way and all ends
// of turns are committed, or until ctx ends; then it returns ctx's error.
func (r *Runner) Drain(ctx context.Context) error {
	r.draining.Store(true)
	for r.busy.Load() > 0 {
		select {
		case <-r.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// HandOver ends the running of all programs and returns their whole states for the
// journal, in the order of their ids. Turns still under way go on at the next home.
func (r *Runner) HandOver(ctx context.Context) ([]homelog.Entry, error) {
	r.draining.Store(true)
	refusal := structs.Refusalf(structs.CodeDraining, structs.OutcomeUnknown, "hand over",
		"home log %q is handed over", r.cfg.Log)
	refusal.Peer = string(r.cfg.Node)
	refusal.RetryAfter = handOverRetryAfter
	r.fenced.CompareAndSwap(nil, refusal)
	var entries []homelog.Entry
	for _, s := range r.shards {
		part, err := ask(ctx, s, func(s *shard) []homelog.Entry { return s.handOver(refusal) })
		if err != nil {
			return nil, err
		}
		entries = append(entries, part...)
	}
	sortByProgram(entries)
	return entries, nil
}

// handOverRetryAfter is when callers find a program at its next home.
const handOverRetryAfter = time.Second
