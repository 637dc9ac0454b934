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
	// unreservedHead is the size in bytes up to which heads need no reservation, with what is read ahead of the body.
	// Those of ordinary answers are smaller.
	unreservedHead = 8 << 10
	// headGrowth is the number of bytes of memory that a byte of a head takes at most, while its line grows and is
	// copied into the header.
	headGrowth = 4
	// noLimit is the limit of a headReader while a body is read.
	noLimit = math.MaxInt64
)

// errHeadTooLong is returned by headReader at its limit.
var errHeadTooLong = errors.Wrapf(ErrTooLong, "the head is longer than %d bytes", maxHeadBytes)

// headReader limits what is read for the head of an answer: an upstream in trouble may send a line, or
// lines, without end. Its reader may have read a buffer of the body ahead.
type headReader struct {
	r io.Reader
	// left is the number of bytes that may still be read.
	left int64
	// failed is the error of the connection, once a read has returned one.
	failed error
	// memory, unless it is nil, has the reservation of the heads of the present call, reserved bytes.
	memory   Memory
	reserved int64
}

// Memory limits the memory of answers. Its methods are safe for concurrent use.
type Memory interface {
	// Reserve reserves n bytes. It returns false if they are not free.
	Reserve(n int64) bool
	Release(n int64)
}

// reserve reserves the memory of the n bytes of a head read last.
func (h *headReader) reserve(n int64) error {
	beyond := min(n, maxHeadBytes-h.left-unreservedHead) * headGrowth
	if h.memory == nil || beyond <= 0 {
		return nil
	}
	if !h.memory.Reserve(beyond) {
		return errors.Wrap(ErrNoMemory, "read head")
	}
	h.reserved += beyond
	return nil
}

// release releases the memory of the heads of the present call.
func (h *headReader) release() {
	if h.reserved > 0 {
		h.memory.Release(h.reserved)
	}
	h.memory, h.reserved = nil, 0
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
	if h.failed = err; errors.Is(err, io.EOF) {
		h.failed = io.ErrUnexpectedEOF
	}
	if h.left != noLimit {
		h.left -= int64(n)
		if err := h.reserve(int64(n)); err != nil {
			return n, err
		}
	}
	return n, err
}

// headBytes returns the number of bytes received since the head that is being read began. What was read ahead
// of it, into the buffer, counts too.
func (c *conn) headBytes() int64 { return maxHeadBytes - c.head.left }
