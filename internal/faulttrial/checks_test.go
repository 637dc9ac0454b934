package faulttrial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
)

// newTestLoad returns a load without cluster whose callers know one entry.
func newTestLoad(entry http.Handler) (l *load, stop func()) {
	server := httptest.NewServer(entry)
	l = &load{
		caller: newCaller([]*process{{httpAddr: server.Listener.Addr().String()}}),
		standins: &standin.Group{
			Applications: []*standin.Service{standin.NewService(standin.ServiceConfig{})},
			Tools:        []*standin.Service{standin.NewService(standin.ServiceConfig{})},
		},
		log:    io.Discard,
		orders: make(map[string]error),
	}
	return l, server.Close
}

func execute(t *testing.T, s *standin.Service, name, key, action string) {
	t.Helper()
	body := fmt.Sprintf(`{"key":%q,"arguments":{"action_id":%q}}`, key, action)
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/invoke/"+name, strings.NewReader(body)))
	if recorder.Code != http.StatusOK {
		t.Fatalf("invoke gave status %d", recorder.Code)
	}
}

// TestOrdersAndDoubles checks that each lie about an execution is counted.
func TestOrdersAndDoubles(t *testing.T) {
	l, stop := newTestLoad(http.NotFoundHandler())
	defer stop()
	notRun := structs.Refusalf(structs.CodeDraining, structs.OutcomeNotRun, "", "")
	unknown := structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown, "", "")
	for id, told := range map[string]error{
		"told done": nil, "told not run": notRun, "not sent": errNotSent, "told unknown": unknown,
	} {
		execute(t, l.standins.Applications[0], serviceOrder, id, id)
		l.ordered(id, told)
	}
	l.ordered("done and did not run", nil)
	l.ordered("truly not run", notRun)
	l.checkOrders()
	if l.counts.Orders != 6 || l.counts.FalseNotRun != 2 || l.counts.WrongAnswers != 1 {
		t.Errorf("counts %+v", l.counts)
	}
	execute(t, l.standins.Tools[0], toolPublish, "k1", "a")
	execute(t, l.standins.Tools[0], toolPublish, "k2", "a")
	execute(t, l.standins.Tools[0], toolPublish, "k2", "b")
	execute(t, l.standins.Tools[0], toolSearch, "k3", "")
	execute(t, l.standins.Tools[0], toolSearch, "k3", "")
	l.checkDoubles()
	if l.counts.DoubleActions != 1 {
		t.Errorf("%d double actions, want 1", l.counts.DoubleActions)
	}
}

// TestHistoryIsCompared checks that a kept turn that is missing, changed or moved is lost.
func TestHistoryIsCompared(t *testing.T) {
	history := []structs.Message{
		{Role: structs.RoleUser, Content: "one"},
		{Role: structs.RoleAssistant, ToolCalls: []structs.ToolCall{{ID: "c"}}},
		{Role: structs.RoleTool, Content: "done"},
		{Role: structs.RoleAssistant, Content: "first"},
		{Role: structs.RoleUser, Content: "two"},
		{Role: structs.RoleAssistant, Content: "second"},
	}
	l, stop := newTestLoad(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(structs.ProgramView{History: history})
	}))
	defer stop()
	turn := func(content, answer string) turnRecord {
		return turnRecord{content: content, answer: answer, kept: true}
	}
	for name, c := range map[string]struct {
		kept []turnRecord
		lost int
	}{
		"whole":    {[]turnRecord{turn("one", "first"), turn("two", "second")}, 0},
		"missing":  {[]turnRecord{turn("one", "first"), turn("two", "second"), turn("three", "third")}, 1},
		"changed":  {[]turnRecord{turn("one", "first"), turn("two", "other")}, 1},
		"moved":    {[]turnRecord{turn("two", "second"), turn("one", "first")}, 2},
		"not kept": {[]turnRecord{turn("one", "first"), turn("two", "second"), {content: "three"}}, 0},
	} {
		p := &programRun{load: l, kept: c.kept}
		lost, ok := p.checkHistory(context.Background())
		if !ok || lost != c.lost {
			t.Errorf("%s: lost %d, %v, want %d", name, lost, ok, c.lost)
		}
	}
}

// TestTurnIsFollowed gives what a caller makes of each end of a turn's stream.
func TestTurnIsFollowed(t *testing.T) {
	for body, want := range map[string]string{
		"event: answer\ndata: {\"answer\":{\"turn\":1,\"content\":\"a\"}}\n\n":      "ok after 1",
		"event: token\ndata: {\"text\":\"a\"}\n\n":                                  "request was cut after 1",
		"event: token\ndata: {\"text\":\"a\"}\n\nevent: answer\ndata: {\"ans":       "request was cut after 1",
		"event: refusal\ndata: {\"code\":\"draining\",\"outcome\":\"not_run\"}\n\n": "draining after 0",
	} {
		l, stop := newTestLoad(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, body)
			w.(http.Flusher).Flush()
			if !strings.HasSuffix(body, "\n\n") {
				panic(http.ErrAbortHandler)
			}
		}))
		events := 0
		_, err := l.caller.turn(context.Background(), request{entry: l.caller.pick(), method: http.MethodPost, path: "/"}, func() { events++ })
		stop()
		got := fmt.Sprintf("%s after %d", nameOf(err), events)
		if got != want {
			t.Errorf("stream %q gave %s, want %s", body, got, want)
		}
	}
}

func nameOf(err error) string {
	if err == nil {
		return "ok"
	}
	if r := structs.AsRefusal(err); r.Code != structs.CodeInternal {
		return string(r.Code)
	}
	text, _, _ := strings.Cut(err.Error(), ":")
	return text
}
