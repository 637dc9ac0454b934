package program

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// text returns the given number of bytes of Zipf-distributed words from a vocabulary of 20,000
// words of 2 to 10 letters.
func text(random *rand.Rand, bytes int) string {
	const vocabulary = 20000
	words := rand.NewZipf(random, 1.1, 3, vocabulary-1)
	var out strings.Builder
	for out.Len() < bytes {
		spelling := rand.New(rand.NewPCG(words.Uint64(), 0))
		for range 2 + spelling.IntN(9) {
			out.WriteByte("etaoinshrdlucmfwypvbgkjqxz"[min(spelling.IntN(26), spelling.IntN(26))])
		}
		out.WriteByte(' ')
	}
	return out.String()[:bytes]
}

// conversation returns a harness with the records of a program whose history has about the given
// number of tokens, and the number of its turns. A turn has a question, a tool result and an
// answer.
func conversation(tb testing.TB, tokens int) (*harness, uint32) {
	tb.Helper()
	const turnTokens = 2400
	random := rand.New(rand.NewPCG(1, 2))
	h := newHarness(Config{}, structs.ProgramSpec{Budget: structs.Budget{Tokens: 1 << 40, Calls: 1 << 30}})
	h.open()
	turns := uint32(max(tokens/turnTokens, 1))
	for n := uint32(1); n <= turns; n++ {
		h.step(SubmitTurn{Number: n, Key: fmt.Sprint(n), Content: text(random, 1600)})
		h.answerWith(structs.Message{ToolCalls: []structs.ToolCall{{ID: "t", Name: "search", Arguments: fmt.Sprintf(`{"q":%d}`, n)}}})
		h.step(ToolDone{Call: structs.NewCallID(testProgram, n, 2), Attempt: h.m.attempts, Result: text(random, 5600)})
		h.answerWith(structs.Message{Content: text(random, 2400)})
		h.out.Reset()
	}
	return h, turns
}

// answerWith answers the model call under way.
func (h *harness) answerWith(m structs.Message) {
	call := h.models[h.m.current.model.id]
	usage := structs.Usage{PromptTokens: int64(structs.Tokens(call.Messages)), GeneratedTokens: int64(m.Tokens())}
	h.step(ModelDone{Answer: structs.ModelAnswer{Call: call.Call, Attempt: call.Attempt, Message: m, Usage: usage}})
}

// historySizes are the lengths of the histories in tokens, up to DefaultMaxHistoryTokens, 330,000.
var historySizes = []int{3_300, 33_000, 330_000}

// BenchmarkTurn runs a turn with a model call, a tool call and a second model call on an
// uncompressed history.
func BenchmarkTurn(b *testing.B) {
	for _, size := range historySizes {
		b.Run(fmt.Sprintf("tokens=%d", size), func(b *testing.B) {
			c, turns := conversation(b, size)
			c.cfg.MaxHistoryTokens = 1 << 40
			base := c.m.history
			b.ReportAllocs()
			for b.Loop() {
				turns++
				c.step(SubmitTurn{Number: turns, Content: "question"})
				c.answerWith(structs.Message{ToolCalls: []structs.ToolCall{{ID: "t", Name: "search", Arguments: "{}"}}})
				c.step(ToolDone{Call: structs.NewCallID(testProgram, turns, 2), Attempt: c.m.attempts, Result: "result"})
				c.answerWith(structs.Message{Content: "answer"})
				c.out.Reset()
				c.log, c.committed = nil, 0
				c.m.history = base
			}
		})
	}
}

// BenchmarkExpandHistory expands a compressed history for its next turn and compresses it again.
func BenchmarkExpandHistory(b *testing.B) {
	for _, size := range historySizes {
		b.Run(fmt.Sprintf("tokens=%d", size), func(b *testing.B) {
			c, _ := conversation(b, size)
			c.m.history.compress()
			base := c.m.history
			b.ReportAllocs()
			for b.Loop() {
				c.m.history = base
				c.m.history.frames = append([]frame(nil), base.frames...)
				if _, err := c.m.history.all(); err != nil {
					b.Fatal(err)
				}
				c.m.history.append(structs.Message{Role: structs.RoleUser, Content: "question"})
				c.m.history.compress()
			}
		})
	}
}

// BenchmarkRestore restores a program from its records, and from a checkpoint.
func BenchmarkRestore(b *testing.B) {
	for _, size := range historySizes {
		c, _ := conversation(b, size)
		for name, log := range map[string][]LogRecord{"records": c.log, "checkpoint": {c.m.Snapshot()}} {
			bytes := 0
			for _, e := range log {
				bytes += len(e.Data)
			}
			b.Run(fmt.Sprintf("%s/tokens=%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				b.ReportMetric(float64(bytes), "log-bytes")
				for b.Loop() {
					if _, err := Restore(&c.cfg, testProgram, log); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkSubmitRefused refuses a turn out of order.
func BenchmarkSubmitRefused(b *testing.B) {
	c, _ := conversation(b, historySizes[1])
	b.ReportAllocs()
	for b.Loop() {
		c.m.Step(c.now, SubmitTurn{Number: 1 << 20, Content: "question"})
	}
}

// BenchmarkIdleProgram reports the whole memory of an idle program: the growth of the heap for 20
// restored programs, divided by 20.
func BenchmarkIdleProgram(b *testing.B) {
	for _, size := range historySizes {
		b.Run(fmt.Sprintf("tokens=%d", size), func(b *testing.B) {
			c, _ := conversation(b, size)
			c.advance(time.Minute)
			snapshot := c.m.Snapshot()
			const programs = 20
			for b.Loop() {
				before := heap()
				machines := make([]*Machine, programs)
				for i := range machines {
					copied := snapshot
					copied.Data = append([]byte(nil), snapshot.Data...)
					machines[i], _ = Restore(&c.cfg, testProgram, []LogRecord{copied})
				}
				b.ReportMetric(float64(heap()-before)/programs, "bytes/program")
				b.ReportMetric(float64(machines[0].history.bytes), "plain-bytes/program")
				runtime.KeepAlive(machines)
			}
		})
	}
}

// heap returns the bytes of the heap in use after a garbage collection.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
