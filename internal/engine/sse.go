package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes is the maximum size of a line of a stream and of the data of one event.
const maxEventBytes = 4 << 20

// ErrEventTooLong is returned for a line or the data of an event above maxEventBytes.
var ErrEventTooLong = errors.Newf("stream event exceeds %d bytes", maxEventBytes)

// EventReader reads the data fields of server-sent events; other fields are skipped.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{reader: bufio.NewReader(r)} }

// Next returns the data of the next event that has a data field. At the end of the stream it
// returns io.EOF; an event that the end cuts off is not returned.
func (e *EventReader) Next() ([]byte, error) {
	var data []byte
	hasData := false
	for {
		line, err := e.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) != "data" {
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		hasData = true
		if len(data) > maxEventBytes {
			return nil, ErrEventTooLong
		}
	}
}

// line returns the next line without its line ending. A last line without an ending is not
// returned.
func (e *EventReader) line() ([]byte, error) {
	var line []byte
	for {
		// ReadSlice returns a line longer than the reader's buffer in parts.
		part, err := e.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")), nil
	}
}
