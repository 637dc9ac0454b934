package forward

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes is the maximum size in bytes of the heads before an answer's body, with those of
	// informational responses. It is that of a caller's headers.
	maxHeadBytes = 64 << 10
	// maxInformational is the maximum number of informational responses before an answer.
	maxInformational = 8
	// noLimit is the limit of a headReader while a body is read.
	noLimit = math.MaxInt64
)

// errHeadTooLong is returned by headReader at its limit.
var errHeadTooLong = errors.Mark(errors.Newf("the head is longer than %d bytes", maxHeadBytes), ErrMalformed)

// headReader limits what is read for the head of an answer: an upstream in trouble may send a line, or
// lines, without end. Its reader may have read a buffer of the body ahead.
type headReader struct {
	r io.Reader
	// left is the number of bytes that may still be read.
	left int64
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(b)) > h.left {
		b = b[:h.left]
	}
	n, err := h.r.Read(b)
	if h.left != noLimit {
		h.left -= int64(n)
	}
	return n, err
}

// headBytes returns the number of bytes received since the head that is being read began. What was read ahead
// of it, into the buffer, counts too.
func (c *conn) headBytes() int64 { return maxHeadBytes - c.head.left }
