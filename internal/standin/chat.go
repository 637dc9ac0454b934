package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// maxChatBytes bounds the body of a chat request.
const maxChatBytes = 32 << 20

// Finish reasons of the OpenAI API.
const (
	finishStop      = "stop"
	finishToolCalls = "tool_calls"
)

// chatSubject returns the text of a chat request that Fault.Match is compared with: the
// call id and the content of the messages. It is empty when no fault is set, which saves the
// copy of the messages.
func (m *Model) chatSubject(request engine.ChatRequest) string {
	if m.Faults.empty() {
		return ""
	}
	var subject strings.Builder
	subject.WriteString(string(request.CallID))
	for _, message := range request.Messages {
		subject.WriteString("\n")
		subject.WriteString(message.Content)
	}
	return subject.String()
}

func (m *Model) serveChat(w http.ResponseWriter, r *http.Request) {
	var request engine.ChatRequest
	if err := readJSON(w, r, maxChatBytes, &request); err != nil {
		refuse(w, http.StatusBadRequest, structs.CodeBadRequest, err)
		return
	}
	if !request.Stream {
		refuse(w, http.StatusBadRequest, structs.CodeBadRequest, errors.New("only streams are served"))
		return
	}
	subject := m.chatSubject(request)
	if !applyFaults(w, r, m.Faults, subject) {
		return
	}
	if crash, hit := m.Faults.peek(FaultCrashMarked); hit && crash.Match != "" && strings.Contains(subject, crash.Match) {
		m.Crash()
		dropConnection()
	}
	running, err := m.Start(request)
	if err != nil {
		refuseStart(w, err)
		return
	}
	defer running.Cancel()
	m.stream(r.Context(), w, request, running, subject)
}

// applyFaults applies the faults that act before a request takes effect; it reports
// whether the request may proceed.
func applyFaults(w http.ResponseWriter, r *http.Request, faults *Faults, subject string) bool {
	switch faults.beforeEffect(r.Context(), subject) {
	case dropped:
		dropConnection()
	case refused:
		refuse(w, http.StatusServiceUnavailable, structs.CodeOverloaded, errors.New("refused by a scripted fault"))
		return false
	case rateLimited:
		refuse(w, http.StatusTooManyRequests, structs.CodeOverloaded, errors.New("over the scripted rate"))
		return false
	}
	return true
}

// refuseStart answers a chat request that Model.Start refused.
func refuseStart(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrDown):
		dropConnection()
	case errors.Is(err, ErrUnknownModel):
		refuse(w, http.StatusNotFound, structs.CodeNotFound, err)
	case errors.Is(err, ErrTooLong):
		refuse(w, http.StatusRequestEntityTooLarge, structs.CodeTooLarge, err)
	default:
		refuse(w, http.StatusTooManyRequests, structs.CodeOverloaded, err)
	}
}

// refuse answers with an error and the outcome not_run.
func refuse(w http.ResponseWriter, status int, code structs.Code, err error) {
	writeJSON(w, status, engine.ErrorBody{Code: code, Outcome: structs.OutcomeNotRun, Detail: err.Error()})
}

// stream sends the answer while it is generated.
func (m *Model) stream(ctx context.Context, w http.ResponseWriter, request engine.ChatRequest, running *Running, subject string) {
	if _, hit := m.Faults.take(FaultHang, subject); hit {
		<-ctx.Done()
		dropConnection()
	}
	if _, hit := m.Faults.take(FaultLoseAnswer, subject); hit {
		for range running.Tokens() {
		}
		dropConnection()
	}
	s := newChatStream(w, request, m.Faults, subject)
	content := running.Answer().Content
	generated := request.ResumeOffset / structs.BytesPerToken
	for n := range tokens(ctx, running) {
		generated += n
		end := min(generated*structs.BytesPerToken, len(content))
		if end > s.offset {
			s.content(content[s.offset:end])
		}
	}
	if ctx.Err() != nil || running.Cancelled() {
		dropConnection()
	}
	s.finish(running.Answer(), running.Usage())
}

// tokens yields the number of new tokens of each step until the call or ctx ends.
func tokens(ctx context.Context, running *Running) func(yield func(int) bool) {
	return func(yield func(int) bool) {
		for {
			select {
			case n, open := <-running.Tokens():
				if !open || !yield(n) {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}
}

// chatStream writes the events of one answer and injects the faults set for it.
type chatStream struct {
	w       http.ResponseWriter
	request engine.ChatRequest
	offset  int // bytes of the answer text up to the next chunk
	chunks  int // content chunks so far, with the one that FaultSkipChunk omits

	cutAfter int // content chunks before the stream is dropped, see FaultCut; 0 means never
	// Whether FaultOtherCall, FaultOtherAttempt, FaultDuplicateChunk and FaultSkipChunk apply
	// to this stream.
	otherCall    bool
	otherAttempt bool
	duplicate    bool
	skip         bool
}

func newChatStream(w http.ResponseWriter, request engine.ChatRequest, faults *Faults, subject string) *chatStream {
	s := &chatStream{w: w, request: request, offset: request.ResumeOffset}
	if cut, hit := faults.take(FaultCut, subject); hit {
		s.cutAfter = max(int(cut.Factor), 1)
	}
	_, s.otherCall = faults.take(FaultOtherCall, subject)
	_, s.otherAttempt = faults.take(FaultOtherAttempt, subject)
	_, s.duplicate = faults.take(FaultDuplicateChunk, subject)
	_, s.skip = faults.take(FaultSkipChunk, subject)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	s.flush()
	return s
}

func (s *chatStream) flush() {
	if flusher, ok := s.w.(http.Flusher); ok {
		flusher.Flush()
	}
}

func (s *chatStream) chunk(choice engine.ChatChoice) engine.ChatChunk {
	return engine.ChatChunk{
		ID:      fmt.Sprintf("chat-%s-%d", s.request.CallID, s.request.Attempt),
		Object:  "chat.completion.chunk",
		Model:   s.request.Model,
		Choices: []engine.ChatChoice{choice},
		CallID:  s.request.CallID,
		Attempt: s.request.Attempt,
		Offset:  s.offset,
	}
}

// faultChunk is the number, from 1, of the content chunk that FaultSkipChunk omits and before
// which FaultOtherCall and FaultOtherAttempt insert a chunk.
const faultChunk = 2

// content sends the next part of the answer text.
func (s *chatStream) content(text string) {
	chunk := s.chunk(engine.ChatChoice{Delta: engine.ChatDelta{Content: text}})
	s.chunks++
	s.offset += len(text)
	if s.chunks == faultChunk && s.skip {
		return
	}
	if s.chunks == faultChunk {
		s.sendForeign(chunk)
	}
	s.send(chunk)
	if s.duplicate {
		s.send(chunk)
	}
	if s.chunks == s.cutAfter {
		dropConnection()
	}
}

// sendForeign sends copies of the chunk under another call id or attempt, if FaultOtherCall
// or FaultOtherAttempt is set for the stream.
func (s *chatStream) sendForeign(chunk engine.ChatChunk) {
	if s.otherCall {
		chunk.CallID = "other-1.1/1/1"
		s.send(chunk)
	}
	if s.otherAttempt {
		chunk.Attempt++
		s.send(chunk)
	}
}

// finish sends the tool calls, the finish reason and the usage.
func (s *chatStream) finish(answer structs.Message, usage engine.ChatUsage) {
	if s.cutAfter > 0 {
		dropConnection()
	}
	choice := engine.ChatChoice{FinishReason: finishStop}
	if len(answer.ToolCalls) > 0 {
		choice.FinishReason = finishToolCalls
		choice.Delta.ToolCalls = engine.ToChat([]structs.Message{answer})[0].ToolCalls
	}
	s.send(s.chunk(choice))
	last := s.chunk(engine.ChatChoice{})
	last.Choices = []engine.ChatChoice{}
	last.Usage = &usage
	s.send(last)
	fmt.Fprint(s.w, "data: [DONE]\n\n")
	s.flush()
}

func (s *chatStream) send(chunk engine.ChatChunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		dropConnection()
	}
	fmt.Fprintf(s.w, "data: %s\n\n", data)
	s.flush()
}
