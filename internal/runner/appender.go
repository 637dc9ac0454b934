package runner

import (
	"sync"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// maxAppendBytes is the maximum size of the data in one append. A single larger record is
// appended alone.
const maxAppendBytes = 256 << 10

// appender appends the records of one shard to the home log, in their order. It runs in its
// own goroutine, so that the shard never waits for the home log.
type appender struct {
	s *shard

	mu sync.Mutex
	// queue holds the records that have not been appended; bytes is the size of their data.
	queue []pendingRecord
	bytes int64
	// uncommitted holds the appended batches that are not committed, in the order of their numbers.
	uncommitted []appendedBatch
	// wake receives a value when a record is queued.
	wake chan struct{}
}

// pendingRecord is a record of a program that has not been appended to the home log.
type pendingRecord struct {
	entry homelog.Entry
	seq   uint64
}

// appendedBatch is a batch of records that has been appended to the home log but is not yet
// committed. sequence is the home log's sequence number of the last of them.
type appendedBatch struct {
	sequence uint64
	records  []recordRef
}

// recordRef identifies a record of a program by the program's own sequence number.
type recordRef struct {
	program structs.ProgramID
	seq     uint64
}

func newAppender(s *shard) *appender { return &appender{s: s, wake: make(chan struct{}, 1)} }

// add queues a record. The queue itself has no limit. Its size is bounded because the runner
// starts no turn while the backlog exceeds MaxBacklog.
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

// backlog returns the bytes of records that have not been appended to the home log.
func (a *appender) backlog() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// run appends queued records until the runner is closed or the home log accepts no more.
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

// nextBatch returns the records for the next append. They stay in the queue until
// markAppended removes them.
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

// append appends the records to the home log. While they are too large together, it halves their
// number and leaves the rest in the queue. When the home log accepts no more records, it drops the
// shard's programs and returns false; the home log's owner then also notifies the runner by Stopped.
func (a *appender) append(batch []pendingRecord) bool {
	entries := make([]homelog.Entry, 0, len(batch))
	refs := make([]recordRef, 0, len(batch))
	for _, r := range batch {
		entries = append(entries, r.entry)
		refs = append(refs, recordRef{r.entry.Program, r.seq})
	}
	sequence, err := a.s.r.cfg.HomeLog.Append(a.s.r.ctx, entries...)
	if errors.Is(err, homelog.ErrTooLarge) && len(batch) > 1 {
		return a.append(batch[:len(batch)/2])
	}
	if err != nil {
		a.failShard(refs, err)
		return false
	}
	a.markAppended(batch, appendedBatch{sequence, refs})
	_ = a.s.tasks.Push(a.s.r.ctx, (*shard).notifyCommitted)
	return true
}

// markAppended moves the batch from the queue to the uncommitted records.
func (a *appender) markAppended(batch []pendingRecord, n appendedBatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = a.queue[len(batch):]
	for _, r := range batch {
		a.bytes -= int64(len(r.entry.Data))
	}
	a.uncommitted = append(a.uncommitted, n)
}

// failShard drops all programs of the shard, because their last records cannot be appended to
// this log. It does nothing if the runner is being closed.
func (a *appender) failShard(refs []recordRef, err error) {
	if a.s.r.ctx.Err() != nil {
		return
	}
	refusal := structs.Refusalf(structs.CodeFenced, structs.OutcomeUnknown, "append",
		"the journal takes no record of %q: %v", refs[0].program, err)
	refusal.Peer = string(a.s.r.cfg.Node)
	a.s.r.fenced.CompareAndSwap(nil, refusal)
	_ = a.s.tasks.Push(a.s.r.ctx, func(s *shard) { s.dropAll(refusal) })
}

// takeCommitted removes the batches that are committed up to the sequence number. For each program
// with records in them, it returns a Committed message with the last of these records.
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
