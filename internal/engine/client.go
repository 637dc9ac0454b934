package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxHeadBytes bounds the heads of an answer.
	maxHeadBytes = 64 << 10
	// maxErrorBytes is how much is read of the body of an answer without a success status.
	maxErrorBytes = 4 << 10
	// maxIdleConns is the maximum number of idle connections to one upstream.
	maxIdleConns = 256
	// defaultRetryAfter is the wait before a retry after status 429 or 503 without a
	// Retry-After header, and after a connection that could not be opened.
	defaultRetryAfter = time.Second

	contentType     = "Content-Type"
	contentTypeJSON = "application/json"
)

// Errors that the refusal of a broken stream also matches with errors.Is.
var (
	// ErrStreamBroken means that the stream ended before the answer was complete, or that an
	// event could not be read or decoded.
	ErrStreamBroken = errors.New("stream was cut")
	// ErrWrongCall means that a chunk carried the id of another call or the number of another
	// attempt.
	ErrWrongCall = errors.New("chunk of another call or attempt")
	// ErrWrongOffset means that the text of a chunk does not start where the answer ends, or
	// that the answer grew too long.
	ErrWrongOffset = errors.New("chunk at a wrong offset")
)

// client sends requests to one upstream and turns failures into refusals. It does not retry;
// net/http may resend a request of which nothing was written, or a GET.
type client struct {
	peer string
	base string
	http *http.Client
}

// newClient returns a client with the given transport, or with a new one if it is nil.
func newClient(peer structs.UpstreamID, base string, transport http.RoundTripper) client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
	}
	return client{
		peer: string(peer),
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{Transport: transport},
	}
}

// send sends a POST with body as JSON, or a GET when body is nil. It returns a response only
// with a success status; the function that called it must close the body.
func (c client) send(ctx context.Context, step, path string, body any) (*http.Response, error) {
	request, err := c.request(ctx, path, body)
	if err != nil {
		return nil, c.refusal(structs.CodeBadRequest, structs.OutcomeNotRun, step, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.sendFailure(ctx, step, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		return nil, c.statusFailure(step, response)
	}
	return response, nil
}

// request returns the HTTP request for path and body.
func (c client) request(ctx context.Context, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set(contentType, contentTypeJSON)
	return request, nil
}

// exchange sends a request, reads its whole answer and decodes it into out unless out is nil.
func (c client) exchange(ctx context.Context, step, path string, body, out any) error {
	response, err := c.send(ctx, step, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return c.outcomeUnknown(ctx, step, err)
	}
	if len(answer) > maxAnswerBytes {
		return c.outcomeUnknown(ctx, step, errors.Newf("answer of %s exceeds %d bytes", path, maxAnswerBytes))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return c.outcomeUnknown(ctx, step, err)
	}
	return nil
}

// refusal returns a refusal that names the upstream and has the text of err as its detail.
func (c client) refusal(code structs.Code, outcome structs.Outcome, step string, err error) *structs.Refusal {
	r := structs.Refusalf(code, outcome, step, "%v", err)
	r.Peer = c.peer
	return r
}

// sendFailure returns the refusal for a request without a response: not run when the
// connection could not be opened, unknown otherwise.
func (c client) sendFailure(ctx context.Context, step string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r := c.refusal(failureCode(ctx), structs.OutcomeNotRun, step, err)
		r.RetryAfter = defaultRetryAfter
		return r
	}
	return c.outcomeUnknown(ctx, step, err)
}

// outcomeUnknown returns the refusal for a request that may have been sent and may have run.
func (c client) outcomeUnknown(ctx context.Context, step string, err error) *structs.Refusal {
	return c.refusal(failureCode(ctx), structs.OutcomeUnknown, step, err)
}

// failureCode returns the code of a failed request: the upstream failed, unless the context
// was cancelled or its deadline passed.
func failureCode(ctx context.Context) structs.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return structs.CodeCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return structs.CodeDeadlineExceeded
	}
	return structs.CodeUpstreamFailed
}

// statusFailure returns the refusal for an answer without a success status. The outcome is
// not_run only when the upstream's error body states it.
func (c client) statusFailure(step string, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var body ErrorBody
	if json.Unmarshal(text, &body) != nil || body.Outcome == "" {
		body = ErrorBody{
			Code:    structs.CodeUpstreamFailed,
			Outcome: structs.OutcomeUnknown,
			Detail:  fmt.Sprintf("status %d: %s", response.StatusCode, text),
		}
	}
	r := c.refusal(body.Code, body.Outcome, step, errors.New(body.Detail))
	r.RetryAfter = retryAfter(response)
	return r
}

// retryAfter returns the wait that the answer asks for in seconds, or defaultRetryAfter for
// status 429 and 503 without one. A Retry-After header with a date is ignored.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	switch {
	case err == nil:
		return time.Duration(seconds) * time.Second
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return defaultRetryAfter
	}
	return 0
}

// streamError is a refusal that also matches its sentinel: ErrStreamBroken, ErrWrongCall or
// ErrWrongOffset.
type streamError struct {
	*structs.Refusal
	sentinel error
}

// Unwrap returns the refusal and the sentinel.
func (e *streamError) Unwrap() []error { return []error{e.Refusal, e.sentinel} }
