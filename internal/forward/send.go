package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/platform"
)

// ErrNotSent marks the error of a call when no byte of it reached the upstream.
var ErrNotSent = errors.New("not sent")

// ErrLost marks the error of a call that may have run: sending had begun and no complete answer
// was received.
var ErrLost = errors.New("answer lost")

// ErrMalformed is the cause of an error about an answer that violates the protocol between
// entry and upstream. Send returns it when a connection delivers more than maxSkipped answers
// to other calls, one after which the upstream closes the connection, or one without an id. Callers of Send use
// it for their own checks of an answer.
var ErrMalformed = errors.New("malformed answer")

// Causes of ErrMalformed: an answer, or a part of it, that is longer than it may be, and one that is cut off since the
// memory for it is not free.
var (
	ErrTooLong  = errors.Wrap(ErrMalformed, "too long")
	ErrNoMemory = errors.Wrap(ErrMalformed, "no memory is left")
)

const (
	// maxSkipped is the maximum number of answers to other calls that are skipped before the
	// call fails.
	maxSkipped = 2
	// maxSkippedBytes is the maximum size in bytes of the body of a skipped answer.
	maxSkippedBytes = 256 << 10
	// maxInlineBody is the size in bytes up to which a body is written before the answer is
	// read. It fits the TCP send window, so the write does not wait for the upstream.
	maxInlineBody = 48 << 10
)

// Request is an encoded request to an upstream.
type Request struct {
	// Address is the upstream's host and port.
	Address string
	// ID is the call's id. An answer that carries another id is skipped, and one without an id
	// fails the call: nothing shows to which call it belongs. No connection on which the call was
	// refused before is used, since the upstream may repeat the refusal.
	ID string
	// Method is the HTTP method; it determines whether the answer has a body.
	Method string
	// Head and Body are the bytes to send; Head is the request line and the header.
	Head []byte
	Body []byte
	// Deadline is the time at which sending the request and waiting for the answer end.
	Deadline time.Time
	// MaxConns is the maximum number of connections to the upstream; 0 means no limit.
	MaxConns int
	// OpenedBefore, if it is not zero, excludes connections that were opened later. The process of the upstream
	// is then the one that ran at that time.
	OpenedBefore time.Time
	// MaxIdle is the maximum time that a reused connection may have been idle. A connection
	// idle for longer is more likely to be closed by the upstream just when the call is sent.
	MaxIdle time.Duration
	// Memory limits the memory of the answer's head; nil means no limit.
	Memory Memory
}

// Answer is an upstream's answer whose head has been read; Read returns the body. The
// receiver must call Close.
type Answer struct {
	Status int
	Header http.Header
	// Head is the decoded part of Header that the platform defines.
	Head platform.AnswerHead
	// Length is the length of the body in bytes; -1 when the head does not state it.
	Length int64

	pool *Pool
	// conn is nil after Close.
	conn *conn
	body io.ReadCloser
	// closing reports whether the connection must not be used after the answer: the upstream closes
	// it, or has sent answers to other calls on it.
	closing bool
	// unbounded is set for a body that ends with its connection.
	unbounded bool
	// bodyComplete reports whether the body was read to its end.
	bodyComplete bool
	// stop ends the watch on the context of Send; it returns false when the context ended
	// first.
	stop func() bool
	// written receives the result of writing a request whose body is above maxInlineBody; nil
	// for a shorter one, which is written before Send reads the answer.
	written chan error

	// mu guards cancelled: a deadline that is set after a cancellation must not undo it.
	mu        sync.Mutex
	cancelled bool
}

// cancel ends all reads and writes on the connection by a deadline in the past.
func (a *Answer) cancel(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// Send sends a request and reads the head of its answer. It does not retry. Every error is
// marked with ErrNotSent or ErrLost.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := c.SetDeadline(r.Deadline); err != nil {
		p.drop(c)
		return nil, errors.Mark(errors.Wrap(err, "set deadline"), ErrNotSent)
	}
	a := &Answer{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, func() { a.cancel(c) })
	if err := a.write(r); err != nil {
		a.Close()
		return nil, errors.Mark(err, ErrLost)
	}
	if err := a.readHead(r); err != nil {
		a.Close()
		return nil, errors.Mark(err, ErrLost)
	}
	return a, nil
}

// write sends the request. A body above maxInlineBody is sent by a goroutine while the
// answer is read, because an upstream may answer before it has read the whole body.
func (a *Answer) write(r *Request) error {
	if len(r.Body) <= maxInlineBody {
		buffers := net.Buffers{r.Head, r.Body}
		if len(r.Body) == 0 {
			buffers = buffers[:1]
		}
		_, err := buffers.WriteTo(a.conn.Conn)
		return errors.Wrap(err, "write")
	}
	written, c := make(chan error, 1), a.conn.Conn // Close may clear a.conn before the goroutine runs
	a.written = written
	go func() {
		buffers := net.Buffers{r.Head, r.Body}
		_, err := buffers.WriteTo(c)
		written <- err
	}()
	return nil
}

// readHead reads answers up to the one for the request and stores the head of that.
func (a *Answer) readHead(r *Request) error {
	method := &http.Request{Method: r.Method} // tells ReadResponse whether the answer has a body
	a.conn.head.left, a.conn.head.memory = maxHeadBytes, r.Memory
	for skipped, informational := 0, 0; ; {
		resp, err := http.ReadResponse(a.conn.br, method) //nolint:bodyclose // the body goes to the answer, whose Close ends the connection
		if err != nil {
			return errors.Wrapf(err, "read head, %d bytes of it received", a.conn.headBytes())
		}
		if resp.ProtoMajor != 1 || resp.ProtoMinor != 1 {
			// Chunks are framing in HTTP/1.1 only, so the end of the body would be a guess.
			return errors.Wrapf(ErrMalformed, "the answer has the protocol version %s", resp.Proto)
		}
		switch interim, err := checkStatus(resp); {
		case err != nil:
			return err
		case interim: // the answer follows
			if informational++; informational > maxInformational {
				return errors.Wrapf(ErrTooLong, "more than %d informational responses", maxInformational)
			}
			continue
		}
		a.conn.head.left = noLimit
		head := platform.DecodeAnswer(resp.StatusCode, resp.Header)
		if head.RequestID == "" {
			return errors.Wrapf(ErrMalformed, "answer with status %d has no request id", resp.StatusCode)
		}
		if head.RequestID != r.ID {
			a.closing = true // the upstream may send more of them
			if skipped++; skipped > maxSkipped || resp.Close {
				return errors.Wrap(ErrMalformed, "answers to other calls")
			}
			if err := skipBody(resp.Body); err != nil {
				return err
			}
			a.conn.head.left = maxHeadBytes
			continue
		}
		a.Status, a.Header, a.Head, a.Length = resp.StatusCode, resp.Header, head, resp.ContentLength
		if r.Method == http.MethodHead {
			a.Length = 0 // the head states the length that a GET would have
		}
		a.unbounded = resp.Close && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead
		a.body, a.closing = resp.Body, a.closing || resp.Close
		if head.NotRun && !a.conn.noteRefused(r.ID) {
			a.closing = true
		}
		return nil
	}
}

// skipBody reads the body of an answer to another call.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if err != nil {
		return errors.Wrap(err, "skip answer to another call")
	}
	if n > maxSkippedBytes {
		return errors.Wrapf(ErrTooLong, "an answer to another call is longer than %d bytes", maxSkippedBytes)
	}
	return nil
}

// Read reads the body. It returns io.EOF at the end of a complete body and an error marked with
// ErrLost when the body breaks off.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		if a.unbounded {
			if err := a.endWriting(); err != nil {
				return n, errors.Mark(errors.Wrap(err, "the connection broke while the request was written"), ErrLost)
			}
		}
		a.bodyComplete = true
		return n, err
	}
	cause := a.conn.head.failed
	if err != nil && cause != nil && !errors.Is(err, cause) {
		return n, errors.Mark(errors.Wrapf(cause, "%v", err), ErrLost) // net/http does not tell why a trailer has no end
	}
	return n, errors.Mark(err, ErrLost)
}

// endWriting ends the writing of the request, of which the upstream needs no more, and returns the error of the connection if the
// writer has received that. The socket gives it once: the reader then sees the same end as that of a whole body. The
// deadline bounds the wait for the writer.
func (a *Answer) endWriting() error {
	a.closing = true
	if a.written == nil {
		return nil
	}
	_ = a.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, where the writer fails too
	err := <-a.written
	a.written = nil
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// IsConnectionLost reports whether err means that the upstream's side of the connection ended
// before the end of the answer, as it does when the process of the upstream ends.
func IsConnectionLost(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// SetDeadline replaces the time at which the exchange ends, for writing and reading. It has no
// effect after the context of Send has ended, and must not be called after Close.
func (a *Answer) SetDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return nil
	}
	return a.conn.SetDeadline(t)
}

// Opened returns when the connection of the answer was opened. It must not be called after Close.
func (a *Answer) Opened() time.Time { return a.conn.opened }

// BodyComplete reports whether the body was read to its end.
func (a *Answer) BodyComplete() bool { return a.bodyComplete }

// Close releases the connection. It goes back to the pool if the context of Send has not ended,
// the body was read to its end, the upstream keeps the connection open and the whole request
// was written. Otherwise it is closed, which makes the upstream cancel the call. Calling Close
// again does nothing.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	c := a.conn
	a.conn = nil
	c.head.release()
	notCancelled := a.stop()
	if !notCancelled || !a.bodyComplete || a.closing || !a.requestWritten() {
		a.pool.drop(c)
		return
	}
	a.pool.put(c, a.Head.KeepAlive)
}

// requestWritten reports whether the whole request has been written.
func (a *Answer) requestWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}
