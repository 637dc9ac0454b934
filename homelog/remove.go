package homelog

import (
	"github.com/buckthornroute/buckthornroute/structs"
)

// removeLog deletes the objects and then the records of a log whose programs are committed
// in this machine's log. A process that takes this machine's log over repeats the deletion. The
// seal row stays, to redirect the callers of programs, until deleteRedirects removes it.
func (m *Machine) removeLog(log structs.LogID) {
	m.removing[log] = true
	removed := func() { delete(m.removing, log) }
	m.getRow(CheckpointKey(log), func(r Result) {
		var objects []string
		if c, err := decodeCheckpoint(r.Row.Value); r.Outcome == Done && err == nil {
			for _, p := range c.Parts {
				objects = append(objects, p.Key)
			}
		}
		m.scanAll(RecordPrefix(log), "", func(rows []Row) {
			if len(rows) == 0 {
				// The seal record is deleted last, so the deletion was already complete.
				removed()
				return
			}
			writes := []Write{{Key: CheckpointKey(log), Delete: true}}
			for _, row := range rows {
				writes = append(writes, Write{Key: row.Key, Delete: true})
				objects = append(objects, objectsOf(log, row)...)
			}
			m.deleteObjects(objects, func() { m.deleteRows(writes, removed) })
		})
	})
}

// objectsOf returns the keys of the objects that belong to a row of a sealed log. For the
// seal record this is the first object of a batch with the seal's number: the owner may have
// written it before the seal prevented the record.
func objectsOf(log structs.LogID, row Row) []string {
	r, err := DecodeRecord(row.Value)
	switch {
	case err == nil && r.Kind == RecordPointer:
		var keys []string
		for _, o := range r.Objects {
			keys = append(keys, o.Key)
		}
		return keys
	case err == nil && r.Kind == RecordSeal:
		return []string{batchObjectKey(log, r.Number, 0)}
	}
	return nil
}

// deleteRows deletes rows on condition that this machine's log is unsealed, in transactions of at
// most TxnWrites.
func (m *Machine) deleteRows(writes []Write, done func()) { m.attemptDeleteRows(writes, 1, done) }

// attemptDeleteRows applies the first transaction of deleteRows, repeated while its answer
// is lost, and then the remaining ones.
func (m *Machine) attemptDeleteRows(writes []Write, attempts int, done func()) {
	n := min(len(writes), m.cfg.TxnWrites)
	m.apply(Txn{Conditions: Unsealed(m.cfg.Log), Writes: writes[:n]}, func(o Outcome) {
		switch {
		case o == ConditionFailed:
			m.stopSealed()
		case o == Unknown:
			m.after(m.backoff(attempts), func() { m.attemptDeleteRows(writes, attempts+1, done) })
		case n < len(writes):
			m.deleteRows(writes[n:], done)
		default:
			done()
		}
	})
}

// deleteRedirects deletes the redirect rows that no live program needs any more. The redirect
// of a log that is still being deleted stays, so that a process that takes this machine's log
// over finishes that deletion. Every redirect stays for RedirectRetention: a duplicate of the
// transaction that opened the log, delayed on its way until both the open row and the seal
// row are gone, would open the log again.
func (m *Machine) deleteRedirects() {
	if m.stopped || len(m.state.takenOver) == 0 || m.deletingRedirect || m.takeover != nil {
		return
	}
	for _, log := range sortedKeys(m.state.takenOver) {
		if m.now.Before(m.retainUntil[log]) || m.removing[log] || m.state.redirectNeeded(log) {
			continue
		}
		m.deletingRedirect = true
		m.deleteRows([]Write{{Key: SealKey(log), Delete: true}}, func() {
			sequence := m.appendInternal(kindRedirectDeleted, log)
			m.whenCommitted(sequence, func() {
				m.deletingRedirect = false
				delete(m.retainUntil, log)
			})
		})
		return
	}
}

// retainRedirect retains the log's redirect row for RedirectRetention. The timer causes a
// step when that time has passed.
func (m *Machine) retainRedirect(log structs.LogID) {
	m.retainUntil[log] = m.now.Add(m.cfg.RedirectRetention)
	m.after(m.cfg.RedirectRetention, func() {})
}

// retirement is the state of the deletion of this machine's log. Once it has started, no record
// or checkpoint is created.
type retirement struct {
	requested bool
	started   bool
}

// retireIfIdle deletes this machine's log when Retire was requested and nothing is left in it.
func (m *Machine) retireIfIdle() {
	r := &m.retire
	if !r.requested || r.started || !m.idle() {
		return
	}
	r.started = true
	writes := []Write{{Key: OpenKey(m.cfg.Log), Delete: true}, {Key: CheckpointKey(m.cfg.Log), Delete: true}}
	for n := m.checkpoints.trimmed; n < m.nextNumber; n++ {
		writes = append(writes, Write{Key: RecordKey(m.cfg.Log, n), Delete: true})
	}
	m.deleteOwnLog(Txn{Conditions: Unsealed(m.cfg.Log), Writes: writes}, 1)
}

// idle reports whether all entries are committed; no live program, redirect row or unfinished
// takeover is left; no checkpoint is in progress; and one transaction can delete the rows.
func (m *Machine) idle() bool {
	return m.opened && m.inFlight == nil && len(m.queue) == 0 && m.state.empty() &&
		!m.checkpoints.running && m.untrimmed() <= m.retireLimit()
}

// retireLimit returns the number of records that can be deleted together with the open
// row and the checkpoint row.
func (m *Machine) retireLimit() int { return m.cfg.TxnWrites - 2 }

// untrimmed returns the number of records whose rows exist.
func (m *Machine) untrimmed() int { return int(m.nextNumber - m.checkpoints.trimmed) }

// deleteOwnLog deletes the rows of this machine's log in one transaction, so that a process
// that takes the log over finds either all of it or nothing.
func (m *Machine) deleteOwnLog(txn Txn, attempts int) {
	m.apply(txn, func(o Outcome) {
		if o == Done {
			m.finishRetire()
			return
		}
		// After a lost answer or a failed condition, the two rows show the state of the log.
		m.getRow(OpenKey(m.cfg.Log), func(open Result) {
			m.getRow(SealKey(m.cfg.Log), func(seal Result) {
				switch {
				case seal.Outcome == Done:
					m.stopSealed()
				case open.Outcome == NotFound:
					m.finishRetire()
				default:
					m.after(m.backoff(attempts), func() { m.deleteOwnLog(txn, attempts+1) })
				}
			})
		})
	})
}

// finishRetire deletes the remaining objects, reports the log as retired and stops the machine.
func (m *Machine) finishRetire() {
	objects := append([]string(nil), m.checkpoints.tailObjects...)
	for _, p := range m.checkpoints.parts {
		objects = append(objects, p.Key)
	}
	m.deleteObjects(objects, func() {
		m.emit(Retired{})
		m.stop("")
	})
}

// deleteObjects deletes the objects one after the other.
func (m *Machine) deleteObjects(keys []string, done func()) {
	if len(keys) == 0 {
		done()
		return
	}
	m.deleteObject(keys[0], func() { m.deleteObjects(keys[1:], done) })
}
