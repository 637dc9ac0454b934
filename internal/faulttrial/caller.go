package faulttrial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// errNotSent means that no connection could be made, for example because the process exited.
var errNotSent = errors.New("request was not sent")

// errCut means that the request failed after the connection was made: the connection broke,
// a stream ended before its answer or, for a request that is not a stream, plainTimeout passed
// or the caller's context ended.
var errCut = errors.New("request was cut")

const (
	// eventTimeout is how long a caller waits for the next event of a stream before it
	// sends the turn to another entry.
	eventTimeout = 8 * time.Second
	// plainTimeout bounds a request that is not a stream.
	plainTimeout = 15 * time.Second
	// maxAnswer bounds the size of an answer in bytes.
	maxAnswer = 64 << 20
)

// caller sends HTTP requests to the entries as a caller or an operator. Each request has
// a connection of its own, so that an idle connection closed by an entry does not look like
// a cut request.
type caller struct {
	entries []string // addresses
	http    *http.Client
	next    atomic.Uint64
}

func newCaller(entries []*process) *caller {
	c := &caller{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, p := range entries {
		c.entries = append(c.entries, p.httpAddr)
	}
	return c
}

// pick returns the next entry, round robin.
func (c *caller) pick() string {
	return c.entries[c.next.Add(1)%uint64(len(c.entries))]
}

// request is one request of a caller or operator. entry is the address of the entry, token
// the bearer token and key the idempotency key. stream asks for the events of a turn.
type request struct {
	entry, method, path string
	token, key          string
	body                any
	stream              bool
}

// send sends a request and returns the response if its status is below 300. Any other status
// is returned as a refusal.
func (c *caller) send(ctx context.Context, r request) (*http.Response, error) {
	body, err := json.Marshal(r.body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	var reader io.Reader
	if r.body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.entry+r.path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+r.token)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	response, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		return nil, problem(response)
	}
	return response, nil
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	return fmt.Errorf("%w: %w", errCut, err)
}

func problem(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	return refusalOf(text, response.StatusCode)
}

// refusalOf decodes a problem document into a refusal. For any other text it returns an
// internal error with an unknown outcome.
func refusalOf(text []byte, status int) error {
	var p httpapi.Problem
	if json.Unmarshal(text, &p) != nil || p.Code == "" {
		return structs.Refusalf(structs.CodeInternal, structs.OutcomeUnknown, "", "status %d: %.200s", status, text)
	}
	return &structs.Refusal{
		Code:       p.Code,
		Outcome:    p.Outcome,
		Step:       p.Step,
		Peer:       p.Peer,
		Detail:     p.Detail,
		RetryAfter: time.Duration(p.RetryAfterSeconds * float64(time.Second)),
	}
}

// exchange sends a request and decodes its answer into out, unless out is nil.
func (c *caller) exchange(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, plainTimeout)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(text, out), "answer of %s", r.path)
}

// errEventTimeout means that no event of a stream came for eventTimeout.
var errEventTimeout = errors.Newf("no event of the stream for %v", eventTimeout)

// turn sends a turn and reads its stream up to the answer; it calls event for each event.
func (c *caller) turn(ctx context.Context, r request, event func()) (structs.TurnAnswer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(eventTimeout, func() { cancel(errEventTimeout) })
	defer timeout.Stop()
	r.stream = true
	response, err := c.send(ctx, r)
	if err != nil {
		return structs.TurnAnswer{}, causeOr(ctx, err)
	}
	defer response.Body.Close()
	events := engine.NewEventReader(response.Body)
	for {
		data, err := events.Next()
		if err != nil {
			return structs.TurnAnswer{}, causeOr(ctx, fmt.Errorf("%w: %w", errCut, err))
		}
		timeout.Reset(eventTimeout)
		answer, err := turnEvent(data)
		if err != nil {
			return structs.TurnAnswer{}, err
		}
		event()
		if answer != nil {
			return *answer, nil
		}
	}
}

// causeOr returns the cause of the end of ctx if it has ended, err otherwise.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// turnEvent decodes one event of a turn. The last event has the answer; a refusal is
// returned as an error.
func turnEvent(data []byte) (*structs.TurnAnswer, error) {
	var e struct {
		structs.TurnEvent
		Code structs.Code `json:"code"`
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "event of a turn")
	}
	if e.Code != "" {
		return nil, refusalOf(data, http.StatusOK)
	}
	return e.Answer, nil
}
