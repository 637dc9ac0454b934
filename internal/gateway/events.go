package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
)

const (
	// eventBuffer is the size of the read buffer in bytes: most events fit, longer ones
	// take several reads.
	eventBuffer = 2 << 10
	// maxEvent is the maximum size of an event in bytes. Several hundred streams may each hold one.
	maxEvent = 64 << 10
	// maxIdleBytes is the maximum size in bytes of the comments and empty lines between two events. Comments that
	// keep a connection open take less within the longest call.
	maxIdleBytes = 256 << 10
)

// event is one server-sent event of a stream.
type event struct {
	// raw is the event as received, with the empty line that ends it.
	raw []byte
	// data has the event's data fields, joined by line feeds; hasData is set once there is one, which may be empty.
	data    []byte
	hasData bool
	id      int64
	hasID   bool
	// comment is set when the event has comment lines alone, as upstreams send to keep a connection open.
	comment bool
}

// eventReader splits an answer into events. An incomplete event is never returned.
type eventReader struct {
	br *bufio.Reader
	// lines are the lines of the current event, data joins its data fields if there are several.
	lines, data heldBytes
	// idle is the number of bytes since the last event.
	idle int
}

// newEventReader returns a reader of an answer's events. Its close must be called.
func newEventReader(r io.Reader, memory forward.Memory) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, eventBuffer), lines: heldBytes{memory: memory}, data: heldBytes{memory: memory}}
}

// close releases the memory of the current event.
func (r *eventReader) close() {
	r.lines.reset()
	r.data.reset()
}

// next returns the next event, or nil when the stream ends after a complete event. The
// event is valid until the next call.
func (r *eventReader) next() (*event, error) {
	r.close()
	e := &event{comment: true}
	for {
		begin := len(r.lines.bytes)
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(r.lines.bytes) == 0 {
				return nil, nil
			}
			if errors.Is(err, io.EOF) {
				return nil, errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "the stream ends in the middle of an event"), forward.ErrMalformed)
			}
			return nil, err
		}
		line := bytes.TrimRight(r.lines.bytes[begin:], "\r\n")
		if len(line) > 0 {
			if err := r.parseField(e, line); err != nil {
				return nil, err
			}
			continue
		}
		e.raw = r.lines.bytes
		empty := begin == 0 // an empty line before an event
		if !empty && !e.comment {
			r.idle = 0
			return e, nil
		}
		if r.idle += len(e.raw); r.idle > maxIdleBytes {
			return nil, errors.Wrapf(forward.ErrTooLong, "%d bytes without an event", maxIdleBytes)
		}
		if !empty {
			return e, nil
		}
		r.lines.reset()
	}
}

// readLine adds one line to those of the current event, in several pieces if it exceeds the read buffer. It returns
// io.EOF at the end of the answer.
func (r *eventReader) readLine() error {
	for {
		piece, err := r.br.ReadSlice('\n')
		if len(r.lines.bytes)+len(piece) > maxEvent {
			return errors.Wrapf(forward.ErrTooLong, "an event is longer than %d bytes", maxEvent)
		}
		if err := r.lines.add(piece); err != nil {
			return err
		}
		switch {
		case err == nil, errors.Is(err, io.EOF):
			return err
		case !errors.Is(err, bufio.ErrBufferFull):
			return errors.Wrap(err, "read event")
		}
	}
}

// parseField adds one line, a field name and its value, to the event.
func (r *eventReader) parseField(e *event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	e.comment = e.comment && len(name) == 0
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || id < 0 {
			return errors.Wrapf(forward.ErrMalformed, "event id %q is not a number", value)
		}
		e.id, e.hasID = id, true
	case "data":
		if !e.hasData {
			e.data, e.hasData = value, true
			return nil
		}
		if len(r.data.bytes) == 0 {
			if err := r.data.add(e.data); err != nil {
				return err
			}
		}
		if err := r.data.add([]byte{'\n'}); err != nil {
			return err
		}
		if err := r.data.add(value); err != nil {
			return err
		}
		e.data = r.data.bytes
	}
	return nil
}
