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
	// defaultMaxBody bounds, in bytes, the body of a request while the document sets no limit.
	defaultMaxBody = 16 << 20
	// firstBuffer is the first capacity of a buffer in bytes.
	firstBuffer = 2 << 10
	// memoryShare is the part of the process's memory that all answers may take beyond unreservedBytes, and all bodies
	// of requests.
	memoryShare = 4
)

// errNoMemory is returned when bytes that are held take all the memory they may.
var errNoMemory = errors.Wrap(forward.ErrNoMemory, "hold bytes")

// sharedMemory bounds the memory of bytes from outside that are held, whole or in part: one answer may have no end, and
// several may come at once.
type sharedMemory struct {
	// limit is the number of bytes that may be reserved.
	limit int64

	mu sync.Mutex
	// used is the number of bytes that are reserved, byAccount the same for each account that has any.
	used      int64
	byAccount map[string]int64
}

func newSharedMemory(memoryMB int) *sharedMemory {
	return &sharedMemory{limit: int64(memoryMB) << 20 / memoryShare, byAccount: map[string]int64{}}
}

// memoryAccount is the memory of the answers of one upstream, or of the requests of one organisation. They may take half
// of what the other accounts leave, so that an upstream without an end to its answers takes the memory of no other.
type memoryAccount struct {
	memory *sharedMemory
	name   string
}

// of returns the account of a name.
func (m *sharedMemory) of(name string) *memoryAccount { return &memoryAccount{m, name} }

// Reserve implements forward.Memory.
func (a *memoryAccount) Reserve(n int64) bool {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.byAccount[a.name]
	if own+n > (m.limit-(m.used-own))/2 {
		return false
	}
	m.used += n
	m.byAccount[a.name] = own + n
	return true
}

// Release implements forward.Memory.
func (a *memoryAccount) Release(n int64) {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if m.byAccount[a.name] -= n; m.byAccount[a.name] <= 0 {
		delete(m.byAccount, a.name)
	}
}

// inUse returns the number of bytes that are reserved.
func (m *sharedMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// heldBytes is a buffer of bytes of an answer or a request. A capacity beyond unreservedBytes is reserved.
type heldBytes struct {
	// memory must be set before bytes are added.
	memory   forward.Memory
	bytes    []byte
	reserved int64
}

// add appends bytes. If the memory for them is not free it returns errNoMemory and appends nothing.
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
			return errNoMemory
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

// readAll adds all that r has, up to a limit, for which it returns errTooLong. length is the number of bytes that r is
// said to have; -1 if that is unknown.
func (h *heldBytes) readAll(r io.Reader, length, limit int64) error {
	for {
		if len(h.bytes) == cap(h.bytes) {
			// A declared length does not show that as many bytes will come.
			capacity := max(2*cap(h.bytes), firstBuffer)
			if end := int(length) + 1; end > cap(h.bytes) { // one more, to read the end
				capacity = min(capacity, end)
			}
			if err := h.resize(capacity); err != nil {
				return err
			}
		}
		n, err := r.Read(h.bytes[len(h.bytes):cap(h.bytes)])
		h.bytes = h.bytes[:len(h.bytes)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case int64(len(h.bytes)) > limit:
			return errTooLong
		}
	}
}

// errTooLong is returned by heldBytes.readAll beyond its limit.
var errTooLong = errors.New("more bytes than the limit")

// readAnswer reads the complete body of an upstream's answer. It returns an error when the body is longer
// than maxPlainAnswer or the memory for it is not free. The memory is released with the job.
func (g *Gateway) readAnswer(j *job, a *forward.Answer) ([]byte, error) {
	if a.Length > maxPlainAnswer {
		return nil, errAnswerTooLong
	}
	j.answer.reset()
	j.answer.memory = g.answers.of(j.pick.ID)
	err := j.answer.readAll(a, a.Length, maxPlainAnswer)
	switch {
	case errors.Is(err, errTooLong):
		return nil, errAnswerTooLong
	case err != nil:
		return nil, errors.Wrap(err, "read answer")
	}
	return j.answer.bytes, nil
}

// errAnswerTooLong is returned for an answer beyond maxPlainAnswer.
var errAnswerTooLong = errors.Wrapf(forward.ErrTooLong, "the answer is longer than %d bytes", maxPlainAnswer)
