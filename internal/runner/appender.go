package runner

import (
	"sync"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// maxAppendBytes bounds the entries that one append takes, but for a single larger entry.
const maxAppendBytes = 256 << 10

// appender hands the records of one shard to the journal in their order, so that the
// shard never waits for it.
type appender struct {
	s *shard

	mu          sync.Mutex
	queue       []pendingRecord
	bytes       int64
	uncommitted []appendedBatch
	wake        chan struct{}
}

// pendingRecord is one program's pendingRecord on its way to the journal.
type pendingRecord struct {
	entry homelog.Entry
	seq   uint64
}

// appendedBatch is an append that the journal has taken: its number there and the records in it.
type appendedBatch struct {
	sequence uint64
	records  []recordRef
}

// recordRef names a record of a program.
type recordRef struct {
	program structs.ProgramID
	seq     uint64
}

func newAppender(s *shard) *appender { return &appender{s: s, wake: make(chan struct{}, 1)} }

// add queues a record. The queue is bounded by the turns that the runner admits: none begins
// while backlog is over its limit.
func (a *appender) add(r pendingRecord) {
	a.mu.Lock()
	a.queue = append(a.queue, r)
	a.bytes += int64(len(r.entry.Data))
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// backlog returns the bytes of records that the journal has not taken.
func (a *appender) backlog() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// run is the appender's duty.
func (a *appender) run() {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			select {
			case <-a.wake:
				continue
			case <-a.s.r.ctx.Done():
				return
			}
		}
		if !a.append(batch) {
			return
		}
	}
}

// nextBatch returns the records of the nextBatch append, which stay in the queue.
func (a *appender) nextBatch() []pendingRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := 0
	for i, r := range a.queue {
		size += len(r.entry.Data)
		if i > 0 && size > maxAppendBytes {
			return a.queue[:i:i]
		}
	}
	return a.queue[:len(a.queue):len(a.queue)]
}

// append gives the records to the journal. It returns false when the journal takes no more;
// the journal's owner tells the runner then with Stopped.
func (a *appender) append(batch []pendingRecord) bool {
	entries := make([]homelog.Entry, 0, len(batch))
	marks := make([]recordRef, 0, len(batch))
	for _, r := range batch {
		entries = append(entries, r.entry)
		marks = append(marks, recordRef{r.entry.Program, r.seq})
	}
	sequence, err := a.s.r.cfg.Journal.Append(a.s.r.ctx, entries...)
	if errors.Is(err, homelog.ErrTooLarge) && len(batch) > 1 {
		return a.append(batch[:len(batch)/2])
	}
	if err != nil {
		a.failShard(marks, err)
		return false
	}
	a.markAppended(batch, appendedBatch{sequence, marks})
	_ = a.s.tasks.Push(a.s.r.ctx, (*shard).notifyCommitted)
	return true
}

func (a *appender) markAppended(batch []pendingRecord, n appendedBatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = a.queue[len(batch):]
	for _, r := range batch {
		a.bytes -= int64(len(r.entry.Data))
	}
	a.uncommitted = append(a.uncommitted, n)
}

// failShard ends all programs of the shard: what they did last cannot be kept here.
func (a *appender) failShard(marks []recordRef, err error) {
	if a.s.r.ctx.Err() != nil {
		return
	}
	refusal := structs.Refusalf(structs.CodeFenced, structs.OutcomeUnknown, "append",
		"the journal takes no record of %q: %v", marks[0].program, err)
	refusal.Peer = string(a.s.r.cfg.Node)
	a.s.r.fenced.CompareAndSwap(nil, refusal)
	_ = a.s.tasks.Push(a.s.r.ctx, func(s *shard) { s.dropAll(refusal) })
}

// takeCommitted returns a message for each program of which the journal came to hold records.
func (a *appender) takeCommitted(through uint64) []delivery {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []delivery
	index := map[structs.ProgramID]int{}
	n := 0
	for n < len(a.uncommitted) && a.uncommitted[n].sequence <= through {
		for _, m := range a.uncommitted[n].records {
			i, found := index[m.program]
			if !found {
				i = len(out)
				index[m.program] = i
				out = append(out, delivery{to: m.program})
			}
			out[i].msg = program.Committed{Seq: m.seq}
		}
		n++
	}
	a.uncommitted = a.uncommitted[n:]
	return out
}
