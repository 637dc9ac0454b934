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
