package homelog

import (
	"bytes"
	"crypto/sha256"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// group is the entries of one append. They are committed in the same record.
type group struct {
	entries []Entry
	bytes   int
	// last is the sequence number of the last entry.
	last uint64
}

// batch is the record being created. Its encoding never changes, so that after a lost answer
// reading the row back shows whether the create took effect.
type batch struct {
	number  uint64
	entries []Entry
	bytes   int
	// last is the sequence number of the last entry.
	last uint64
	// value is the encoded record, and objects are the objects that it points to, if any.
	value   []byte
	objects []Object
	// attempts counts the creates whose answer was lost.
	attempts int
}

// waiter is a function to run once a sequence number is committed.
type waiter struct {
	sequence uint64
	run      func()
}

// append queues the entries as one group.
func (m *Machine) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	g := group{entries: entries}
	for _, e := range entries {
		g.bytes += e.size()
	}
	m.lastSequence += uint64(len(entries))
	g.last = m.lastSequence
	m.queue = append(m.queue, g)
	m.queueBytes += g.bytes
}

// appendInternal queues an internal entry about another log and returns its sequence number.
func (m *Machine) appendInternal(kind string, log structs.LogID) uint64 {
	m.append([]Entry{{Kind: kind, Data: []byte(log)}})
	return m.lastSequence
}

// whenCommitted runs f once the sequence number is committed.
func (m *Machine) whenCommitted(sequence uint64, f func()) {
	m.waiting = append(m.waiting, waiter{sequence, f})
}

// wantsCommit reports whether a record is to be created: the first one, which opens the
// log, or one for the queued entries.
func (m *Machine) wantsCommit() bool { return !m.opened || len(m.queue) > 0 }

// commit starts to create the next record unless one is in flight or the write rate does
// not permit one yet. A batch of more than InlineBytes goes into objects first.
func (m *Machine) commit() {
	if m.stopped || m.retire.started || m.inFlight != nil || !m.wantsCommit() || !m.pacer.ready(m.now) {
		return
	}
	b := m.takeBatch()
	m.inFlight = b
	record := Record{Kind: RecordBatch, Log: m.cfg.Log, Number: b.number, Entries: b.entries}
	if b.bytes <= m.cfg.InlineBytes {
		b.value = record.Encode()
		m.create(b)
		return
	}
	m.putEntries(record, func(i int) string { return batchObjectKey(m.cfg.Log, b.number, i) }, func(objects []Object) {
		b.objects = objects
		b.value = Record{Kind: RecordPointer, Log: m.cfg.Log, Number: b.number, Objects: objects}.Encode()
		m.create(b)
	})
}

// putEntries writes the record's entries into objects of at most ObjectBytes, one after the
// other. Each object is a record of the same kind and number.
func (m *Machine) putEntries(r Record, key func(i int) string, done func([]Object)) {
	chunks := split(r.Entries, m.cfg.ObjectBytes)
	var objects []Object
	var next func()
	next = func() {
		if len(objects) == len(chunks) {
			done(objects)
			return
		}
		r.Entries = chunks[len(objects)]
		value := r.Encode()
		digest := sha256.Sum256(value)
		objects = append(objects, Object{Key: key(len(objects)), Digest: digest[:]})
		m.putObject(objects[len(objects)-1].Key, value, next)
	}
	next()
}

// split divides entries into chunks of at most limit bytes; an entry that is larger makes
// up a chunk of its own.
func split(entries []Entry, limit int) [][]Entry {
	var chunks [][]Entry
	begin, bytes := 0, 0
	for i, e := range entries {
		if i > begin && bytes+e.size() > limit {
			chunks = append(chunks, entries[begin:i])
			begin, bytes = i, 0
		}
		bytes += e.size()
	}
	if begin < len(entries) {
		chunks = append(chunks, entries[begin:])
	}
	return chunks
}

// takeBatch moves queued groups of at most BatchBytes in total into one batch. The first group
// is taken whatever its size.
func (m *Machine) takeBatch() *batch {
	b := &batch{number: m.nextNumber, last: m.committed}
	taken := 0
	for _, g := range m.queue {
		if taken > 0 && b.bytes+g.bytes > m.cfg.BatchBytes {
			break
		}
		b.entries = append(b.entries, g.entries...)
		b.bytes += g.bytes
		b.last = g.last
		taken++
	}
	m.queue = m.queue[taken:]
	m.queueBytes -= b.bytes
	return b
}

// create creates the batch's row on condition that the row is absent and the log unsealed.
// Record 0 creates the open row as well; later ones require it.
func (m *Machine) create(b *batch) {
	key := RecordKey(m.cfg.Log, b.number)
	txn := Txn{
		Conditions: []Condition{{Key: key, Version: platform.Absent}, {Key: SealKey(m.cfg.Log), Version: platform.Absent}},
		Writes:     []Write{{Key: key, Value: b.value}},
	}
	if b.number == 0 {
		open := OpenKey(m.cfg.Log)
		txn.Conditions = append(txn.Conditions, Condition{Key: open, Version: platform.Absent})
		txn.Writes = append(txn.Writes, Write{Key: open, Value: mustJSON(m.cfg.Owner)})
	} else {
		txn.Conditions = append(txn.Conditions, Condition{Key: OpenKey(m.cfg.Log), Version: openVersion})
	}
	m.apply(txn, func(o Outcome) {
		if o == Done {
			m.recordCreated(b)
			return
		}
		m.resolveCreate(b, o)
	})
}

// resolveCreate reads the row back to find out whether a create took effect whose answer
// was lost, or whose condition failed. If the row is absent after a lost answer, the create
// is sent again.
func (m *Machine) resolveCreate(b *batch, create Outcome) {
	m.getRow(RecordKey(m.cfg.Log, b.number), func(r Result) {
		switch {
		case r.Outcome == Done && bytes.Equal(r.Row.Value, b.value):
			m.recordCreated(b)
		case r.Outcome == NotFound && create == Unknown:
			b.attempts++
			m.after(m.backoff(b.attempts), func() { m.create(b) })
		default:
			m.stopSealed()
		}
	})
}

// stopSealed stops the machine, because another process has sealed the log.
func (m *Machine) stopSealed() {
	m.getRow(SealKey(m.cfg.Log), func(r Result) {
		seal, err := DecodeSeal(r.Row.Value)
		if err != nil {
			// The successor is not known, for instance because the seal row has been deleted.
			seal = Seal{}
		}
		m.stop(seal.Successor)
	})
}

// recordCreated updates the machine now that the record in flight is durable, and reports its
// entries as committed.
func (m *Machine) recordCreated(b *batch) {
	m.inFlight = nil
	m.opened = true
	m.nextNumber = b.number + 1
	m.checkpoints.add(b)
	for _, e := range b.entries {
		m.state.applyEntry(e)
	}
	if b.last > m.committed {
		m.committed = b.last
		m.emit(Committed{Through: b.last})
	}
	m.runWaiting()
}

// runWaiting runs the waiters whose sequence number is committed, in the order in which they
// were added.
func (m *Machine) runWaiting() {
	waiting := m.waiting
	m.waiting = nil
	for _, w := range waiting {
		if w.sequence <= m.committed {
			w.run()
			continue
		}
		m.waiting = append(m.waiting, w)
	}
}
