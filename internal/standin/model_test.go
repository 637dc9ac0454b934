package standin

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/scenario"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// modelScript drives a model engine through its HTTP client in virtual time. The engine
// computes 1000 prompt tokens a second; a decode step takes 10ms, and 1ms more for each
// further call of the batch.
type modelScript struct {
	model   *Model
	client  *engine.Model
	mu      sync.Mutex // protects history
	history map[structs.ProgramID][]structs.Message
	pending map[string]chan string
	cancels map[string]context.CancelFunc
}

// TestModel guards against a model engine stand-in whose batching, prefix cache, holds or
// fencing differ from its timing model, and against a client that reports a faulty stream as
// a complete answer or as a call that was not run.
func TestModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewModel(ModelConfig{
			Name:            "m1",
			Models:          []string{"desk"},
			PrefillRate:     1000,
			StepTime:        structs.Duration(10 * time.Millisecond),
			StepTimePerCall: structs.Duration(time.Millisecond),
			BatchLimit:      2,
			QueueLimit:      2,
			KVTokens:        16 * 256,
		})
		listener, stop := Serve(m.Handler())
		s := &modelScript{
			model:   m,
			client:  engine.NewModel("m1", "http://m1", listener.Transport()),
			history: make(map[structs.ProgramID][]structs.Message),
			pending: make(map[string]chan string),
			cancels: make(map[string]context.CancelFunc),
		}
		defer m.Close()
		defer stop()
		defer s.client.Close()
		defer s.cancelAll()
		datadriven.RunTest(t, "testdata/model.txt", s.run)
	})
}

func (s *modelScript) cancelAll() {
	for _, cancel := range s.cancels {
		cancel()
	}
}

func (s *modelScript) run(t *testing.T, d *datadriven.TestData) string {
	a := scenario.NewArgs(t, d)
	ctx := context.Background()
	switch d.Cmd {
	case "call":
		s.submit(a)
		return <-s.pending[a.Word(0)]
	case "submit":
		s.submit(a)
		synctest.Wait()
		return ""
	case "cancel":
		s.cancels[a.Word(0)]()
		return <-s.pending[a.Word(0)]
	case "expect":
		return <-s.pending[a.Word(0)]
	case "load":
		load, err := s.client.Load(ctx)
		return orRefusal(err, "running %d queued %d prefill %d kv %d of %d step %v", load.Running, load.Queued,
			load.QueuedPrefillTokens, load.KVUsedTokens, load.KVLimitTokens, load.StepTime)
	case "hold":
		hold, err := s.client.Hold(ctx, structs.ProgramID(a.Word(0)))
		return orRefusal(err, "%d tokens", hold.Tokens)
	case "release":
		return orRefusal(s.client.Release(ctx, structs.ProgramID(a.Word(0))), "ok")
	case "holds":
		holds, err := s.client.Holds(ctx)
		return orRefusal(err, "%v", holds)
	case "move":
		return s.move(ctx, structs.ProgramID(a.Word(0)))
	case "events":
		return s.events(ctx, a)
	case "role":
		return orRefusal(s.client.SetRole(ctx, engine.RoleOrder{Role: a.Word(0), Fence: uint64(a.Int("fence", 0))}), "ok")
	case "load-model":
		return orRefusal(s.client.LoadModel(ctx, engine.LoadModelOrder{Model: a.Word(0), Fence: uint64(a.Int("fence", 0))}), "ok")
	case "models":
		models, err := s.client.Models(ctx)
		return orRefusal(err, "%v", models)
	case "fault":
		return setFault(t, s.model.Faults, d)
	case "advance":
		return advance(t, d)
	}
	d.Fatalf(t, "verb %q does not exist", d.Cmd)
	return ""
}

// submit starts a call, such as
//
//	call c1 program=p1 prompt=512 answer=3 priority=2
//
// Further arguments are attempt, model, resume (bytes of the answer received before), mark (a
// text in the prompt) and plan (instead of answer, with "_" for a space).
// A further call of the same program continues its history.
func (s *modelScript) submit(a scenario.Args) {
	name := a.Word(0)
	program := structs.ProgramID(a.Text("program", name))
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := a.Int("prompt", 0); n > 0 {
		s.history[program] = append(s.history[program], structs.Message{Role: structs.RoleUser, Content: prompt(a, n)})
	}
	call := structs.ModelCall{
		Call:     structs.CallID(name),
		Attempt:  uint32(a.Int("attempt", 1)),
		Program:  program,
		Model:    a.Text("model", "desk"),
		Messages: s.history[program],
	}
	options := engine.CallOptions{Priority: a.Int("priority", 0)}
	if n := a.Int("resume", 0); n > 0 {
		options.Resume = ScriptedAnswer(call.Messages).Content[:n]
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan string, 1)
	s.pending[name], s.cancels[name] = done, cancel
	go func() { done <- s.call(ctx, call, options) }()
}

// prompt returns a message of n tokens that contains the plan of the answer.
func prompt(a scenario.Args, n int) string {
	plan := fmt.Sprintf("plan: %s\n", strings.ReplaceAll(a.Text("plan", fmt.Sprintf("answer_%d", a.Int("answer", 1))), "_", " "))
	plan += a.Text("program", a.Word(0)) + a.Text("mark", "")
	return plan + strings.Repeat("x", n*structs.BytesPerToken-len(plan))
}

// call makes a call and returns its timing and usage, or how it failed.
func (s *modelScript) call(ctx context.Context, call structs.ModelCall, options engine.CallOptions) string {
	begin := time.Now()
	var first time.Duration
	chunks := 0
	answer, err := s.client.Call(ctx, call, options, func(int, string) {
		if chunks == 0 {
			first = time.Since(begin)
		}
		chunks++
	})
	elapsed := time.Since(begin)
	if err != nil {
		return fmt.Sprintf("%s after %d chunks at %v", describe(err), chunks, elapsed)
	}
	s.mu.Lock()
	s.history[call.Program] = append(s.history[call.Program], answer.Message)
	s.mu.Unlock()
	expected := ScriptedAnswer(call.Messages)
	if answer.Message.Content != expected.Content {
		return fmt.Sprintf("wrong answer %q", answer.Message.Content)
	}
	return fmt.Sprintf("%d chunks, first at %v, last at %v, prompt %d cached %d generated %d%s", chunks, first, elapsed,
		answer.Usage.PromptTokens, answer.Usage.CachedTokens, answer.Usage.GeneratedTokens, toolsOf(answer.Message))
}

// toolsOf formats the tool calls of a message.
func toolsOf(m structs.Message) string {
	var out strings.Builder
	for _, c := range m.ToolCalls {
		fmt.Fprintf(&out, ", tool %s %s", c.Name, c.Arguments)
	}
	return out.String()
}

// describe returns the code and outcome of a refusal and its sentinel error.
func describe(err error) string {
	refusal := structs.AsRefusal(err)
	out := fmt.Sprintf("%s %s", refusal.Code, refusal.Outcome)
	for _, sentinel := range []error{engine.ErrStreamBroken, engine.ErrWrongCall, engine.ErrWrongOffset} {
		if errors.Is(err, sentinel) {
			out += fmt.Sprintf(" (%v)", sentinel)
		}
	}
	return out
}

// orRefusal formats a result, or describes err when it is not nil.
func orRefusal(err error, format string, args ...any) string {
	if err != nil {
		return describe(err)
	}
	return fmt.Sprintf(format, args...)
}

// move exports a program's cache and imports it into a second engine.
func (s *modelScript) move(ctx context.Context, program structs.ProgramID) string {
	begin := time.Now()
	export, err := s.client.Export(ctx, program)
	if err != nil {
		return describe(err)
	}
	other := NewModel(ModelConfig{Name: "m2", KVTokens: 512})
	defer other.Close()
	listener, stop := Serve(other.Handler())
	defer stop()
	client := engine.NewModel("m2", "http://m2", listener.Transport())
	defer client.Close()
	imported, err := client.Import(ctx, export)
	return orRefusal(err, "%d blocks exported, %d tokens imported, %v", len(export.Blocks), imported.Tokens, time.Since(begin))
}

// events returns the cache events after a sequence number and the size of the snapshot.
func (s *modelScript) events(ctx context.Context, a scenario.Args) string {
	events, err := s.client.CacheEvents(ctx, uint64(a.Int("after", 0)))
	if err != nil {
		return describe(err)
	}
	snapshot, err := s.client.CacheSnapshot(ctx)
	if err != nil {
		return describe(err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s:", events.Incarnation)
	for _, e := range events.Events {
		fmt.Fprintf(&out, " %d:+%d-%d", e.Sequence, len(e.Stored), len(e.Removed))
	}
	fmt.Fprintf(&out, "; snapshot at %d of %d blocks", snapshot.Sequence, len(snapshot.Blocks))
	return out.String()
}
