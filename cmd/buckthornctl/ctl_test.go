package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/buckthornroute/buckthornroute/internal/command"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/structs"
)

// fakeEntry is an entry behind the real operators' API. It records the changes requested of
// it. The embedded interfaces are nil, so a call of a method that fakeEntry does not define
// panics.
type fakeEntry struct {
	home.Home
	query.System
	inForce structs.PresetInForce
	presets map[string]structs.Preset
	// laggingPolls is the number of coming Nodes calls that report a lower preset version for
	// the second entry.
	laggingPolls int
	changes      []string
}

// change records a change, formatted as a line of the test's output.
func (s *fakeEntry) change(format string, args ...any) error {
	s.changes = append(s.changes, fmt.Sprintf(format, args...))
	return nil
}

func (s *fakeEntry) Nodes(context.Context) ([]query.Node, error) {
	nodes := []query.Node{{Node: "e1", Kind: "entry", VM: "vm1", Domain: "a", State: "live", PresetVersion: s.inForce.Version, Ready: true}}
	second := query.Node{Node: "e2", Kind: "entry", VM: "vm2", Domain: "b", State: "live", PresetVersion: s.inForce.Version, Ready: true}
	if s.laggingPolls > 0 {
		s.laggingPolls--
		second.PresetVersion--
	}
	return append(nodes, second, query.Node{Node: "m1", Kind: "model", VM: "vm3", Domain: "a", State: "live", Ready: true}), nil
}

func (s *fakeEntry) Status(context.Context) (query.Status, error) {
	return query.Status{Node: "e1", Log: "e1-1", NotReady: "draining", Preset: s.inForce.Preset.Name, PresetVersion: s.inForce.Version, Programs: 2, Upstreams: 3, Draining: 1, Platform: "up"}, nil
}

func (s *fakeEntry) InForce(context.Context) (structs.PresetInForce, error) { return s.inForce, nil }

func (s *fakeEntry) Presets(context.Context) ([]structs.Preset, error) {
	return []structs.Preset{s.presets["ordinary"], s.presets["peak"]}, nil
}

func (s *fakeEntry) Preset(_ context.Context, name string) (structs.Preset, error) {
	p, found := s.presets[name]
	if !found {
		return p, structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "read preset", "preset %q does not exist", name)
	}
	return p, nil
}

func (s *fakeEntry) UnresolvedActions(context.Context) ([]query.Action, error) {
	return []query.Action{{Organisation: "kushiro", Key: "k/1", Name: "order_printing", State: "in_doubt", Created: time.Unix(0, 0).UTC()}}, nil
}

func (s *fakeEntry) Put(_ context.Context, p structs.Preset) error { return s.change("put %s", p.Name) }

func (s *fakeEntry) Switch(ctx context.Context, name, operator string, expected uint64) (structs.PresetInForce, error) {
	p, err := s.Preset(ctx, name)
	if err != nil {
		return s.inForce, err
	}
	if expected != 0 && expected != s.inForce.Version {
		return s.inForce, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, "preset switch", "version %d is in force", s.inForce.Version)
	}
	s.inForce = structs.PresetInForce{Version: s.inForce.Version + 1, Preset: p}
	return s.inForce, s.change("switch %s by %s", name, operator)
}

func (s *fakeEntry) Drain(_ context.Context, vm structs.VMID, drain bool, operator string) error {
	return s.change("drain %s %v by %s", vm, drain, operator)
}

func (s *fakeEntry) OrderUpstream(_ context.Context, u structs.UpstreamID, order, argument, operator string) error {
	return s.change("order %s %s %s by %s", u, order, argument, operator)
}

func (s *fakeEntry) Settle(_ context.Context, c command.SettleAction) error {
	return s.change("settle %s %s %s %q by %s", c.Organisation, c.Key, c.Outcome, c.Result, c.Operator)
}

func (s *fakeEntry) List(_ context.Context, q home.List) ([]structs.ProgramView, error) {
	return []structs.ProgramView{program("e1-1.4", q.Organisation)}, nil
}

func (s *fakeEntry) Read(_ context.Context, q home.Read) (structs.ProgramView, error) {
	v := program(q.Program, "kushiro")
	if q.History {
		v.History = []structs.Message{{Role: structs.RoleUser, Content: "minutes"}, {Role: structs.RoleAssistant, ToolCalls: []structs.ToolCall{{Name: "read_minutes", Arguments: "{}"}}}}
	}
	return v, nil
}

func program(id structs.ProgramID, organisation structs.OrganisationID) structs.ProgramView {
	return structs.ProgramView{ID: id, Spec: structs.ProgramSpec{Organisation: organisation, Kind: "newsletter"}, State: structs.ProgramIdle, Turns: 3, Home: "e1",
		Usage: structs.Usage{PromptTokens: 90, GeneratedTokens: 10}}
}

// TestCommands guards against a changed output or exit code, and against a command that
// requests another change than its arguments state. It runs the command lines of
// testdata/commands.txt against the real HTTP routes of an entry. In the script, "file" writes
// its input to a file in the directory DIR, and "lag" makes the second entry report a lower
// preset version once.
func TestCommands(t *testing.T) {
	t.Setenv("BUCKTHORN_TOKEN", "")
	s := &fakeEntry{
		presets: map[string]structs.Preset{"ordinary": {Name: "ordinary", Policy: "cost", AdmitNew: true}, "peak": {Name: "peak", Policy: "cost", LatencyWeight: 2,
			TurnTimeouts: map[string]structs.Duration{"question": structs.Duration(8 * time.Second), "draft": structs.Duration(45 * time.Second)}}},
		inForce: structs.PresetInForce{Version: 4, Preset: structs.Preset{Name: "ordinary"}},
	}
	server := httptest.NewServer(httpapi.New(httpapi.Config{
		Tokens: httpapi.NewTokens(map[string]structs.OrganisationID{"caller-token": "kushiro"}, map[string]string{"operator-token": "akiko"}),
		Home:   s, System: s, Presets: s, Drainer: s, Orderer: s, Actions: s, NotReady: func() string { return "" },
	}))
	defer server.Close()
	dir := t.TempDir()
	datadriven.RunTest(t, filepath.Join("testdata", "commands.txt"), func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "file":
			if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input), 0o600); err != nil {
				d.Fatalf(t, "%v", err)
			}
			return ""
		case "lag":
			s.laggingPolls = 1
			return ""
		}
		line := strings.NewReplacer("DIR", dir, "OPERATOR", "--token operator-token").Replace(d.Input)
		args := append([]string{"buckthornctl", "--entry", server.URL}, strings.Fields(line)...)
		var stdout, stderr bytes.Buffer
		code := run(context.Background(), args, &stdout, &stderr)
		out := stdout.String() + stderr.String()
		for _, c := range s.changes {
			out += "entry: " + c + "\n"
		}
		s.changes = nil
		return strings.NewReplacer(dir, "DIR", server.URL, "ENTRY").Replace(out) + fmt.Sprintf("exit %d", code)
	})
}

// TestNoResponseIsUnknown guards against reporting a change as not run when the entry did not
// respond: it may have run. A request that only reads is reported as not run.
func TestNoResponseIsUnknown(t *testing.T) {
	// Nothing listens on port 1.
	for line, want := range map[string]string{
		"preset switch peak": "home_unreachable (outcome unknown)",
		"status":             "home_unreachable (outcome not_run)",
	} {
		var stdout, stderr bytes.Buffer
		args := append([]string{"buckthornctl", "--entry", "http://127.0.0.1:1", "--token", "t"}, strings.Fields(line)...)
		if code := run(context.Background(), args, &stdout, &stderr); code != exitFailed || !strings.Contains(stderr.String(), want) {
			t.Errorf("%s: exit %d, %s", line, code, stderr.String())
		}
	}
}

// TestDocumentedCommands guards against command lines in docs/OPERATIONS.md that the tool
// rejects as wrong usage.
func TestDocumentedCommands(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	// The command lines name files relative to the root of the repository.
	t.Chdir(filepath.Join("..", ".."))
	lines := 0
	for line := range strings.Lines(string(page)) {
		command, found := strings.CutPrefix(line, "    buckthornctl ")
		if !found {
			continue
		}
		lines++
		// strings.Fields does not honour quotes.
		fields := strings.Fields(strings.ReplaceAll(command, `"order 118"`, "order-118"))
		args := append([]string{"buckthornctl", "--entry", "http://127.0.0.1:1", "--token", "t"}, fields...)
		var stdout, stderr bytes.Buffer
		if code := run(context.Background(), args, &stdout, &stderr); code == exitUsage {
			t.Errorf("%s: %s", strings.TrimSpace(line), stderr.String())
		}
	}
	if lines < 10 {
		t.Errorf("docs/OPERATIONS.md has %d command lines, want at least 10", lines)
	}
}
