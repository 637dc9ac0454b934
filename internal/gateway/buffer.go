package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
)

const (
	// maxPlainAnswer bounds, in bytes, an answer that is buffered before it is sent to the
	// caller.
	maxPlainAnswer = 16 << 20
	// smallAnswer is the size in bytes up to which an answer is buffered without a reservation.
	smallAnswer = 64 << 10
	// answerMemoryShare is the part of the process's memory that buffered answers may take.
	answerMemoryShare = 8
	// growth is the memory that io.ReadAll takes at most for each byte, while it copies.
	growth = 3
)

// errNoAnswerMemory is returned when the answers that are buffered take all the memory they may.
var errNoAnswerMemory = errors.Mark(errors.New("no memory is left to buffer the answer"), forward.ErrMalformed)

// answerMemory bounds the memory of buffered answers. A large one may have no end, and several may come
// at once.
type answerMemory struct {
	limit int64
	used  atomic.Int64
}

func newAnswerMemory(memoryMB int) *answerMemory {
	return &answerMemory{limit: max(smallAnswer, int64(memoryMB)<<20/answerMemoryShare)}
}

// reserve reserves n bytes. It returns false if they are not free.
func (m *answerMemory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *answerMemory) release(n int64) { m.used.Add(-n) }

// readAnswer reads the complete body of an answer. It returns an error when the body is longer
// than maxPlainAnswer or the memory for it is not free. The memory is released with the job.
func (g *Gateway) readAnswer(j *job, a *forward.Answer) ([]byte, error) {
	if a.Length >= 0 && a.Length <= maxPlainAnswer {
		if a.Length > smallAnswer && !g.reserveAnswer(j, a.Length) {
			return nil, errNoAnswerMemory
		}
		body := make([]byte, a.Length)
		if _, err := io.ReadFull(a, body); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		// One more read reaches the end of the answer, so that the connection can be reused.
		if n, err := a.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(forward.ErrMalformed, "bytes after the answer")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(&reservingReader{g: g, j: j, r: a, free: smallAnswer}, maxPlainAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if !a.BodyComplete() {
		return nil, errors.Wrapf(forward.ErrMalformed, "the answer is longer than %d bytes", maxPlainAnswer)
	}
	return body, nil
}

// reserveAnswer reserves memory for an answer until the job ends.
func (g *Gateway) reserveAnswer(j *job, n int64) bool {
	if !g.answers.reserve(n) {
		return false
	}
	j.answerMemory += n
	return true
}

// reservingReader reserves the memory for what it reads beyond the first free bytes.
type reservingReader struct {
	g    *Gateway
	j    *job
	r    io.Reader
	free int64
}

// Read implements io.Reader.
func (r *reservingReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if r.free -= int64(n); r.free < 0 {
		if !r.g.reserveAnswer(r.j, -r.free*growth) {
			return 0, errNoAnswerMemory
		}
		r.free = 0
	}
	return n, err
}
