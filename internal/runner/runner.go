// Package runner runs all programs whose home is this process. It is the driver of the
// machines of packages program and action: it steps them with messages and carries out their
// effects, which are records for the home log, model calls, tool calls, answers to callers and
// timers. It decides on which shard a program runs, whether a new program, turn or direct
// request is admitted, and when the process has drained and hands its programs over. Sizes are
// in bytes, and limits are counts of turns or of queued messages.
//
// The home of a program is the entry (the process that accepts callers' requests) that owns and
// runs it. An entry writes the records of its programs to its home log, which is the write-ahead
// log of one incarnation of the entry. When another entry takes the programs over, the log is
// sealed, that is closed against further appends.
//
// Programs are divided among shards. A shard is one goroutine that steps its machines, fed by
// a bounded queue; a second goroutine appends the shard's records to the home log. Each model
// or tool call runs in its own goroutine. A program has at most one call in flight beside its
// sub-agents.
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
	// Call returns the whole answer. While the answer is generated, it passes the text to
	// onChunk in order. offset is the number of bytes that precede the chunk; an offset of 0
	// after other chunks means that the text restarts from its beginning. Errors are
	// *structs.Refusal or ctx's error.
	Call(ctx context.Context, call structs.ModelCall, onChunk func(offset int, text string)) (structs.ModelAnswer, error)
}

// Tools calls tool services and plain services.
type Tools interface {
	// Run sends the request once. Errors are *structs.Refusal or ctx's error. Only a
	// refusal with OutcomeNotRun guarantees that the service did not start the request.
	Run(ctx context.Context, request structs.ToolRequest) (string, error)
	// QueryStatus returns the service's status of a request that was sent with the key, and
	// the result if it has completed. It returns an error when the service cannot report one.
	QueryStatus(ctx context.Context, tool, key string) (action.RequestStatus, string, error)
}

// HomeLog appends entries to the home log; committer.Committer implements it. The owner of the
// home log reports commits and the seal of the log to the runner by Committed and Stopped.
type HomeLog interface {
	// Append queues entries that are committed together and returns the sequence number of
	// the last. It waits while too many bytes are not committed.
	Append(ctx context.Context, entries ...homelog.Entry) (uint64, error)
}

// Config holds the settings of a Runner. Zero numbers and durations take their defaults.
type Config struct {
	// Log is the home log of this process.
	Log structs.LogID
	// Node is the name of this process.
	Node structs.NodeID
	// Program holds the limits of programs. New sets its AttemptBase.
	Program program.Config
	Action  action.Config
	Engines Engines
	Tools   Tools
	HomeLog HomeLog
	Table   platform.Table
	// TurnTimeout returns the turn timeout of a program kind under the preset in force. If it is
	// nil or returns 0, the timeout is Program.TurnTimeout.
	TurnTimeout func(kind string) time.Duration
	// OnEnded is called when a program has ended and its end is committed. It may be nil.
	OnEnded func(structs.ProgramID)

	// Shards is the number of goroutines that step programs.
	Shards int
	// RingSize is the capacity of each shard's queue, in messages.
	RingSize int
	// MaxTurns is the maximum number of running turns. At the maximum, new turns and programs
	// are refused.
	MaxTurns int
	// MaxBacklog is the maximum size, in bytes and per shard, of the records that are not yet
	// appended to the home log. Above it, new turns and programs are refused.
	MaxBacklog int64
	// OpenTimeout limits the wait for the commit of a new program.
	OpenTimeout time.Duration
	// RequestTimeout limits one request to the platform's table or one status query to a service.
	RequestTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultShards         = 4
	DefaultRingSize       = 1024 // messages
	DefaultMaxTurns       = 4096
	DefaultMaxBacklog     = 8 << 20 // bytes
	DefaultOpenTimeout    = 10 * time.Second
	DefaultRequestTimeout = 2 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Shards, DefaultShards)
	setDefault(&c.RingSize, DefaultRingSize)
	setDefault(&c.MaxTurns, DefaultMaxTurns)
	setDefault(&c.MaxBacklog, DefaultMaxBacklog)
	setDefault(&c.OpenTimeout, DefaultOpenTimeout)
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

// attemptBase returns the number from which this home counts attempts. It is a hash of the
// log's ID, so that the attempts of different homes of one program differ with high probability.
func attemptBase(log structs.LogID) uint32 {
	return uint32(xxhash.Sum64String(string(log))) &^ (1<<program.AttemptBits - 1)
}

// Runner runs programs. All methods may be called from any goroutine.
type Runner struct {
	cfg        Config
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	shards     []*shard

	// mu guards the fields up to lastNumber.
	mu sync.RWMutex
	// shardIndex maps a program to the index of its shard.
	shardIndex map[structs.ProgramID]int
	// openKeys maps the idempotency keys of open requests to the programs that they opened.
	openKeys map[openKey]openedProgram
	// children maps the call of a parent to its sub-agent.
	children map[structs.CallID]structs.ProgramID
	// lastNumber is the number of the newest program that was opened in this log.
	lastNumber uint64

	draining atomic.Bool
	// fenced is the refusal of all requests once this process no longer runs the programs of
	// its log: the log was sealed or handed over, or does not accept records.
	fenced atomic.Pointer[structs.Refusal]
	// busy is the number of direct actions (irreversible requests of Invoke) in progress and of
	// programs that are running a turn or whose last turn's end is not committed.
	busy         atomic.Int64
	runningTurns atomic.Int64
	// idle receives a value when busy falls to 0.
	idle chan struct{}
	// lastCaller is the number of the latest submission, by which a machine identifies its caller.
	lastCaller atomic.Uint64
	// committedThrough is the sequence number up to which the home log is committed.
	committedThrough atomic.Uint64
}

var _ home.Home = (*Runner)(nil)

// openKey is the idempotency key of an open request, which is unique within an organisation.
type openKey struct {
	organisation structs.OrganisationID
	key          string
}

// openedProgram is the program that an open request with an idempotency key opened.
type openedProgram struct {
	program structs.ProgramID
	spec    structs.ProgramSpec
}

// New returns a runner whose goroutines run until Close.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:        cfg.withDefaults(),
		shardIndex: map[structs.ProgramID]int{},
		openKeys:   map[openKey]openedProgram{},
		children:   map[structs.CallID]structs.ProgramID{},
		idle:       make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for range r.cfg.Shards {
		s := newShard(r)
		r.shards = append(r.shards, s)
		r.goroutines.Go(s.run)
		r.goroutines.Go(s.appender.run)
	}
	return r
}

// Close stops all goroutines and calls at once, as a crash would, and waits until they have ended.
func (r *Runner) Close() {
	r.cancel()
	r.goroutines.Wait()
}

// Committed notifies the runner that the home log has committed all entries up to the
// sequence number. Calls may skip numbers.
func (r *Runner) Committed(through uint64) {
	for {
		old := r.committedThrough.Load()
		if through <= old || r.committedThrough.CompareAndSwap(old, through) {
			break
		}
	}
	for _, s := range r.shards {
		_ = s.tasks.Push(r.ctx, (*shard).notifyCommitted)
	}
}

// Stopped notifies the runner that the home log is sealed. The log's successor, if any, runs
// the programs now. Every running turn ends with a refusal, and no further record is
// appended. Direct actions in progress continue.
func (r *Runner) Stopped(successor structs.LogID) {
	refusal := structs.Refusalf(structs.CodeFenced, structs.OutcomeUnknown, "commit",
		"home log %q is sealed; log %q succeeds it", r.cfg.Log, successor)
	refusal.Peer = string(r.cfg.Node)
	r.fenced.Store(refusal)
	for _, s := range r.shards {
		_ = s.tasks.Push(r.ctx, func(s *shard) { s.dropAll(refusal) })
	}
}

// shardOf returns the shard that runs the program, or nil if it does not run here.
func (r *Runner) shardOf(id structs.ProgramID) *shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	i, found := r.shardIndex[id]
	if !found {
		return nil
	}
	return r.shards[i]
}

// assignShard returns the index of the shard for a program without a parent in this process.
func (r *Runner) assignShard(id structs.ProgramID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(len(r.shards)))
}

// newID returns the next program ID of this process's log. The caller holds the lock.
func (r *Runner) newID() structs.ProgramID {
	r.lastNumber++
	return structs.NewProgramID(r.cfg.Log, r.lastNumber)
}

// actionOwner identifies one attempt at an action, with a random nonce.
func (r *Runner) actionOwner(request structs.ToolRequest) action.Owner {
	return action.Owner{Log: r.cfg.Log, Call: request.Call, Attempt: request.Attempt, Nonce: rand.Uint64()}
}

// Drain refuses new programs, turns and direct requests (Invoke) from now on. It waits until all
// running turns and direct actions have ended and the ends of the turns are committed. A direct
// action is an irreversible direct request; Drain does not wait for other direct requests. If ctx ends before that, it returns ctx's error.
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

// HandOver stops all programs and returns a checkpoint of each for the home log, in the order
// of their IDs. Turns that are still running continue at the next home.
func (r *Runner) HandOver(ctx context.Context) ([]homelog.Entry, error) {
	r.draining.Store(true)
	refusal := structs.Refusalf(structs.CodeDraining, structs.OutcomeUnknown, "hand over",
		"home log %q is handed over", r.cfg.Log)
	refusal.Peer = string(r.cfg.Node)
	refusal.RetryAfter = refusalRetryAfter
	r.fenced.CompareAndSwap(nil, refusal)
	var entries []homelog.Entry
	for _, s := range r.shards {
		part, err := runOn(ctx, s, func(s *shard) []homelog.Entry { return s.handOver(refusal) })
		if err != nil {
			return nil, err
		}
		entries = append(entries, part...)
	}
	sortByProgram(entries)
	return entries, nil
}

// refusalRetryAfter is the retry hint of refusals for draining, overload and a late commit.
// After it, callers normally find a handed-over program at its next home.
const refusalRetryAfter = time.Second
