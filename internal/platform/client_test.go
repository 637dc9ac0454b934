package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// scriptedTransport gives every request the same response or error.
type scriptedTransport struct {
	status int
	body   string
	err    error
}

func (s *scriptedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	if s.err != nil {
		return nil, s.err
	}
	body := io.NopCloser(strings.NewReader(s.body))
	return &http.Response{StatusCode: s.status, Header: http.Header{}, Body: body}, nil
}

// TestOutcomes checks which sentinels a write, a read and a delete return for each response
// of the platform. A wrong ErrNotApplied would let a caller repeat a write that was applied.
func TestOutcomes(t *testing.T) {
	datadriven.RunTest(t, "testdata/outcomes.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := &scriptedTransport{body: d.Input}
		switch d.Cmd {
		case "status":
			status, err := strconv.Atoi(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			s.status = status
		case "fail":
			s.err = &net.OpError{Op: d.CmdArgs[0].Key, Err: errors.New("scripted")}
		}
		c := NewClientWithTransport("http://platform", s)
		_, read := c.Get(context.Background(), "k")
		return "write " + sentinels(c.Apply(context.Background(), Txn{})) +
			", read " + sentinels(read) +
			", delete " + sentinels(c.Objects().Delete(context.Background(), "k"))
	})
}

// sentinels returns the texts of the sentinels that err wraps, or "ok" for nil.
func sentinels(err error) string {
	if err == nil {
		return "ok"
	}
	var out []string
	for _, sentinel := range []error{ErrConditionFailed, ErrNotFound, ErrNotApplied, ErrUnavailable} {
		if errors.Is(err, sentinel) {
			out = append(out, sentinel.Error())
		}
	}
	return strings.Join(out, "+")
}

// endlessBody is a body without end. It counts what was read.
type endlessBody struct{ n int64 }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.n += int64(len(p))
	return len(p), nil
}

func (*endlessBody) Close() error { return nil }

func (b *endlessBody) RoundTrip(r *http.Request) (*http.Response, error) {
	status := http.StatusOK
	if r.Method == http.MethodDelete {
		status = http.StatusInternalServerError
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: b}, nil
}

// TestAnswerWithoutEndIsCutOff checks that the body of a response, or of an error, has an end.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	body := &endlessBody{}
	c := NewClientWithTransport("http://platform", body)
	if _, err := c.Objects().Get(context.Background(), "k"); !errors.Is(err, ErrUnavailable) || body.n > 2*maxResponseBytes {
		t.Errorf("%v after %d bytes", err, body.n)
	}
	body.n = 0
	if err := c.Objects().Delete(context.Background(), "k"); !errors.Is(err, ErrUnavailable) || body.n > 2*maxErrorBytes {
		t.Errorf("%v after %d bytes", err, body.n)
	}
}
