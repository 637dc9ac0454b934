package homelog

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// takeover is the takeover of one log, and of the logs whose takeover its owner had begun.
//
// The intent is committed first: if this process crashes, whoever takes its log over
// finishes the work. Then each log is sealed and read, and the live programs of all are
// committed in one record, together with a kindTakenOver entry for each log.
type takeover struct {
	// root is the log that the takeover was requested for.
	root structs.LogID
	// queue are the logs not yet sealed and read.
	queue []inheritedLog
	// taken are the logs that this takeover covers so far: those sealed for this machine's log
	// or for another log in taken, and those that the owners of these had taken over.
	taken []inheritedLog
	// entries are the entries of the live programs in taken.
	entries []Entry
	// attempts counts the failed attempts to seal a log.
	attempts int
}

// inheritedLog is a log to take over, and the log whose owner had begun or completed its
// takeover. inheritedFrom is empty for the root of the takeover, which is not inherited.
type inheritedLog struct{ log, inheritedFrom structs.LogID }

// queueTakeover queues the takeover of a log. Takeovers run one at a time: otherwise a log
// could be taken over twice, once on request and once by inheritance from a log whose owner
// had begun to take it over.
func (m *Machine) queueTakeover(log structs.LogID) {
	if m.takeover != nil && m.takeover.root == log || slices.Contains(m.takeoverQueue, log) {
		return
	}
	m.takeoverQueue = append(m.takeoverQueue, log)
}

// startTakeover begins the next takeover of the queue unless one is in progress.
func (m *Machine) startTakeover() {
	for m.takeover == nil && len(m.takeoverQueue) > 0 {
		log := m.takeoverQueue[0]
		m.takeoverQueue = m.takeoverQueue[1:]
		if _, done := m.state.takenOver[log]; done || log == m.cfg.Log {
			m.emit(TakeoverDone{Log: log})
			continue
		}
		t := &takeover{root: log, queue: []inheritedLog{{log: log}}}
		m.takeover = t
		if _, intended := m.state.takingOver[log]; intended {
			m.takeOverNext(t)
			return
		}
		sequence := m.appendInternal(kindTakeoverIntent, log)
		m.whenCommitted(sequence, func() { m.takeOverNext(t) })
	}
}

// takeOverNext seals the next log of the queue, or commits the takeover when none is left.
// This machine's log and logs already taken over are left out.
func (m *Machine) takeOverNext(t *takeover) {
	for len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		_, already := m.state.takenOver[next.log]
		if next.log != m.cfg.Log && !already && !t.includes(next.log) {
			m.sealLog(t, next)
			return
		}
	}
	m.commitTakeover(t)
}

// includes reports whether the log is among those taken over.
func (t *takeover) includes(log structs.LogID) bool {
	for _, l := range t.taken {
		if l.log == log {
			return true
		}
	}
	return false
}

// sealLog makes this machine's log the successor of the next log, unless another log already is.
func (m *Machine) sealLog(t *takeover, next inheritedLog) {
	m.getRow(SealKey(next.log), func(r Result) {
		if r.Outcome == NotFound {
			m.createSeal(t, next)
			return
		}
		seal, err := DecodeSeal(r.Row.Value)
		switch {
		case err != nil:
			m.failTakeover(t, err)
		case seal.Successor == m.cfg.Log || t.includes(seal.Successor):
			m.readSealed(t, next)
		default:
			m.skipLog(t, next, errors.Wrapf(ErrOtherSuccessor, "log %q by %q", next.log, seal.Successor))
		}
	})
}

// createSeal creates the seal record at the number after the last record. If the owner has
// created that record meanwhile, or another process the seal, sealLog starts again.
func (m *Machine) createSeal(t *takeover, next inheritedLog) {
	m.getRow(OpenKey(next.log), func(r Result) {
		if r.Outcome == NotFound {
			m.checkAbsent(t, next)
			return
		}
		m.readRecords(next.log, func(base checkpoint, records []Record, err error) {
			if err != nil {
				// The owner may have trimmed its log between two reads.
				m.retrySeal(t, next, err)
				return
			}
			// The last record is that of base.Through if no records follow the checkpoint: a
			// log with an open row has record 0, or a checkpoint that covers it.
			number := base.Through + 1
			if len(records) > 0 {
				number = records[len(records)-1].Number + 1
			}
			m.apply(sealTxn(next.log, number, base.version, m.cfg.Log), func(o Outcome) {
				switch o {
				case Done:
					m.readSealed(t, next)
				case ConditionFailed:
					m.ifUnsealed(func() { m.retrySeal(t, next, nil) })
				default:
					m.retrySeal(t, next, nil)
				}
			})
		})
	})
}

// ifUnsealed calls f if this machine's log has no seal row, and stops the machine otherwise.
func (m *Machine) ifUnsealed(f func()) {
	m.getRow(SealKey(m.cfg.Log), func(r Result) {
		if r.Outcome == Done {
			m.stopSealed()
			return
		}
		f()
	})
}

// sealTxn returns the transaction that creates the seal record and the seal row and deletes
// the open row, which is never created again. The successor has to be unsealed itself:
// otherwise two logs could seal each other, and no process would hold the programs of either.
// The checkpoint has to be the one that was read: otherwise the number may belong to a record
// that the owner has created and trimmed since.
func sealTxn(log structs.LogID, number uint64, checkpointVersion int64, successor structs.LogID) Txn {
	key := RecordKey(log, number)
	record := Record{Kind: RecordSeal, Log: log, Number: number, Successor: successor}
	return Txn{
		Conditions: slices.Concat(Unsealed(log), Unsealed(successor), []Condition{
			{Key: key, Version: platform.Absent},
			{Key: CheckpointKey(log), Version: checkpointVersion},
		}),
		Writes: []Write{
			{Key: key, Value: record.Encode()},
			{Key: SealKey(log), Value: mustJSON(Seal{Successor: successor, Number: number})},
			{Key: OpenKey(log), Delete: true},
		},
	}
}

// maxSealRetries is the maximum number of retries in one takeover, over all its logs. If the
// seal still fails after so many, most likely the owner is alive and creates records. A log that
// appears corrupt may have been trimmed between two reads, so it is read again as well.
const maxSealRetries = 32

// retrySeal repeats sealLog after a backoff, or fails the takeover after maxSealRetries.
func (m *Machine) retrySeal(t *takeover, next inheritedLog, err error) {
	t.attempts++
	if t.attempts > maxSealRetries {
		m.failTakeover(t, errors.Wrapf(cmp.Or(err, ErrOwnerActive), "log %q", next.log))
		return
	}
	m.after(m.backoff(t.attempts), func() { m.sealLog(t, next) })
}

// checkAbsent distinguishes a log that does not exist from one that was sealed between two
// reads.
func (m *Machine) checkAbsent(t *takeover, next inheritedLog) {
	m.getRow(SealKey(next.log), func(r Result) {
		if r.Outcome == Done {
			m.sealLog(t, next)
			return
		}
		m.skipLog(t, next, errors.Wrapf(ErrNoLog, "log %q", next.log))
	})
}

// skipLog omits a log that has another successor or does not exist. If it is the requested
// one, the takeover ends with err.
func (m *Machine) skipLog(t *takeover, next inheritedLog, err error) {
	if next.log != t.root {
		m.takeOverNext(t)
		return
	}
	m.appendInternal(kindTakeoverAbandoned, t.root)
	m.endTakeover(t, nil, err)
}

// readSealed reads a log sealed for this one, adds its live programs to the takeover, and
// queues the logs whose takeover its owner had begun. The logs that its owner had taken over
// are added as well; one that the owner had not inherited counts as inherited from this log.
func (m *Machine) readSealed(t *takeover, next inheritedLog) {
	m.readLog(next.log, func(c contents, err error) {
		if err == nil && !c.sealed {
			err = errors.Wrapf(ErrCorrupt, "log %q has a seal row and no seal record", next.log)
		}
		var old *state
		if err == nil {
			old, err = validateEntries(next.log, c.entries)
		}
		if err != nil {
			m.failTakeover(t, err)
			return
		}
		t.taken = append(t.taken, next)
		t.entries = append(t.entries, byProgram(fold(c.entries, true))...)
		for _, log := range sortedKeys(old.takingOver) {
			t.queue = append(t.queue, inheritedLog{log, next.log})
		}
		for _, log := range sortedKeys(old.takenOver) {
			from := old.takenOver[log]
			if from == "" {
				from = next.log
			}
			t.taken = append(t.taken, inheritedLog{log, from})
		}
		m.takeOverNext(t)
	})
}

// validateEntries applies a log's entries to a state and checks that each program was opened
// in the log or in one that the log's owner had taken over.
func validateEntries(log structs.LogID, entries []Entry) (*state, error) {
	s := newState()
	allowed := map[structs.LogID]bool{log: true}
	for _, e := range entries {
		if e.Kind == kindTakenOver {
			allowed[structs.LogID(e.Data)] = true
		}
		if !e.isInternal() && !allowed[e.Program.Log()] {
			return nil, errors.Wrapf(ErrCorrupt, "log %q holds an entry of program %q", log, e.Program)
		}
		s.applyEntry(e)
	}
	return s, nil
}

// commitTakeover commits the programs of all logs taken over in one record of this machine's
// log, then reports them and deletes the old logs.
func (m *Machine) commitTakeover(t *takeover) {
	var group []Entry
	for _, l := range t.taken {
		group = append(group, Entry{Kind: kindTakenOver, Program: structs.ProgramID(l.inheritedFrom), Data: []byte(l.log)})
	}
	group = append(group, t.entries...)
	m.append(group)
	m.whenCommitted(m.lastSequence, func() {
		m.endTakeover(t, t.entries, nil)
		for _, l := range t.taken {
			m.retainRedirect(l.log)
			m.removeLog(l.log)
		}
	})
}

// failTakeover ends the takeover with an error but leaves the intent in place: a later
// TakeOver message, or whoever takes this log over, attempts it again.
func (m *Machine) failTakeover(t *takeover, err error) { m.endTakeover(t, nil, err) }

// endTakeover reports the result of the takeover, so that the next one can start.
func (m *Machine) endTakeover(t *takeover, entries []Entry, err error) {
	m.takeover = nil
	m.emit(TakeoverDone{Log: t.root, Entries: entries, Err: err})
}
