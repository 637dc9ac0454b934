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

// scripted answers every request alike.
type scripted struct {
	status int
	body   string
	err    error
}

func (s *scripted) RoundTrip(*http.Request) (*http.Response, error) {
	if s.err != nil {
		return nil, s.err
	}
	body := io.NopCloser(strings.NewReader(s.body))
	return &http.Response{StatusCode: s.status, Header: http.Header{}, Body: body}, nil
}

// TestAnswers gives what the clients make of scripted answers: the engine's of
// call c, attempt 1, and the service's.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := &scripted{status: http.StatusOK, body: d.Input}
		switch d.Cmd {
		case "stream":
			s.body = stream(d.Input)
			return call(s)
		case "status":
			status, err := strconv.Atoi(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			s.status = status
		case "fail":
			s.err = &net.OpError{Op: d.CmdArgs[0].Key, Err: errors.New("scripted")}
		}
		return call(s) + "\n" + invoke(s)
	})
}

// stream writes each line as an event, "CALL ATTEMPT OFFSET TEXT [FINISH]" as a chunk.
func stream(input string) string {
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

func call(s *scripted) string {
	m := NewModel("m", "http://m", s)
	defer m.Close()
	var chunks []string
	answer, err := m.Call(context.Background(), modelCall("c", 1), CallOptions{}, func(offset int, text string) {
		chunks = append(chunks, fmt.Sprintf("%d:%s", offset, text))
	})
	return fmt.Sprintf("model: %v %q %s", chunks, answer.Message.Content, describe(err))
}

func invoke(s *scripted) string {
	service := NewService("s", "http://s", s)
	defer service.Close()
	result, err := service.Invoke(context.Background(), structs.ToolRequest{Name: "order", Key: "k"})
	return fmt.Sprintf("service: %q %s", result, describe(err))
}

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
