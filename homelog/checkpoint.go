package homelog

import "bytes"

// checkpointer folds committed records into objects, which are the parts of a checkpoint, so
// that a process that takes the log over reads a bounded number of records.
type checkpointer struct {
	// tail are the entries committed since the last checkpoint began, in tailRecords records.
	tail        []Entry
	tailRecords int
	// tailObjects are the keys of the objects that hold the large batches among them.
	tailObjects []string
	parts       []Object
	// merged is the number of parts that remained after the last merge.
	merged int
	// trimmed is the lowest record number whose row has not been deleted.
	trimmed uint64
	running bool
}

// add appends a committed record to the tail.
func (c *checkpointer) add(b *batch) {
	c.tail = append(c.tail, b.entries...)
	c.tailRecords++
	for _, o := range b.objects {
		c.tailObjects = append(c.tailObjects, o.Key)
	}
}

// checkpointJob is one checkpoint in progress, of the records up to and including through.
type checkpointJob struct {
	through uint64
	entries []Entry
	// objects are the keys of the objects to delete once the checkpoint is durable.
	objects []string
	// value is the encoded checkpoint row, and parts are the parts that it lists.
	value []byte
	parts []Object
	// attempts counts the transactions that did not succeed.
	attempts int
	// merge reports whether the parts replace all earlier ones.
	merge bool
}

// startCheckpoint begins a checkpoint when one is due and none is in progress.
func (m *Machine) startCheckpoint() {
	c := &m.checkpoints
	if m.stopped || c.running || m.retire.started || !m.checkpointDue() {
		return
	}
	c.running = true
	job := &checkpointJob{through: m.nextNumber - 1, entries: c.tail, objects: c.tailObjects}
	c.tail, c.tailRecords, c.tailObjects = nil, 0, nil
	switch {
	case m.state.empty():
		// Nothing is left to store: the checkpoint has no parts.
		m.markPartsForDeletion(job)
		m.writePart(job, nil)
	case len(c.parts)-c.merged < m.cfg.MaxParts:
		// The entries of the tail are stored as further parts.
		job.parts = append(job.parts, c.parts...)
		m.writePart(job, fold(job.entries, len(c.parts) == 0))
	default:
		m.mergeParts(job)
	}
}

// checkpointDue reports whether CheckpointEvery records have been created since the last
// checkpoint, or whether the log is to retire and has more rows than one transaction can delete.
func (m *Machine) checkpointDue() bool {
	if m.retire.requested && m.untrimmed() > m.retireLimit() {
		return true
	}
	return m.checkpoints.tailRecords >= m.cfg.CheckpointEvery
}

// markPartsForDeletion adds the objects of the current parts to those that the job deletes once
// the checkpoint is durable.
func (m *Machine) markPartsForDeletion(job *checkpointJob) {
	for _, p := range m.checkpoints.parts {
		job.objects = append(job.objects, p.Key)
	}
}

// mergeParts reads all parts and folds them together with the new entries.
func (m *Machine) mergeParts(job *checkpointJob) {
	old := m.checkpoints.parts
	m.readParts(old, 0, nil, func(entries []Entry, err error) {
		if err != nil {
			// The old parts stay as they are; a takeover of this log reports the error.
			job.parts = append(job.parts, old...)
			m.writePart(job, fold(job.entries, false))
			return
		}
		m.markPartsForDeletion(job)
		job.merge = true
		m.writePart(job, fold(append(entries, job.entries...), true))
	})
}

// readParts reads the parts of the machine's own log from index i on, appends their entries
// to entries and passes the result to done.
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

// writePart writes the entries into objects, if there are any, and then the checkpoint row.
func (m *Machine) writePart(job *checkpointJob, entries []Entry) {
	job.entries = nil
	record := Record{Kind: RecordPart, Log: m.cfg.Log, Number: job.through, Entries: entries}
	key := func(i int) string { return partObjectKey(m.cfg.Log, job.through, i) }
	m.putEntries(record, key, func(objects []Object) {
		job.parts = append(job.parts, objects...)
		m.writeCheckpoint(job)
	})
}

// writeCheckpoint reads the version of the checkpoint row and writes the row on condition of
// that version, so that a delayed duplicate of an earlier transaction cannot revert the row.
// The same transaction deletes as many of the covered records as it has room for.
func (m *Machine) writeCheckpoint(job *checkpointJob) {
	trim := m.trim(job.through)
	trimmed := m.checkpoints.trimmed + uint64(len(trim))
	job.value = mustJSON(checkpoint{Through: job.through, Trimmed: trimmed, Parts: job.parts})
	key := CheckpointKey(m.cfg.Log)
	m.getRow(key, func(r Result) {
		if r.Outcome == Done && bytes.Equal(r.Row.Value, job.value) {
			// An earlier attempt took effect.
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
// that an earlier attempt took effect or that the log is sealed; a sealed log stops the machine.
func (m *Machine) retryCheckpoint(job *checkpointJob, o Outcome) {
	if o == ConditionFailed {
		m.ifUnsealed(func() { m.repeatCheckpoint(job) })
		return
	}
	m.repeatCheckpoint(job)
}

func (m *Machine) repeatCheckpoint(job *checkpointJob) {
	job.attempts++
	m.after(m.backoff(job.attempts), func() { m.writeCheckpoint(job) })
}

// trim returns the deletions of the record rows up to and including through, as many as fit
// into one transaction beside the write of the checkpoint row.
func (m *Machine) trim(through uint64) []Write {
	writes := m.trimAll(through)
	return writes[:min(len(writes), m.cfg.TxnWrites-1)]
}

// trimAll returns the deletions of all record rows up to and including through.
func (m *Machine) trimAll(through uint64) []Write {
	var writes []Write
	for n := m.checkpoints.trimmed; n <= through; n++ {
		writes = append(writes, Write{Key: RecordKey(m.cfg.Log, n), Delete: true})
	}
	return writes
}

// finishCheckpoint records that the checkpoint is durable and deletes what it replaces.
func (m *Machine) finishCheckpoint(job *checkpointJob) {
	c := &m.checkpoints
	c.parts = job.parts
	if job.merge || len(c.parts) == 0 {
		c.merged = len(c.parts)
	}
	c.trimmed += uint64(len(m.trim(job.through)))
	done := func() { m.deleteObjects(job.objects, func() { c.running = false }) }
	// The transaction of the checkpoint had no room for the rest of the deletions.
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
