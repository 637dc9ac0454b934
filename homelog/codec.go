package homelog

import (
	"bytes"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/buckthornroute/buckthornroute/structs"
)

// RecordKind is the kind of a record.
type RecordKind uint8

// Kinds of records.
const (
	// RecordBatch carries entries.
	RecordBatch RecordKind = iota + 1
	// RecordPointer names the objects that carry the entries.
	RecordPointer
	// RecordSeal closes the log against further records.
	RecordSeal
	// RecordPart holds the entries of one part of a checkpoint. It is an object, never a row.
	RecordPart
)

// Record is the content of a row of a log, or of an object that a row points to.
type Record struct {
	Kind   RecordKind
	Log    structs.LogID
	Number uint64
	// Entries are set in RecordBatch and RecordPart.
	Entries []Entry
	// Objects are set in RecordPointer; the record's entries are theirs, in this order.
	Objects []Object
	// Successor is set in RecordSeal.
	Successor structs.LogID
}

// Object names an object of the object store and the digest of its content.
type Object struct {
	Key string `json:"key"`
	// Digest is the SHA-256 of the content.
	Digest []byte `json:"digest"`
}

// Field numbers of a record, which is encoded in the protocol buffer wire format.
const (
	fieldKind protowire.Number = iota + 1
	fieldLog
	fieldNumber
	fieldEntry
	fieldObject
	fieldSuccessor
)

// Field numbers of an Object within a record.
const (
	fieldObjectKey protowire.Number = iota + 1
	fieldObjectDigest
)

// Field numbers of an Entry within a record.
const (
	fieldEntryProgram protowire.Number = iota + 1
	fieldEntryKind
	fieldEntryData
	fieldEntryMark
)

// Encode returns the record's encoding. Equal records have equal encodings.
func (r Record) Encode() []byte {
	const framing = 64 // estimate of field tags and lengths; size is only the initial capacity
	size := len(r.Log) + len(r.Successor) + framing
	for _, o := range r.Objects {
		size += len(o.Key) + len(o.Digest) + framing
	}
	for _, e := range r.Entries {
		size += e.size()
	}
	b := make([]byte, 0, size)
	b = appendUint(b, fieldKind, uint64(r.Kind))
	b = appendText(b, fieldLog, string(r.Log))
	b = appendUint(b, fieldNumber, r.Number)
	for _, e := range r.Entries {
		b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(e.encodedSize()))
		b = e.appendTo(b)
	}
	for _, o := range r.Objects {
		b = protowire.AppendTag(b, fieldObject, protowire.BytesType)
		b = protowire.AppendBytes(b, appendText(appendText(nil, fieldObjectKey, o.Key), fieldObjectDigest, string(o.Digest)))
	}
	return appendText(b, fieldSuccessor, string(r.Successor))
}

// encodedSize returns the number of bytes that appendTo appends.
func (e Entry) encodedSize() int {
	n := 0
	for _, l := range [...]int{len(e.Program), len(e.Kind), len(e.Data)} {
		if l > 0 {
			n += 1 + protowire.SizeBytes(l)
		}
	}
	if e.Mark != MarkNone {
		n += 1 + protowire.SizeVarint(uint64(e.Mark))
	}
	return n
}

// appendTo appends the encoding of the entry to b.
func (e Entry) appendTo(b []byte) []byte {
	b = appendText(b, fieldEntryProgram, string(e.Program))
	b = appendText(b, fieldEntryKind, e.Kind)
	if len(e.Data) > 0 {
		b = protowire.AppendTag(b, fieldEntryData, protowire.BytesType)
		b = protowire.AppendBytes(b, e.Data)
	}
	return appendUint(b, fieldEntryMark, uint64(e.Mark))
}

func appendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func appendText(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, s)
}

// DecodeRecord decodes a record. It returns ErrCorrupt unless b is exactly what Encode
// returns for the record. Data of the entries shares memory with b.
func DecodeRecord(b []byte) (Record, error) {
	r, err := decodeRecord(b)
	if err == nil && !bytes.Equal(r.Encode(), b) {
		return Record{}, errors.Wrap(ErrCorrupt, "record is not in the form that Encode writes")
	}
	return r, err
}

// decodeRecord decodes a record without checking that the encoding is canonical. That is
// enough where a digest proves that the bytes are the ones written.
func decodeRecord(b []byte) (Record, error) {
	var r Record
	err := eachField(b, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case fieldKind:
			r.Kind = RecordKind(number)
		case fieldLog:
			r.Log = structs.LogID(text)
		case fieldNumber:
			r.Number = number
		case fieldEntry:
			e, err := decodeEntry(text)
			r.Entries = append(r.Entries, e)
			return err
		case fieldObject:
			o, err := decodeObjectName(text)
			r.Objects = append(r.Objects, o)
			return err
		case fieldSuccessor:
			r.Successor = structs.LogID(text)
		default:
			return errors.Wrapf(ErrCorrupt, "unknown field %d", field)
		}
		return nil
	})
	if err != nil {
		return Record{}, err
	}
	if r.Kind < RecordBatch || r.Kind > RecordPart {
		return Record{}, errors.Wrapf(ErrCorrupt, "record kind %d", r.Kind)
	}
	return r, nil
}

func decodeEntry(b []byte) (Entry, error) {
	var e Entry
	err := eachField(b, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case fieldEntryProgram:
			e.Program = structs.ProgramID(text)
		case fieldEntryKind:
			e.Kind = string(text)
		case fieldEntryData:
			e.Data = text
		case fieldEntryMark:
			e.Mark = Mark(number)
		default:
			return errors.Wrapf(ErrCorrupt, "unknown entry field %d", field)
		}
		return nil
	})
	return e, err
}

func decodeObjectName(b []byte) (Object, error) {
	var o Object
	err := eachField(b, func(field protowire.Number, _ uint64, text []byte) error {
		switch field {
		case fieldObjectKey:
			o.Key = string(text)
		case fieldObjectDigest:
			o.Digest = text
		default:
			return errors.Wrapf(ErrCorrupt, "unknown object field %d", field)
		}
		return nil
	})
	return o, err
}

// eachField calls f for each field of b, with number set for a varint field and text set
// for a length-delimited one. It stops at the first error.
func eachField(b []byte, f func(field protowire.Number, number uint64, text []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errors.Wrap(ErrCorrupt, "malformed field")
		}
		b = b[n:]
		var number uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(b)
		default:
			return errors.Wrapf(ErrCorrupt, "field %d has wire type %d", field, kind)
		}
		if n < 0 {
			return errors.Wrapf(ErrCorrupt, "field %d is cut short", field)
		}
		b = b[n:]
		if err := f(field, number, text); err != nil {
			return err
		}
	}
	return nil
}

// decodeObject decodes an object that a row points to and checks its digest, log and kind.
func decodeObject(value, digest []byte, log structs.LogID, kind RecordKind) (Record, error) {
	sum := sha256.Sum256(value)
	if !bytes.Equal(sum[:], digest) {
		return Record{}, errors.Wrapf(ErrCorrupt, "object of log %q has digest %x, want %x", log, sum, digest)
	}
	r, err := decodeRecord(value)
	if err != nil {
		return Record{}, err
	}
	if r.Log != log || r.Kind != kind {
		return Record{}, errors.Wrapf(ErrCorrupt, "object is of log %q and kind %d, want log %q and kind %d", r.Log, r.Kind, log, kind)
	}
	return r, nil
}
