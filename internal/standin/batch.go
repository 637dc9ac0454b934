package standin

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// sequence is one attempt of a call that an engine has queued or is running.
type sequence struct {
	call     structs.CallID
	attempt  uint32
	program  structs.ProgramID
	priority int

	answer       structs.Message
	prompt       []uint64 // block chain of the prompt
	conversation []uint64 // block chain of the prompt and the answer
	promptTokens int
	answerTokens int
	resumed      int // answer tokens that the caller already has

	cachedTokens int
	prefillLeft  int      // tokens to compute before the next answer token
	generated    int      // answer tokens, with the resumed ones
	pinned       []uint64 // cached blocks of the prompt
	reserved     int      // number of cache blocks reserved beside the pinned ones

	// out receives the number of new tokens of each step. Its buffer has room for the whole
	// answer, so that a slow reader does not block the engine.
	out       chan int
	ended     bool
	cancelled bool // whether it ended without its complete answer
}

func newSequence(request engine.ChatRequest, messages []structs.Message) *sequence {
	answer := truncateAnswer(ScriptedAnswer(messages), request.MaxTokens)
	tokens := max(answer.Tokens(), 1)
	resumed := min(request.ResumeOffset/structs.BytesPerToken, tokens)
	return &sequence{
		call:         request.CallID,
		attempt:      request.Attempt,
		program:      request.Program,
		priority:     request.Priority,
		answer:       answer,
		prompt:       kvcache.Blocks(messages),
		conversation: kvcache.Blocks(append(messages[:len(messages):len(messages)], answer)),
		promptTokens: structs.Tokens(messages),
		answerTokens: tokens,
		resumed:      resumed,
		out:          make(chan int, tokens-resumed+1),
	}
}

// truncateAnswer limits the text of an answer to maxTokens; tool calls are never truncated.
func truncateAnswer(answer structs.Message, maxTokens int) structs.Message {
	if limit := maxTokens * structs.BytesPerToken; maxTokens > 0 && len(answer.Content) > limit {
		answer.Content = answer.Content[:limit]
	}
	return answer
}

// blocksNeeded estimates how many cache blocks the prompt and the answer need. The division
// rounds down, and the token counts leave out the roles and separators, which blocks contain;
// the 2 extra blocks cover both unless the conversation has very many messages.
func (s *sequence) blocksNeeded() int {
	return (s.promptTokens+s.answerTokens)/kvcache.BlockTokens + 2
}

// end closes the token channel; later calls have no effect.
func (s *sequence) end(cancelled bool) {
	if s.ended {
		return
	}
	s.ended = true
	s.cancelled = cancelled
	close(s.out)
}

// loop runs the decode and prefill steps of the engine until Close.
func (m *Model) loop() {
	defer close(m.done)
	next := time.Now()
	for {
		duration, idle := m.beginStep()
		if idle {
			select {
			case <-m.wake:
			case <-m.stop:
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(duration)
		if !m.sleepUntil(next) {
			return
		}
		m.endStep()
		if lag := time.Since(next); lag > maxStepLag {
			next = time.Now()
		}
	}
}

// maxStepLag is the largest lag behind the step schedule that the engine makes up for by
// shorter waits. After a larger lag the schedule restarts at the current time.
const maxStepLag = 100 * time.Millisecond

// sleepUntil waits until t; it returns false when the engine is closed earlier.
func (m *Model) sleepUntil(t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.stop:
		return false
	}
}

// beginStep admits waiting calls and returns how long the next step takes in real time.
// idle reports whether no call is running.
func (m *Model) beginStep() (duration time.Duration, idle bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admit()
	m.report(time.Now())
	if len(m.running) == 0 {
		return 0, true
	}
	prefill, decoding := m.stepWork()
	step := time.Duration(float64(prefill) / m.config.PrefillRate * float64(time.Second))
	if decoding > 0 || prefill == 0 {
		step += m.decodeTime(decoding)
	}
	if slow, hit := m.Faults.peek(FaultSlow); hit && slow.Factor > 0 {
		step = time.Duration(float64(step) * slow.Factor)
	}
	return m.scaled(step), false
}

// decodeTime returns the modelled time of one decode step of a batch.
func (m *Model) decodeTime(batch int) time.Duration {
	return time.Duration(m.config.StepTime) + time.Duration(max(batch-1, 0))*time.Duration(m.config.StepTimePerCall)
}

// stepWork returns the number of prefill tokens and of decoding calls of the next step.
func (m *Model) stepWork() (prefill, decoding int) {
	for _, s := range m.running {
		if s.prefillLeft > 0 {
			prefill += min(s.prefillLeft, m.config.PrefillChunk-prefill)
		} else {
			decoding++
		}
	}
	return prefill, decoding
}

// admit moves waiting calls into the batch while it has room. When no call is running
// and holds fill the cache, it ends the oldest holds.
func (m *Model) admit() {
	for len(m.waiting) > 0 && len(m.running) < m.config.BatchLimit {
		s := m.waiting[0]
		if !m.allocate(s) {
			if len(m.running) == 0 && m.cache.dropOldestHold() {
				continue
			}
			return
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, s)
	}
}

// allocate pins the cached prefix of a call and reserves the other blocks that it needs.
// It returns false when the cache has no room for them.
func (m *Model) allocate(s *sequence) bool {
	cached := m.cache.match(s.prompt)
	need := s.blocksNeeded() - cached
	m.cache.pin(s.prompt[:cached])
	if !m.cache.fits(need) {
		m.cache.unpin(s.prompt[:cached])
		return false
	}
	m.cache.reserve(need)
	s.pinned = s.prompt[:cached]
	s.reserved = need
	// Even when the whole prompt is cached, its last token is computed, as in real engines.
	// The resumed part of the answer is computed like a prompt.
	s.cachedTokens = min(cached*kvcache.BlockTokens, max(s.promptTokens-1, 0))
	s.prefillLeft = s.promptTokens - s.cachedTokens + s.resumed
	s.generated = s.resumed
	return true
}

// free releases the reserved and pinned blocks of a call.
func (m *Model) free(s *sequence) {
	m.cache.unreserve(s.reserved)
	m.cache.unpin(s.pinned)
	s.reserved = 0
	s.pinned = nil
}

// endStep advances each running call by the work of one step. The calls in prefill share
// PrefillChunk in the order of admission, as in stepWork.
func (m *Model) endStep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	prefillLeft := m.config.PrefillChunk
	remaining := m.running[:0]
	for _, s := range m.running {
		if s.prefillLeft > 0 {
			done := min(s.prefillLeft, prefillLeft)
			prefillLeft -= done
			s.prefillLeft -= done
			remaining = append(remaining, s)
			continue
		}
		if s.generated < s.answerTokens {
			s.generated++
			s.out <- 1
		}
		if s.generated < s.answerTokens {
			remaining = append(remaining, s)
			continue
		}
		m.finish(s)
	}
	clear(m.running[len(remaining):])
	m.running = remaining
}

// finish stores the prompt and the answer in the cache, updates the counters and ends
// the call.
func (m *Model) finish(s *sequence) {
	m.free(s)
	cached := m.cache.store(s.conversation)
	if s.program != "" {
		m.lastChains.put(s.program, s.conversation[:cached])
	}
	m.stats.PromptTokens += uint64(s.promptTokens)
	m.stats.CachedTokens += uint64(s.cachedTokens)
	m.stats.GeneratedTokens += uint64(s.answerTokens - s.resumed)
	if m.config.Observe != nil {
		m.config.Observe(Observation{Prompt: s.prompt, Conversation: s.conversation, PromptTokens: s.promptTokens, CachedTokens: s.cachedTokens})
	}
	s.end(false)
}
