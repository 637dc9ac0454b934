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
)

// event is one server-sent event of a stream.
type event struct {
	// raw is the event as received, with the empty line that ends it.
	raw   []byte
	data  []byte
	id    int64
	hasID bool
	// comment is set when the event has comment lines alone, as upstreams send to keep a connection open.
	comment bool
}

// eventReader splits an answer into events. An incomplete event is never returned.
type eventReader struct {
	br *bufio.Reader
	// buf holds the lines of the current event.
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next event, or nil when the stream ends after a complete event. The
// event is valid until the next call.
func (r *eventReader) next() (*event, error) {
	r.buf = r.buf[:0]
	e := &event{comment: true}
	for {
		// Read one line, in several pieces if it exceeds the read buffer.
		begin := len(r.buf)
		for {
			piece, err := r.br.ReadSlice('\n')
			if len(r.buf)+len(piece) > maxEvent {
				return nil, errors.Wrapf(forward.ErrMalformed, "an event is longer than %d bytes", maxEvent)
			}
			r.buf = append(r.buf, piece...)
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			if errors.Is(err, io.EOF) && len(r.buf) == 0 {
				return nil, nil
			}
			if errors.Is(err, io.EOF) {
				return nil, errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "the stream ends in the middle of an event"), forward.ErrMalformed)
			}
			return nil, errors.Wrap(err, "read event")
		}
		line := bytes.TrimRight(r.buf[begin:], "\r\n")
		if len(line) == 0 {
			if begin == 0 { // an empty line before an event
				r.buf = r.buf[:0]
				continue
			}
			e.raw = r.buf
			return e, nil
		}
		if err := e.parseField(line); err != nil {
			return nil, err
		}
	}
}

// parseField adds one line, a field name and its value, to the event.
func (e *event) parseField(line []byte) error {
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
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
	return nil
}
