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

	mu      sync.Mutex
	queue   []record
	bytes   int64
	waiting []numbered
	wake    chan struct{}
}

// record is one program's record on its way to the journal.
type record struct {
	entry homelog.Entry
	seq   uint64
}

// numbered is an append that the journal has taken: its number there and the records in it.
type numbered struct {
	sequence uint64
	records  []mark
}

// mark names a record of a program.
type mark struct {
	program structs.ProgramID
	seq     uint64
}

func newAppender(s *shard) *appender { return &appender{s: s, wake: make(chan struct{}, 1)} }

// add queues a record. The queue is bounded by the turns that the runner admits: none begins
// while backlog is over its limit.
func (a *appender) add(r record) {
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
		batch := a.next()
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

// next returns the records of the next append, which stay in the queue.
func (a *appender) next() []record {
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
func (a *appender) append(batch []record) bool {
	entries := make([]homelog.Entry, 0, len(batch))
	marks := make([]mark, 0, len(batch))
	for _, r := range batch {
		entries = append(entries, r.entry)
		marks = append(marks, mark{r.entry.Program, r.seq})
	}
	sequence, err := a.s.r.cfg.Journal.Append(a.s.r.ctx, entries...)
	if errors.Is(err, homelog.ErrTooLarge) && len(batch) > 1 {
		return a.append(batch[:len(batch)/2])
	}
	if err != nil {
		a.fail(marks, err)
		return false
	}
	a.taken(batch, numbered{sequence, marks})
	_ = a.s.tasks.Push(a.s.r.ctx, (*shard).commit)
	return true
}

func (a *appender) taken(batch []record, n numbered) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = a.queue[len(batch):]
	for _, r := range batch {
		a.bytes -= int64(len(r.entry.Data))
	}
	a.waiting = append(a.waiting, n)
}

// fail ends all programs of the shard: what they did last cannot be kept here.
func (a *appender) fail(marks []mark, err error) {
	if a.s.r.ctx.Err() != nil {
		return
	}
	refusal := structs.Refusalf(structs.CodeFenced, structs.OutcomeUnknown, "append",
		"the journal takes no record of %q: %v", marks[0].program, err)
	refusal.Peer = string(a.s.r.cfg.Node)
	a.s.r.fenced.CompareAndSwap(nil, refusal)
	_ = a.s.tasks.Push(a.s.r.ctx, func(s *shard) { s.dropAll(refusal) })
}

// committed returns a message for each program of which the journal came to hold records.
func (a *appender) committed(through uint64) []delivery {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []delivery
	index := map[structs.ProgramID]int{}
	n := 0
	for n < len(a.waiting) && a.waiting[n].sequence <= through {
		for _, m := range a.waiting[n].records {
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
	a.waiting = a.waiting[n:]
	return out
}
