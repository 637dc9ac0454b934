package gateway

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
)

const (
	// maxPlainAnswer bounds, in bytes, an answer that is buffered before it is sent to the
	// caller.
	maxPlainAnswer = 16 << 20
	// unreservedBytes is the size in bytes up to which a buffer needs no reservation. Most answers, events and
	// outputs of turns are smaller, so that no other call can take their memory.
	unreservedBytes = 8 << 10
	// firstBuffer is the first capacity of a buffer in bytes.
	firstBuffer = 2 << 10
	// answerMemoryShare is the part of the process's memory that answers may take beyond unreservedBytes.
	answerMemoryShare = 4
)

// errNoAnswerMemory is returned when the answers that are held take all the memory they may.
var errNoAnswerMemory = errors.Wrap(forward.ErrNoMemory, "hold the answer")

// answerMemory bounds the memory of all answers that are held, whole or in part. One may have no end, and several
// may come at once.
type answerMemory struct {
	// limit is the number of bytes that may be reserved.
	limit int64

	mu sync.Mutex
	// used is the number of bytes that are reserved, byUpstream the same for each upstream that has any.
	used       int64
	byUpstream map[string]int64
}

func newAnswerMemory(memoryMB int) *answerMemory {
	return &answerMemory{limit: int64(memoryMB) << 20 / answerMemoryShare, byUpstream: map[string]int64{}}
}

// upstreamMemory is the memory of the answers of one upstream. They may take half of what those of the others leave,
// so that an upstream without an end to its answers takes the memory of no other.
type upstreamMemory struct {
	memory   *answerMemory
	upstream string
}

// of returns the memory of an upstream's answers.
func (m *answerMemory) of(upstream string) *upstreamMemory { return &upstreamMemory{m, upstream} }

// Reserve implements forward.Memory.
func (u *upstreamMemory) Reserve(n int64) bool {
	m := u.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.byUpstream[u.upstream]
	if own+n > (m.limit-(m.used-own))/2 {
		return false
	}
	m.used += n
	m.byUpstream[u.upstream] = own + n
	return true
}

// Release implements forward.Memory.
func (u *upstreamMemory) Release(n int64) {
	m := u.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if m.byUpstream[u.upstream] -= n; m.byUpstream[u.upstream] <= 0 {
		delete(m.byUpstream, u.upstream)
	}
}

// inUse returns the number of bytes that are reserved.
func (m *answerMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// heldBytes is a buffer of bytes of an answer. A capacity beyond unreservedBytes is reserved.
type heldBytes struct {
	// memory must be set before bytes are added.
	memory   forward.Memory
	bytes    []byte
	reserved int64
}

// add appends bytes. If the memory for them is not free it returns errNoAnswerMemory and appends nothing.
func (h *heldBytes) add(b []byte) error {
	if need := len(h.bytes) + len(b); need > cap(h.bytes) {
		if err := h.resize(max(need, 2*cap(h.bytes), firstBuffer)); err != nil {
			return err
		}
	}
	h.bytes = append(h.bytes, b...)
	return nil
}

// resize moves the bytes to a buffer of a capacity. Both buffers are reserved meanwhile.
func (h *heldBytes) resize(capacity int) error {
	n := int64(0)
	if capacity > unreservedBytes {
		n = int64(capacity)
		if !h.memory.Reserve(n) {
			return errNoAnswerMemory
		}
	}
	h.bytes = append(make([]byte, 0, capacity), h.bytes...)
	h.releaseReserved()
	h.reserved = n
	return nil
}

// reset drops the bytes, and the buffer if it is reserved.
func (h *heldBytes) reset() {
	if h.bytes = h.bytes[:0]; h.reserved > 0 {
		h.bytes = nil
		h.releaseReserved()
	}
}

func (h *heldBytes) releaseReserved() {
	if h.reserved > 0 {
		h.memory.Release(h.reserved)
		h.reserved = 0
	}
}

// readAnswer reads the complete body of an upstream's answer. It returns an error when the body is longer
// than maxPlainAnswer or the memory for it is not free. The memory is released with the job.
func (g *Gateway) readAnswer(j *job, a *forward.Answer) ([]byte, error) {
	if a.Length > maxPlainAnswer {
		return nil, errAnswerTooLong
	}
	h := &j.answer
	h.reset()
	h.memory = g.answers.of(j.pick.ID)
	for {
		if len(h.bytes) == cap(h.bytes) {
			// A declared length does not show that as many bytes will come.
			capacity := max(2*cap(h.bytes), firstBuffer)
			if a.Length >= 0 {
				capacity = min(capacity, int(a.Length)+1) // one more, to read the end
			}
			if err := h.resize(capacity); err != nil {
				return nil, err
			}
		}
		n, err := a.Read(h.bytes[len(h.bytes):cap(h.bytes)])
		h.bytes = h.bytes[:len(h.bytes)+n]
		switch {
		case errors.Is(err, io.EOF) && a.BodyComplete():
			return h.bytes, nil
		case err != nil:
			return nil, errors.Wrap(err, "read answer")
		case len(h.bytes) > maxPlainAnswer:
			return nil, errAnswerTooLong
		}
	}
}

// errAnswerTooLong is returned for an answer beyond maxPlainAnswer.
var errAnswerTooLong = errors.Wrapf(forward.ErrTooLong, "the answer is longer than %d bytes", maxPlainAnswer)
