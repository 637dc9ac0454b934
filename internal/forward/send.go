package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/platform"
)

// ErrNotSent marks the error of a call of which nothing reached the upstream.
var ErrNotSent = errors.New("not sent")

// ErrLost marks the error of a call that was sent and may have run.
var ErrLost = errors.New("answer lost")

// ErrMalformed marks an answer that breaks the protocol.
var ErrMalformed = errors.New("malformed answer")

const (
	// maxForeign bounds the answers to other calls that are skipped on a connection.
	maxForeign = 2
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 256 << 10
	// inlineBody is the length up to which a body is written before the answer is read;
	// it fits the window of a connection.
	inlineBody = 48 << 10
)

// Request is one send to an upstream.
type Request struct {
	Address string
	// ID is the call's id, which the answer must echo.
	ID string
	// Method tells whether the answer has a body.
	Method string
	// Head and Body are the bytes to send.
	Head []byte
	Body []byte
	// Deadline is when waiting for the answer ends.
	Deadline time.Time
	// MaxConns bounds the connections to the upstream.
	MaxConns int
	// MaxIdle bounds how long a kept connection may have rested.
	MaxIdle time.Duration
}

// Answer is an upstream's answer whose body is still to be read. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Head   platform.AnswerHead
	// Length is the length of the body; -1 when it is not said.
	Length int64

	pool *Pool
	conn *conn
	body io.ReadCloser
	// close says that the upstream closes the connection after the answer.
	close   bool
	whole   bool
	stop    func() bool
	written chan error

	// mu guards cancelled, so that a deadline set later does not undo a cancellation.
	mu        sync.Mutex
	cancelled bool
}

// cancel ends all waiting on the connection.
func (a *Answer) cancel(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	_ = c.SetDeadline(time.Unix(1, 0)) // a closed connection waits for nothing
}

// Send sends a request and reads the head of its answer. Errors are marked with
// ErrNotSent or ErrLost.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r.Address, r.MaxConns, r.MaxIdle)
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

// write sends the request; a long body goes on while the answer is read, since an
// upstream may answer before it has read it.
func (a *Answer) write(r *Request) error {
	if len(r.Body) <= inlineBody {
		buffers := net.Buffers{r.Head, r.Body}
		if len(r.Body) == 0 {
			buffers = buffers[:1]
		}
		_, err := buffers.WriteTo(a.conn.Conn)
		return errors.Wrap(err, "write")
	}
	a.written = make(chan error, 1)
	go func() {
		buffers := net.Buffers{r.Head, r.Body}
		_, err := buffers.WriteTo(a.conn.Conn)
		a.written <- err
	}()
	return nil
}

func (a *Answer) readHead(r *Request) error {
	method := &http.Request{Method: r.Method}
	for foreign := 0; ; {
		resp, err := http.ReadResponse(a.conn.br, method) //nolint:bodyclose // the body goes to the answer, whose Close ends the connection
		if err != nil {
			return errors.Wrap(err, "read head")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		head := platform.DecodeAnswer(resp.StatusCode, resp.Header)
		if head.RequestID != r.ID && head.RequestID != "" {
			if foreign++; foreign > maxForeign || resp.Close {
				return errors.Wrap(ErrMalformed, "answers to other calls")
			}
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes)); err != nil {
				return errors.Wrap(err, "skip answer to another call")
			}
			continue
		}
		a.Status, a.Header, a.Head, a.Length = resp.StatusCode, resp.Header, head, resp.ContentLength
		a.body, a.close = resp.Body, resp.Close
		return nil
	}
}

// Read reads the body. io.EOF says that it is whole; a break is another error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// SetDeadline replaces the time at which waiting for the rest of the answer ends.
func (a *Answer) SetDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return nil
	}
	return a.conn.SetDeadline(t)
}

// Complete reports whether the body was read to its end.
func (a *Answer) Complete() bool { return a.whole }

// Close ends the use of the answer. Its connection is kept when the body was read to
// its end, and closed otherwise, which makes the upstream drop the call.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	c := a.conn
	a.conn = nil
	undisturbed := a.stop()
	if !undisturbed || !a.whole || a.close || !a.wrote() {
		a.pool.drop(c)
		return
	}
	a.pool.put(c, a.Head.KeepAlive)
}

// wrote reports whether the whole request was written.
func (a *Answer) wrote() bool {
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
