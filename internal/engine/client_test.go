package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// fixedTransport answers every request with the same response or error.
type fixedTransport struct {
	status int
	body   string
	err    error
}

func (f *fixedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	if f.err != nil {
		return nil, f.err
	}
	body := io.NopCloser(strings.NewReader(f.body))
	return &http.Response{StatusCode: f.status, Header: http.Header{}, Body: body}, nil
}

// TestAnswers prints what the model client returns for a scripted answer to call c, attempt 1,
// and, except for streams, what the service client returns for the tool "order". It guards
// against an outcome that claims more than the answer shows, and against text of other calls
// in an answer.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers.txt", func(t *testing.T, d *datadriven.TestData) string {
		transport := &fixedTransport{status: http.StatusOK, body: d.Input}
		switch d.Cmd {
		case "stream":
			transport.body = encodeStream(d.Input)
			return callModel(transport)
		case "status":
			status, err := strconv.Atoi(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			transport.status = status
		case "fail":
			transport.err = &net.OpError{Op: d.CmdArgs[0].Key, Err: errors.New("scripted")}
		}
		return callModel(transport) + "\n" + invokeService(transport)
	})
}

// encodeStream returns one event for each line of input. A line "CALL ATTEMPT OFFSET TEXT
// [FINISH]" becomes a chunk; any other line becomes the data of its event.
func encodeStream(input string) string {
	var out strings.Builder
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		if len(f) < 4 {
			fmt.Fprintf(&out, "data: %s\n\n", strings.TrimSpace(line))
			continue
		}
		finish := ""
		if len(f) > 4 {
			finish = f[4]
		}
		fmt.Fprintf(&out, `data: {"call_id":%q,"attempt":%s,"offset":%s,"choices":[{"delta":{"content":%q},"finish_reason":%q}]}`+"\n\n",
			f[0], f[1], f[2], f[3], finish)
	}
	return out.String()
}

// callModel makes a model call and returns the chunks delivered, the text and the error.
func callModel(transport *fixedTransport) string {
	m := NewModel("m", "http://m", transport)
	defer m.Close()
	var chunks []string
	answer, err := m.Call(context.Background(), modelCall("c", 1), CallOptions{}, func(offset int, text string) {
		chunks = append(chunks, fmt.Sprintf("%d:%s", offset, text))
	})
	return fmt.Sprintf("model: %v %q %s", chunks, answer.Message.Content, describe(err))
}

// invokeService invokes a tool and returns its result and the error.
func invokeService(transport *fixedTransport) string {
	service := NewService("s", "http://s", transport)
	defer service.Close()
	result, err := service.Invoke(context.Background(), structs.ToolRequest{Name: "order", Key: "k"})
	return fmt.Sprintf("service: %q %s", result, describe(err))
}

// describe returns the code, outcome, step, peer and retry time of an error, and the
// sentinels that it matches.
func describe(err error) string {
	if err == nil {
		return "ok"
	}
	refusal := structs.AsRefusal(err)
	out := fmt.Sprintf("%s %s at %q of %s, retry after %v", refusal.Code, refusal.Outcome, refusal.Step, refusal.Peer, refusal.RetryAfter)
	for _, sentinel := range []error{ErrStreamBroken, ErrWrongCall, ErrWrongOffset} {
		if errors.Is(err, sentinel) {
			out += ", " + sentinel.Error()
		}
	}
	return out
}

// endlessTransport answers each request with a body without end.
type endlessTransport struct {
	status int
	read   int64
}

func (e *endlessTransport) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

func (*endlessTransport) Close() error { return nil }

func (e *endlessTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: e.status, Header: http.Header{}, Body: e}, nil
}

// TestAnswerWithoutEndIsCutOff checks that the body of an answer, or of an error, has an end.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	for status, limit := range map[int]int64{http.StatusOK: maxAnswerBytes, http.StatusBadGateway: maxErrorBytes} {
		e := &endlessTransport{status: status}
		err := newClient("engine-1", "http://engine", e).exchange(context.Background(), "test", "/", nil, &struct{}{})
		if err == nil || e.read > 2*limit {
			t.Errorf("status %d: %v after %d bytes", status, err, e.read)
		}
	}
}
