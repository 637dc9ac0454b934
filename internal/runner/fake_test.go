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

// fakeHomeLog is a home log in memory. It commits entries after a delay, unless it is down.
type fakeHomeLog struct {
	mu        sync.Mutex
	entries   []homelog.Entry
	committed int
	// down reports whether appended entries stay uncommitted.
	down   bool
	sealed bool
	// blocked makes appends wait until their context ends.
	blocked atomic.Bool
	runner  *Runner
	delay   time.Duration
}

func (l *fakeHomeLog) Append(ctx context.Context, entries ...homelog.Entry) (uint64, error) {
	if l.blocked.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sealed {
		return 0, homelog.ErrStopped
	}
	l.entries = append(l.entries, entries...)
	time.AfterFunc(l.delay, l.commit)
	return uint64(len(l.entries)), nil
}

func (l *fakeHomeLog) commit() {
	l.mu.Lock()
	if l.down || l.sealed {
		l.mu.Unlock()
		return
	}
	l.committed = len(l.entries)
	through := uint64(l.committed)
	l.mu.Unlock()
	l.runner.Committed(through)
}

func (l *fakeHomeLog) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if !down {
		l.commit()
	}
}

// seal closes the log against appends and returns the committed entries.
func (l *fakeHomeLog) seal() []homelog.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sealed = true
	return append([]homelog.Entry(nil), l.entries[:l.committed]...)
}

// fakeTable is the platform's table in memory.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// down makes all requests fail, except Scan.
	down bool
	// loseAnswer makes Apply return ErrUnavailable for the next transaction although it is applied.
	loseAnswer bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

// openLog writes the open row of a log. Tests with a fakeHomeLog have no committer that does it.
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
	if t.loseAnswer {
		t.loseAnswer = false
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

// fakeServices answers model and tool calls after a delay. Each model call answers with the next
// step of the plan in the last user message: "tool NAME ARGS; agent TASK; answer TEXT".
type fakeServices struct {
	mu    sync.Mutex
	calls int // model calls
	// runs counts the runs of each request by "NAME KEY".
	runs map[string]int
	// wrongAttempt makes the next model answer carry the number of another attempt.
	wrongAttempt bool
	// hang makes tools wait until their context ends.
	hang bool
	// noStatus makes status queries fail.
	noStatus bool
	delay    time.Duration
}

func (w *fakeServices) Call(ctx context.Context, call structs.ModelCall, onChunk func(int, string)) (structs.ModelAnswer, error) {
	if err := sleep(ctx, w.delay); err != nil {
		return structs.ModelAnswer{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	step, message := nextPlanned(call.Messages)
	text := message.Content
	onChunk(0, text[:len(text)/2])
	onChunk(len(text)/2, text[len(text)/2:])
	answer := structs.ModelAnswer{Call: call.Call, Attempt: call.Attempt, Message: message}
	answer.Usage = structs.Usage{PromptTokens: int64(structs.Tokens(call.Messages)), GeneratedTokens: int64(step + 1)}
	if w.wrongAttempt {
		w.wrongAttempt = false
		answer.Attempt++
	}
	return answer, nil
}

// nextPlanned returns the index of the plan's next step and the model's message for it.
func nextPlanned(ms []structs.Message) (int, structs.Message) {
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

func (w *fakeServices) Run(ctx context.Context, request structs.ToolRequest) (string, error) {
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
	if err := sleep(ctx, w.delay); err != nil {
		return "", err
	}
	return request.Name + " ran " + request.Arguments, nil
}

func (w *fakeServices) QueryStatus(_ context.Context, tool, key string) (action.RequestStatus, string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.noStatus {
		return "", "", structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown, "query status", "no status")
	}
	if w.runs[tool+" "+key] > 0 {
		return action.StatusDone, "result of the status query", nil
	}
	return action.StatusNotReceived, "", nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
