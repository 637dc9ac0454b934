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

// newTestLoad returns a load without a cluster, whose callers use one entry.
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

// execute invokes a service once with an idempotency key and an action ID, as an entry does.
func execute(t *testing.T, s *standin.Service, name, key, action string) {
	t.Helper()
	body := fmt.Sprintf(`{"key":%q,"arguments":{"action_id":%q}}`, key, action)
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/invoke/"+name, strings.NewReader(body)))
	if recorder.Code != http.StatusOK {
		t.Fatalf("invoke returned status %d, want 200", recorder.Code)
	}
}

// TestOrdersAndDuplicates guards against checks that miss an outcome which contradicts the
// executions, or an action that was executed twice.
func TestOrdersAndDuplicates(t *testing.T) {
	l, stop := newTestLoad(http.NotFoundHandler())
	defer stop()
	notRun := structs.Refusalf(structs.CodeDraining, structs.OutcomeNotRun, "", "")
	unknown := structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown, "", "")
	for id, received := range map[string]error{
		"reported done": nil, "reported not run": notRun, "not sent": errNotSent, "reported unknown": unknown,
	} {
		execute(t, l.standins.Applications[0], serviceOrder, id, id)
		l.recordOrder(id, received)
	}
	l.recordOrder("reported done and did not run", nil)
	l.recordOrder("reported not run and did not run", notRun)
	l.checkOrders()
	if l.counts.Orders != 6 || l.counts.FalseNotRun != 2 || l.counts.WrongAnswers != 1 {
		t.Errorf("counts %+v, want 6 orders, 2 false not run and 1 wrong answer", l.counts)
	}
	execute(t, l.standins.Tools[0], toolPublish, "k1", "a")
	execute(t, l.standins.Tools[0], toolPublish, "k2", "a")
	execute(t, l.standins.Tools[0], toolPublish, "k2", "b")
	execute(t, l.standins.Tools[0], toolSearch, "k3", "")
	execute(t, l.standins.Tools[0], toolSearch, "k3", "")
	l.checkDuplicates()
	if l.counts.DoubleActions != 1 {
		t.Errorf("%d double actions, want 1", l.counts.DoubleActions)
	}
}

// TestHistoryIsCompared checks that a durable turn that is missing from the history, changed
// or moved counts as lost, and a turn that is not durable does not.
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
		return turnRecord{content: content, answer: answer, durable: true}
	}
	for name, c := range map[string]struct {
		records []turnRecord
		lost    int
	}{
		"complete":    {[]turnRecord{turn("one", "first"), turn("two", "second")}, 0},
		"missing":     {[]turnRecord{turn("one", "first"), turn("two", "second"), turn("three", "third")}, 1},
		"changed":     {[]turnRecord{turn("one", "first"), turn("two", "other")}, 1},
		"moved":       {[]turnRecord{turn("two", "second"), turn("one", "first")}, 2},
		"not durable": {[]turnRecord{turn("one", "first"), turn("two", "second"), {content: "three"}}, 0},
	} {
		p := &programRun{load: l, records: c.records}
		lost, ok := p.checkHistory(context.Background())
		if !ok || lost != c.lost {
			t.Errorf("%s: %d turns lost, read %v, want %d lost", name, lost, ok, c.lost)
		}
	}
}

// TestTurnStreamEnds checks what a caller reports for each way in which the stream of a turn
// can end: an answer, an end without one, a cut in an event and a refusal.
func TestTurnStreamEnds(t *testing.T) {
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
			t.Errorf("stream %q: %s, want %s", body, got, want)
		}
	}
}

// nameOf returns "ok", the code of a refusal or the first part of another error's text.
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
