package homelog

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// adoption is the takeover of one log and of the logs whose takeover its holder had begun.
//
// The intent is committed first, so that whoever adopts this log finishes the work when
// this process dies. Then each log is sealed and read, and the live programs of all are
// committed in one record together with a kindAdopted entry for each log.
type adoption struct {
	root structs.LogID
	// queue are the logs not yet taken over.
	queue []inherited
	// taken are the logs sealed for this log or for one that is taken.
	taken   []inherited
	entries []Entry
	tries   int
}

// inherited is a log and the log whose holder had begun to adopt it, or had adopted it.
type inherited struct{ log, through structs.LogID }

// adopt queues the takeover of a log. Takeovers run one at a time, so that no log is
// taken twice, once by itself and once through a log whose holder had begun to adopt it.
func (m *Machine) adopt(log structs.LogID) {
	if m.adoption != nil && m.adoption.root == log || slices.Contains(m.toAdopt, log) {
		return
	}
	m.toAdopt = append(m.toAdopt, log)
}

// startAdoption begins the next takeover of the queue.
func (m *Machine) startAdoption() {
	for m.adoption == nil && len(m.toAdopt) > 0 {
		log := m.toAdopt[0]
		m.toAdopt = m.toAdopt[1:]
		if _, done := m.state.adopted[log]; done || log == m.cfg.Log {
			m.emit(TakeoverDone{Log: log})
			continue
		}
		a := &adoption{root: log, queue: []inherited{{log: log}}}
		m.adoption = a
		if _, intended := m.state.adopting[log]; intended {
			m.takeNext(a)
			return
		}
		sequence := m.appendOwn(kindAdopting, log)
		m.whenCommitted(sequence, func() { m.takeNext(a) })
	}
}

// takeNext takes over the next log of the queue, or commits when none is left.
func (m *Machine) takeNext(a *adoption) {
	for len(a.queue) > 0 {
		next := a.queue[0]
		a.queue = a.queue[1:]
		_, before := m.state.adopted[next.log]
		if next.log != m.cfg.Log && !before && !a.hasTaken(next.log) {
			m.seal(a, next)
			return
		}
	}
	m.commitAdoption(a)
}

func (a *adoption) hasTaken(log structs.LogID) bool {
	for _, t := range a.taken {
		if t.log == log {
			return true
		}
	}
	return false
}

// seal makes this log the successor of the next log, unless another already is.
func (m *Machine) seal(a *adoption, next inherited) {
	m.getRow(SealKey(next.log), func(r Result) {
		if r.Outcome == NotFound {
			m.trySeal(a, next)
			return
		}
		seal, err := DecodeSeal(r.Row.Value)
		switch {
		case err != nil:
			m.failAdoption(a, err)
		case seal.Successor == m.cfg.Log || a.hasTaken(seal.Successor):
			m.take(a, next)
		default:
			m.skip(a, next, errors.Wrapf(ErrOtherSuccessor, "log %q by %q", next.log, seal.Successor))
		}
	})
}

// trySeal creates the seal record at the number after the last record. When the holder
// or another adopter was faster, it looks again.
func (m *Machine) trySeal(a *adoption, next inherited) {
	m.getRow(OpenKey(next.log), func(r Result) {
		if r.Outcome == NotFound {
			m.confirmAbsent(a, next)
			return
		}
		m.readRecords(next.log, func(base checkpoint, records []Record, err error) {
			if err != nil {
				// The holder may have trimmed its log between two reads.
				m.sealAgain(a, next, err)
				return
			}
			number := base.Through + 1
			if len(records) > 0 {
				number = records[len(records)-1].Number + 1
			}
			m.apply(sealTxn(next.log, number, base.version, m.cfg.Log), func(o Outcome) {
				switch o {
				case Done:
					m.take(a, next)
				case ConditionFailed:
					m.whileUnsealed(func() { m.sealAgain(a, next, nil) })
				default:
					m.sealAgain(a, next, nil)
				}
			})
		})
	})
}

// whileUnsealed goes on with f unless the own log is sealed.
func (m *Machine) whileUnsealed(f func()) {
	m.getRow(SealKey(m.cfg.Log), func(r Result) {
		if r.Outcome == Done {
			m.lost()
			return
		}
		f()
	})
}

// sealTxn creates the seal record and the seal row, and deletes the open row, which never
// comes back. The successor has to be unsealed itself: else two logs could seal each other,
// and nobody would hold the programs of either. The checkpoint has to be the one that was
// read: else the number may be that of a record created and trimmed since.
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

// maxSealTries bounds the attempts to seal logs in one adoption; while the holder keeps
// creating records, it is alive, and one that looks corrupt may have been trimmed meanwhile.
const maxSealTries = 32

func (m *Machine) sealAgain(a *adoption, next inherited, err error) {
	a.tries++
	if a.tries > maxSealTries {
		m.failAdoption(a, errors.Wrapf(cmp.Or(err, ErrOwnerActive), "log %q", next.log))
		return
	}
	m.after(m.backoff(a.tries), func() { m.seal(a, next) })
}

// confirmAbsent tells a log that is gone from one that was sealed between two reads.
func (m *Machine) confirmAbsent(a *adoption, next inherited) {
	m.getRow(SealKey(next.log), func(r Result) {
		if r.Outcome == Done {
			m.seal(a, next)
			return
		}
		m.skip(a, next, errors.Wrapf(ErrNoLog, "log %q", next.log))
	})
}

// skip leaves a log to others. When it is the one asked for, the adoption ends.
func (m *Machine) skip(a *adoption, next inherited, err error) {
	if next.log != a.root {
		m.takeNext(a)
		return
	}
	m.appendOwn(kindAbandoned, a.root)
	m.endAdoption(a, nil, err)
}

// take reads a log sealed for this one and queues the logs that its holder had begun to adopt.
func (m *Machine) take(a *adoption, next inherited) {
	m.readLog(next.log, func(c contents, err error) {
		if err == nil && !c.sealed {
			err = errors.Wrapf(ErrCorrupt, "log %q has a seal row and no seal record", next.log)
		}
		var held *state
		if err == nil {
			held, err = check(next.log, c.entries)
		}
		if err != nil {
			m.failAdoption(a, err)
			return
		}
		a.taken = append(a.taken, next)
		a.entries = append(a.entries, byProgram(fold(c.entries, true))...)
		for _, log := range sortedKeys(held.adopting) {
			a.queue = append(a.queue, inherited{log, next.log})
		}
		for _, log := range sortedKeys(held.adopted) {
			through := held.adopted[log]
			if through == "" {
				through = next.log
			}
			a.taken = append(a.taken, inherited{log, through})
		}
		m.takeNext(a)
	})
}

// check folds a log's entries and checks that each program was opened in the log or in
// one that the log's holder had adopted.
func check(log structs.LogID, entries []Entry) (*state, error) {
	s := newState()
	ever := map[structs.LogID]bool{log: true}
	for _, e := range entries {
		if e.Kind == kindAdopted {
			ever[structs.LogID(e.Data)] = true
		}
		if !e.isOwn() && !ever[e.Program.Log()] {
			return nil, errors.Wrapf(ErrCorrupt, "log %q holds an entry of program %q", log, e.Program)
		}
		s.applyIndex(e)
	}
	return s, nil
}

// commitAdoption commits the programs in the own log in one record.
func (m *Machine) commitAdoption(a *adoption) {
	var group []Entry
	for _, t := range a.taken {
		group = append(group, Entry{Kind: kindAdopted, Program: structs.ProgramID(t.through), Data: []byte(t.log)})
	}
	group = append(group, a.entries...)
	m.append(group)
	m.whenCommitted(m.lastSequence, func() {
		m.endAdoption(a, a.entries, nil)
		for _, t := range a.taken {
			m.keepRedirect(t.log)
			m.removeLog(t.log)
		}
	})
}

// failAdoption leaves the intent in place: a later Adopt, or whoever adopts this log, tries again.
func (m *Machine) failAdoption(a *adoption, err error) { m.endAdoption(a, nil, err) }

func (m *Machine) endAdoption(a *adoption, entries []Entry, err error) {
	m.adoption = nil
	m.emit(TakeoverDone{Log: a.root, Entries: entries, Err: err})
}
