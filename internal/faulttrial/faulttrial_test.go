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

// TestSettingsAreAccepted checks every file that a trial writes by the programs' own rules.
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
		t.Fatalf("%d entries and %d sides", len(c.entries), len(c.sides))
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

// TestTurnIsScripted checks that the stand-in plays a turn as the trial expects it.
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

func TestTurnEvent(t *testing.T) {
	if answer, err := turnEvent([]byte(`{"call":"e1-x.1/1/1","text":"a"}`)); answer != nil || err != nil {
		t.Errorf("text gave %v, %v", answer, err)
	}
	if answer, err := turnEvent([]byte(`{"answer":{"turn":1,"content":"a","kept":true}}`)); err != nil || !answer.Durable {
		t.Errorf("answer gave %v, %v", answer, err)
	}
	_, err := turnEvent([]byte(`{"code":"draining","outcome":"not_run","status":503}`))
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Code != structs.CodeDraining || refusal.Outcome != structs.OutcomeNotRun {
		t.Errorf("refusal gave %v", err)
	}
	if err := refusalOf([]byte("bad gateway"), http.StatusBadGateway); structs.AsRefusal(err).Outcome != structs.OutcomeUnknown {
		t.Errorf("a body that is no problem document gave %v", err)
	}
}

// TestFailed checks that each count that must be zero, and an unfinished scenario, fails a report.
func TestFailed(t *testing.T) {
	if (Report{Scenarios: []Result{{Scenario: "calm"}}}).Failed() {
		t.Error("a report without faults failed")
	}
	for _, counts := range []Counts{{LostTurns: 1}, {DoubleActions: 1}, {FalseNotRun: 1}, {CutRequests: 1}} {
		var r Report
		r.add(Result{Counts: counts})
		if !r.Failed() {
			t.Errorf("a report with %+v did not fail", counts)
		}
	}
	if !(Report{Scenarios: []Result{{Error: "limit"}}}).Failed() {
		t.Error("an unfinished scenario did not fail")
	}
}
