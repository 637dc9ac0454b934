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
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxErrorBytes bounds the body of an error.
	maxErrorBytes = 4 << 10
	maxIdleConns  = 256
	// defaultRetryAfter is when to come back to an upstream that does not say.
	defaultRetryAfter = time.Second
	contentType       = "Content-Type"
	contentTypeJSON   = "application/json"
)

// Sentinels beside the refusals of broken streams, for errors.Is.
var (
	// ErrStreamBroken: the stream ended before the answer did.
	ErrStreamBroken = errors.New("stream was cut")
	// ErrWrongCall: a chunk of another call or attempt arrived.
	ErrWrongCall = errors.New("chunk of another call or attempt")
	// ErrWrongOffset: a chunk does not continue the answer.
	ErrWrongOffset = errors.New("chunk at a wrong offset")
)

// client sends requests to one upstream.
type client struct {
	peer string
	base string
	http *http.Client
}

// newClient returns a client; a nil transport takes one of its own.
func newClient(peer structs.UpstreamID, base string, transport http.RoundTripper) client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}
	}
	return client{
		peer: string(peer),
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{Transport: transport},
	}
}

// send posts body as JSON, or gets when body is nil. The caller closes the
// response, whose status is a success.
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

// exchange sends a request and decodes its answer into out, when out is not nil.
func (c client) exchange(ctx context.Context, step, path string, body, out any) error {
	response, err := c.send(ctx, step, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return c.broken(ctx, step, err)
	}
	if len(answer) > maxAnswerBytes {
		return c.broken(ctx, step, errors.Newf("answer of %s exceeds %d bytes", path, maxAnswerBytes))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return c.broken(ctx, step, err)
	}
	return nil
}

func (c client) refusal(code structs.Code, outcome structs.Outcome, step string, err error) *structs.Refusal {
	r := structs.Refusalf(code, outcome, step, "%v", err)
	r.Peer = c.peer
	return r
}

// sendFailure tells a request that was never sent from one that may have run.
func (c client) sendFailure(ctx context.Context, step string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r := c.refusal(codeOf(ctx), structs.OutcomeNotRun, step, err)
		r.RetryAfter = defaultRetryAfter
		return r
	}
	return c.broken(ctx, step, err)
}

// broken is the refusal of a request that was sent and whose end was not seen.
func (c client) broken(ctx context.Context, step string, err error) *structs.Refusal {
	return c.refusal(codeOf(ctx), structs.OutcomeUnknown, step, err)
}

// codeOf tells the caller's own end from a failure of the upstream.
func codeOf(ctx context.Context) structs.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return structs.CodeCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return structs.CodeDeadlineExceeded
	}
	return structs.CodeUpstreamFailed
}

// statusFailure maps an answer that is not a success. Only the upstream's own word
// makes the outcome "not run".
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

// streamError is a refusal that is also one of the sentinels of this package.
type streamError struct {
	*structs.Refusal
	sentinel error
}

// Unwrap gives the refusal and the sentinel.
func (e *streamError) Unwrap() []error { return []error{e.Refusal, e.sentinel} }
