package homelog

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/structs"
)

// contents is the decoded content of a log's rows and objects.
type contents struct {
	entries []Entry
	// sealed reports whether the last record is a seal.
	sealed bool
}

// readRecords reads the checkpoint row and the records after the checkpoint, without the
// objects that they point to. The result may be out of date unless the log is sealed.
func (m *Machine) readRecords(log structs.LogID, done func(checkpoint, []Record, error)) {
	m.getRow(CheckpointKey(log), func(r Result) {
		base := checkpoint{}
		after := ""
		if r.Outcome == Done {
			var err error
			if base, err = decodeCheckpoint(r.Row.Value); err != nil {
				done(base, nil, err)
				return
			}
			base.version = r.Row.Version
			after = RecordKey(log, base.Through)
		}
		m.scanAll(RecordPrefix(log), after, func(rows []Row) {
			first := uint64(0)
			if after != "" {
				first = base.Through + 1
			}
			records, err := decodeRecords(log, first, rows)
			done(base, records, err)
		})
	})
}

// decodeRecords decodes the rows and checks that they are the records of the log from number
// first on, without a gap, and that no record follows a seal.
func decodeRecords(log structs.LogID, first uint64, rows []Row) ([]Record, error) {
	records := make([]Record, 0, len(rows))
	for i, row := range rows {
		want := first + uint64(i)
		number, err := recordNumber(log, row.Key)
		if err != nil {
			return nil, err
		}
		r, err := DecodeRecord(row.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "row %q", row.Key)
		}
		if r.Log != log || r.Number != number || number != want {
			return nil, errors.Wrapf(ErrCorrupt, "row %q holds record %d of log %q, want record %d", row.Key, r.Number, r.Log, want)
		}
		if i > 0 && records[i-1].Kind == RecordSeal {
			return nil, errors.Wrapf(ErrCorrupt, "row %q follows the seal of its log", row.Key)
		}
		records = append(records, r)
	}
	return records, nil
}

// readLog reads all of a sealed log: the parts of the checkpoint and the records after it.
func (m *Machine) readLog(log structs.LogID, done func(contents, error)) {
	m.readRecords(log, func(base checkpoint, records []Record, err error) {
		if err != nil {
			done(contents{}, err)
			return
		}
		var c contents
		m.appendParts(log, base.Parts, &c, func(err error) {
			if err != nil {
				done(c, err)
				return
			}
			m.readBatches(log, records, &c, func(err error) { done(c, err) })
		})
	})
}

// appendParts reads the checkpoint parts of another log and appends their entries to c.
func (m *Machine) appendParts(log structs.LogID, parts []Object, c *contents, done func(error)) {
	if len(parts) == 0 {
		done(nil)
		return
	}
	m.readObject(log, parts[0].Key, parts[0].Digest, RecordPart, func(r Record, err error) {
		if err != nil {
			done(err)
			return
		}
		c.entries = append(c.entries, r.Entries...)
		m.appendParts(log, parts[1:], c, done)
	})
}

// readBatches appends the entries of the records to c and reads the objects that they point to.
func (m *Machine) readBatches(log structs.LogID, records []Record, c *contents, done func(error)) {
	if len(records) == 0 {
		done(nil)
		return
	}
	r := records[0]
	if r.Kind != RecordPointer {
		c.sealed = r.Kind == RecordSeal
		c.entries = append(c.entries, r.Entries...)
		m.readBatches(log, records[1:], c, done)
		return
	}
	m.readBatchObjects(log, r, c, func(err error) {
		if err != nil {
			done(err)
			return
		}
		m.readBatches(log, records[1:], c, done)
	})
}

// readBatchObjects reads the objects that the record points to and appends their entries to c.
func (m *Machine) readBatchObjects(log structs.LogID, r Record, c *contents, done func(error)) {
	if len(r.Objects) == 0 {
		done(nil)
		return
	}
	o := r.Objects[0]
	m.readObject(log, o.Key, o.Digest, RecordBatch, func(batch Record, err error) {
		if err == nil && batch.Number != r.Number {
			err = errors.Wrapf(ErrCorrupt, "object %q holds record %d, want %d", o.Key, batch.Number, r.Number)
		}
		if err != nil {
			done(err)
			return
		}
		c.entries = append(c.entries, batch.Entries...)
		r.Objects = r.Objects[1:]
		m.readBatchObjects(log, r, c, done)
	})
}

// readObject reads an object that a row points to and checks it.
func (m *Machine) readObject(log structs.LogID, key string, digest []byte, kind RecordKind, done func(Record, error)) {
	m.getObject(key, func(r Result) {
		if r.Outcome == NotFound {
			done(Record{}, errors.Wrapf(ErrCorrupt, "object %q is missing", key))
			return
		}
		record, err := decodeObject(r.Value, digest, log, kind)
		done(record, errors.Wrapf(err, "object %q", key))
	})
}
