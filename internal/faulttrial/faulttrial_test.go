package faulttrial

import (
	"net/http"
	"strings"
	"testing"

	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSettingsAreAccepted guards against settings files of a trial that the entries or the
// sides would reject.
func TestSettingsAreAccepted(t *testing.T) {
	group, err := standin.Start(standinConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer group.Close()
	c := &cluster{dir: t.TempDir(), standins: group}
	if err := c.configure(); err != nil {
		t.Fatal(err)
	}
	if len(c.entries) != entryCount || len(c.sides) != modelCount+applicationCount {
		t.Fatalf("%d entries and %d sides, want %d and %d", len(c.entries), len(c.sides), entryCount, modelCount+applicationCount)
	}
	for _, p := range c.entries {
		if _, err := settings.LoadEntry(p.settings); err != nil {
			t.Error(err)
		}
	}
	for _, p := range c.sides {
		if _, err := settings.LoadSide(p.settings); err != nil {
			t.Error(err)
		}
	}
}

// TestTurnIsScripted checks that the stand-in engine answers a turn as the trial expects:
// two tool calls, then the answer.
func TestTurnIsScripted(t *testing.T) {
	p := &programRun{name: "p00"}
	content := p.turnContent(3)
	messages := []structs.Message{{Role: structs.RoleUser, Content: content}}
	var tools []string
	for range 2 {
		answer := standin.ScriptedAnswer(messages)
		if len(answer.ToolCalls) != 1 {
			t.Fatalf("answer %+v has no tool call", answer)
		}
		tools = append(tools, answer.ToolCalls[0].Name+answer.ToolCalls[0].Arguments)
		messages = append(messages, answer, structs.Message{Role: structs.RoleTool, Content: "done"})
	}
	want := `search_records{"pause_ms":150} publish_dataset{"pause_ms":50,"action_id":"p00-publish-3"}`
	if got := strings.Join(tools, " "); got != want {
		t.Errorf("tools %s, want %s", got, want)
	}
	whole := standin.ScriptedAnswer(messages).Content
	if whole != wantAnswer(content) || len(whole) != answerTokens*structs.BytesPerToken {
		t.Errorf("answer %q, want %q", whole, wantAnswer(content))
	}
}

// TestTurnEvent checks the decoding of text, answer and refusal events and of an error body
// that is not a problem document.
func TestTurnEvent(t *testing.T) {
	if answer, err := turnEvent([]byte(`{"call":"e1-x.1/1/1","text":"a"}`)); answer != nil || err != nil {
		t.Errorf("text event: answer %v, error %v, want neither", answer, err)
	}
	if answer, err := turnEvent([]byte(`{"answer":{"turn":1,"content":"a","kept":true}}`)); err != nil || !answer.Durable {
		t.Errorf("answer event: answer %v, error %v, want a durable answer", answer, err)
	}
	_, err := turnEvent([]byte(`{"code":"draining","outcome":"not_run","status":503}`))
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Code != structs.CodeDraining || refusal.Outcome != structs.OutcomeNotRun {
		t.Errorf("refusal event: %v, want draining and not run", err)
	}
	if err := refusalOf([]byte("bad gateway"), http.StatusBadGateway); structs.AsRefusal(err).Outcome != structs.OutcomeUnknown {
		t.Errorf("body that is not a problem document: %v, want an unknown outcome", err)
	}
}

// TestFailed checks that each count that must be zero and an unfinished scenario fail a
// report.
func TestFailed(t *testing.T) {
	if (Report{Scenarios: []Result{{Scenario: "calm"}}}).Failed() {
		t.Error("Failed is true for a report without faults")
	}
	for _, counts := range []Counts{{LostTurns: 1}, {DoubleActions: 1}, {FalseNotRun: 1}, {CutRequests: 1}} {
		var r Report
		r.add(Result{Counts: counts})
		if !r.Failed() {
			t.Errorf("Failed is false for a report with %+v", counts)
		}
	}
	if !(Report{Scenarios: []Result{{Error: "limit"}}}).Failed() {
		t.Error("Failed is false for an unfinished scenario")
	}
}
