package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// fakeJournal is a home log in memory that commits after a delay, unless it is down.
type fakeJournal struct {
	mu      sync.Mutex
	entries []homelog.Entry
	kept    int
	down    bool
	sealed  bool
	// full makes appends wait.
	full   atomic.Bool
	runner *Runner
	delay  time.Duration
}

func (j *fakeJournal) Append(ctx context.Context, entries ...homelog.Entry) (uint64, error) {
	if j.full.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sealed {
		return 0, homelog.ErrStopped
	}
	j.entries = append(j.entries, entries...)
	time.AfterFunc(j.delay, j.commit)
	return uint64(len(j.entries)), nil
}

func (j *fakeJournal) commit() {
	j.mu.Lock()
	if j.down || j.sealed {
		j.mu.Unlock()
		return
	}
	j.kept = len(j.entries)
	through := uint64(j.kept)
	j.mu.Unlock()
	j.runner.Committed(through)
}

func (j *fakeJournal) setDown(down bool) {
	j.mu.Lock()
	j.down = down
	j.mu.Unlock()
	if !down {
		j.commit()
	}
}

// seal ends the log and returns what it keeps.
func (j *fakeJournal) seal() []homelog.Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sealed = true
	return append([]homelog.Entry(nil), j.entries[:j.kept]...)
}

// fakeTable is the platform's table in memory. Faults are errors for the next requests.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	down bool
	// lose makes the next applied transaction answer ErrUnavailable.
	lose bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

// openLog puts the open row of a log that no committer opens.
func (t *fakeTable) openLog(log structs.LogID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[homelog.OpenKey(log)] = platform.Row{Key: homelog.OpenKey(log), Version: 1}
}

func (t *fakeTable) Apply(_ context.Context, txn platform.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.ErrNotApplied
	}
	for _, c := range txn.Conditions {
		if c.Version != platform.AnyVersion && t.rows[c.Key].Version != c.Version {
			return platform.ErrConditionFailed
		}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
	}
	if t.lose {
		t.lose = false
		return platform.ErrUnavailable
	}
	return nil
}

func (t *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[key]
	switch {
	case t.down:
		return platform.Row{}, platform.ErrUnavailable
	case !found:
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (t *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	sortRows(out)
	return out[:min(len(out), limit)], nil
}

// fakeWorld answers model and tool calls after a delay. The model follows the plan in the
// last user message: "tool NAME ARGS; agent TASK; answer TEXT", one step a call.
type fakeWorld struct {
	mu    sync.Mutex
	calls int
	runs  map[string]int
	// wrong makes the next model answer carry another attempt.
	wrong bool
	// hang makes tools wait for their end.
	hang bool
	// mute makes services tell nothing of earlier requests.
	mute  bool
	delay time.Duration
}

func (w *fakeWorld) Call(ctx context.Context, call structs.ModelCall, onChunk func(int, string)) (structs.ModelAnswer, error) {
	if err := pause(ctx, w.delay); err != nil {
		return structs.ModelAnswer{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	step, message := planned(call.Messages)
	text := message.Content
	onChunk(0, text[:len(text)/2])
	onChunk(len(text)/2, text[len(text)/2:])
	answer := structs.ModelAnswer{Call: call.Call, Attempt: call.Attempt, Message: message}
	answer.Usage = structs.Usage{PromptTokens: int64(structs.Tokens(call.Messages)), GeneratedTokens: int64(step + 1)}
	if w.wrong {
		w.wrong = false
		answer.Attempt++
	}
	return answer, nil
}

// planned returns the step of the plan that is due.
func planned(ms []structs.Message) (int, structs.Message) {
	last := 0
	for i, m := range ms {
		if m.Role == structs.RoleUser {
			last = i
		}
	}
	done := 0
	for _, m := range ms[last:] {
		if m.Role == structs.RoleAssistant {
			done++
		}
	}
	steps := strings.Split(ms[last].Content, ";")
	words := strings.SplitN(strings.TrimSpace(steps[min(done, len(steps)-1)]), " ", 3)
	message := structs.Message{Role: structs.RoleAssistant}
	id := fmt.Sprint("call-", done)
	switch words[0] {
	case "tool":
		message.ToolCalls = []structs.ToolCall{{ID: id, Name: words[1], Arguments: words[2]}}
	case "agent":
		task, _ := json.Marshal(map[string]string{"task": "answer " + words[1]})
		message.ToolCalls = []structs.ToolCall{{ID: id, Name: structs.AgentTool, Arguments: string(task)}}
	default:
		message.Content = "the answer is " + strings.Join(words[1:], " ")
	}
	return done, message
}

func (w *fakeWorld) Run(ctx context.Context, request structs.ToolRequest) (string, error) {
	w.mu.Lock()
	if w.runs == nil {
		w.runs = map[string]int{}
	}
	w.runs[request.Name+" "+request.Key]++
	hang := w.hang
	w.mu.Unlock()
	if hang {
		<-ctx.Done()
		return "", ctx.Err()
	}
	if err := pause(ctx, w.delay); err != nil {
		return "", err
	}
	return request.Name + " ran " + request.Arguments, nil
}

func (w *fakeWorld) QueryStatus(_ context.Context, tool, key string) (action.RequestStatus, string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mute {
		return "", "", structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown, "ask", "no account")
	}
	if w.runs[tool+" "+key] > 0 {
		return action.StatusDone, "asked", nil
	}
	return action.StatusNotReceived, "", nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
