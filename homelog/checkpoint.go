package homelog

import "bytes"

// checkpointer folds committed records into objects, so that an adopter reads a bounded
// number of records.
type checkpointer struct {
	// tail are the entries committed since the last checkpoint began, in tailRecords records.
	tail        []Entry
	tailRecords int
	// tailObjects are the objects that carry large batches among them.
	tailObjects []string
	parts       []Object
	// merged is the number of parts that the last merge left.
	merged int
	// trimmed is the number of the first record whose row has not been deleted.
	trimmed uint64
	running bool
}

// add takes a committed record into the tail.
func (c *checkpointer) add(b *batch) {
	c.tail = append(c.tail, b.entries...)
	c.tailRecords++
	for _, o := range b.objects {
		c.tailObjects = append(c.tailObjects, o.Key)
	}
}

// checkpointJob is one checkpoint under way.
type checkpointJob struct {
	through uint64
	entries []Entry
	// objects are deleted afterwards.
	objects []string
	value   []byte
	parts   []Object
	tries   int
	// merge says that the parts replace all earlier ones.
	merge bool
}

// startCheckpoint begins a checkpoint when enough records have been created.
func (m *Machine) startCheckpoint() {
	c := &m.checkpoints
	if m.stopped || c.running || m.retire.begun || !m.checkpointDue() {
		return
	}
	c.running = true
	job := &checkpointJob{through: m.nextNumber - 1, entries: c.tail, objects: c.tailObjects}
	c.tail, c.tailRecords, c.tailObjects = nil, 0, nil
	switch {
	case m.state.empty():
		m.replaceParts(job)
		m.writePart(job, nil)
	case len(c.parts)-c.merged < m.cfg.MaxParts:
		job.parts = append(job.parts, c.parts...)
		m.writePart(job, fold(job.entries, len(c.parts) == 0))
	default:
		m.mergeParts(job)
	}
}

// checkpointDue says that there are records enough, or too many to retire in one transaction.
func (m *Machine) checkpointDue() bool {
	if m.retire.wanted && m.untrimmed() > m.retireLimit() {
		return true
	}
	return m.checkpoints.tailRecords >= m.cfg.CheckpointEvery
}

// replaceParts has the objects of the present parts deleted after the checkpoint.
func (m *Machine) replaceParts(job *checkpointJob) {
	for _, p := range m.checkpoints.parts {
		job.objects = append(job.objects, p.Key)
	}
}

// mergeParts reads all parts and folds them with the new entries into one.
func (m *Machine) mergeParts(job *checkpointJob) {
	old := m.checkpoints.parts
	m.readParts(old, 0, nil, func(entries []Entry, err error) {
		if err != nil {
			// The old parts stay as they are; an adopter reports the fault.
			job.parts = append(job.parts, old...)
			m.writePart(job, fold(job.entries, false))
			return
		}
		m.replaceParts(job)
		job.merge = true
		m.writePart(job, fold(append(entries, job.entries...), true))
	})
}

// readParts reads the own log's parts from index i on and hands their entries over.
func (m *Machine) readParts(parts []Object, i int, entries []Entry, done func([]Entry, error)) {
	if i == len(parts) {
		done(entries, nil)
		return
	}
	m.readObject(m.cfg.Log, parts[i].Key, parts[i].Digest, RecordPart, func(r Record, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		m.readParts(parts, i+1, append(entries, r.Entries...), done)
	})
}

// writePart puts the entries' objects, unless nothing is left to keep, and then the row.
func (m *Machine) writePart(job *checkpointJob, entries []Entry) {
	job.entries = nil
	record := Record{Kind: RecordPart, Log: m.cfg.Log, Number: job.through, Entries: entries}
	key := func(i int) string { return partObjectKey(m.cfg.Log, job.through, i) }
	m.putEntries(record, key, func(objects []Object) {
		job.parts = append(job.parts, objects...)
		m.writeCheckpoint(job)
	})
}

// writeCheckpoint reads the version of the checkpoint row, so that a late repetition of
// an earlier transaction cannot take the row back, and then writes the row.
func (m *Machine) writeCheckpoint(job *checkpointJob) {
	trim := m.trim(job.through)
	trimmed := m.checkpoints.trimmed + uint64(len(trim))
	job.value = mustJSON(checkpoint{Through: job.through, Trimmed: trimmed, Parts: job.parts})
	key := CheckpointKey(m.cfg.Log)
	m.getRow(key, func(r Result) {
		if r.Outcome == Done && bytes.Equal(r.Row.Value, job.value) {
			m.finishCheckpoint(job)
			return
		}
		txn := Txn{
			Conditions: append(Unsealed(m.cfg.Log), Condition{Key: key, Version: r.Row.Version}),
			Writes:     append([]Write{{Key: key, Value: job.value}}, trim...),
		}
		m.apply(txn, func(o Outcome) {
			if o == Done {
				m.finishCheckpoint(job)
				return
			}
			m.retryCheckpoint(job, o)
		})
	})
}

// retryCheckpoint repeats a transaction whose answer was lost. A failed condition means
// that an earlier attempt took effect, or that the log is sealed, which the next record finds.
func (m *Machine) retryCheckpoint(job *checkpointJob, o Outcome) {
	if o == ConditionFailed {
		m.whileUnsealed(func() { m.repeatCheckpoint(job) })
		return
	}
	m.repeatCheckpoint(job)
}

func (m *Machine) repeatCheckpoint(job *checkpointJob) {
	job.tries++
	m.after(m.backoff(job.tries), func() { m.writeCheckpoint(job) })
}

// trim returns the deletions of records up to through, as many as fit beside the row.
func (m *Machine) trim(through uint64) []Write {
	writes := m.trimAll(through)
	return writes[:min(len(writes), m.cfg.TxnWrites-1)]
}

func (m *Machine) trimAll(through uint64) []Write {
	var writes []Write
	for n := m.checkpoints.trimmed; n <= through; n++ {
		writes = append(writes, Write{Key: RecordKey(m.cfg.Log, n), Delete: true})
	}
	return writes
}

// finishCheckpoint takes the checkpoint as kept and deletes what it replaces.
func (m *Machine) finishCheckpoint(job *checkpointJob) {
	c := &m.checkpoints
	c.parts = job.parts
	if job.merge || len(c.parts) == 0 {
		c.merged = len(c.parts)
	}
	c.trimmed += uint64(len(m.trim(job.through)))
	done := func() { m.deleteObjects(job.objects, func() { c.running = false }) }
	rest := m.trimAll(job.through)
	if len(rest) == 0 {
		done()
		return
	}
	m.deleteRows(rest, func() {
		c.trimmed = job.through + 1
		done()
	})
}
