package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/ledger"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/turnlog"
)

const (
	// defaultOutputTokens is the expected number of generated tokens when the caller gives
	// no hint.
	defaultOutputTokens = 256
	// bytesPerToken is the approximate number of bytes of a generated token in an answer,
	// including its share of the event around it.
	bytesPerToken = 7
	// maxTurnOutput is the maximum size in bytes of the output of a turn that is stored.
	maxTurnOutput = 1 << 20
	// storeMargin is the time that is left for sending the end of the answer when the wait
	// for the turn to be stored is given up: the last bytes take some ms to reach the
	// caller.
	storeMargin = 60 * time.Millisecond
)

// errCallerGone marks errors of a caller that has closed its connection.
var errCallerGone = errors.New("caller closed its connection")

// stream serves one call on a stream route.
type stream struct {
	g *Gateway
	w http.ResponseWriter
	j *job
	// previous is the turn that this one continues from; nil when it continues from none.
	previous *turnlog.Turn
	// input is the turn's own input and output the data of its events; both are set on
	// retained routes only.
	input  []byte
	output heldBytes
	// nextID is the id that the next event must have; negative while any is allowed, until the first
	// event of a stream that began with this call.
	nextID  int64
	started bool
	// tokens is the number of generated tokens sent to the caller.
	tokens int
	// lastEventAt is when the last event was sent to the caller.
	lastEventAt time.Time
	// reserved holds the tokens of the turn, nil without a budget. limit is set when it has fewer than it may
	// generate.
	reserved *reservation
	limit    int
	// stored is set when the turn is stored in the table.
	stored bool
}

// serveStream serves a turn, or another call that is answered by a stream of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, j *job) {
	s := &stream{g: g, w: w, j: j, nextID: -1}
	if last := j.call.LastEvent; last != nil && *last >= 0 {
		s.nextID = *last + 1
	}
	defer s.output.reset()
	// The history is read first: a turn refused after the reservation could leave its
	// tokens with an entry that this program does not use again.
	if !s.findOrigin(ctx) || !s.prependHistory(ctx) {
		return
	}
	reserved, ok := s.reserve(ctx)
	if !ok {
		return
	}
	if s.reserved = reserved; reserved != nil {
		s.limit = reserved.limit
	}
	// reserved is nil for a call without a budget; settle then does nothing.
	defer func() { reserved.settle(s.tokens, s.servedBy(), s.stored) }()
	j.info = g.callInfo(j)
	if reserved != nil {
		j.info.LastUpstream = reserved.lastUpstream
		j.started = reserved.stage == programStarted
	}
	if !g.takeToken(ctx, w, j, reserved != nil && !j.started) {
		return
	}
	if reserved != nil {
		if after, ok := g.admit(j, reserved); !ok {
			g.refuse(w, j, "engines_full", nil, after)
			return
		}
	}
	j.info.Bytes = len(j.body) + bytesPerToken*j.info.Generate
	s.run(ctx)
}

// prependHistory puts the history of the turn that this one continues from before its
// input. When the history can't be read, it answers the caller and returns false.
func (s *stream) prependHistory(ctx context.Context) bool {
	j := s.j
	if !j.route.Retained {
		return true
	}
	s.input = j.body
	if j.call.Previous == "" {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	previous := j.org.ScopedID(j.call.Previous)
	if s.g.turns.cached(previous) == nil {
		j.previousStoredBy = s.g.budgetPeers.turnStoredBy(ctx, j.org.ScopedID(j.call.Program), previous)
	}
	last, history, reads, err := s.g.turns.readChain(ctx, previous, j.previousStoredBy)
	j.turnReads = reads
	switch {
	case err == nil:
		s.previous = last
		body := make([]byte, 0, len(history)+len(j.body))
		j.body = append(append(body, history...), j.body...)
		return true
	case errors.Is(err, errTurnNotFound):
		s.g.reject(s.w, j, http.StatusNotFound, "no_such_turn", err)
	default:
		s.g.refuse(s.w, j, "turn_not_readable", err, s.g.tableRetry())
	}
	return false
}

// reserve reserves tokens from the program's budget: the most that the turn may generate.
// The reservation is nil for calls without a budget. When the tokens can't be reserved, it
// answers the caller and returns false.
func (s *stream) reserve(ctx context.Context) (*reservation, bool) {
	j := s.j
	if j.call.TokenBudget <= 0 || j.call.Program == "" || j.call.MaxTokens <= 0 {
		return nil, true
	}
	r, err := s.g.budgets.reserve(ctx, reserveCall{
		Program: j.org.ScopedID(j.call.Program), ID: j.org.ScopedID(j.call.ID), Total: j.call.TokenBudget, MaxTokens: j.call.MaxTokens, Least: s.leastTokens(), Conversation: j.call.Conversation, Durable: j.route.Retained,
	}, time.Duration(rowPatience*float64(j.left())))
	switch {
	case err == nil:
		return r, true
	case errors.Is(err, errBudgetSpent):
		s.g.metrics.budgetSpent.Inc(1)
		s.g.reject(s.w, j, http.StatusPaymentRequired, "budget_spent", nil)
	default:
		s.g.refuse(s.w, j, "budget_not_readable", err, s.g.tableRetry())
	}
	return nil, false
}

const (
	// rowPatience is the share of the time left for which a turn waits for the row of its budget. A turn that is
	// refused then has time to come back, and one that is granted to run.
	rowPatience = 0.45
	// hintMargin is the factor by which a turn may exceed its caller's estimate when its tokens are limited.
	hintMargin = 1.5
	// unhintedShare is the share of the most tokens of a turn without an estimate that it gets at least.
	unhintedShare = 0.5
)

// leastTokens returns the least number of tokens with which the turn is sent when its program's row is out of
// reach and no more can be claimed. Most turns generate far less than they may.
func (s *stream) leastTokens() int {
	call := s.j.call
	least := unhintedShare * float64(call.MaxTokens)
	if call.LengthHint > 0 {
		least = hintMargin * float64(call.LengthHint)
	}
	return min(call.MaxTokens, max(1, int(least)))
}

// errTokenLimit is returned for an event that would exceed the tokens reserved for the turn.
var errTokenLimit = errors.New("the tokens that could be claimed for the turn are used up")

// servedBy returns the upstream that was chosen last; empty when no event was sent to the
// caller. The reservation is settled with it.
func (s *stream) servedBy() string {
	if !s.started {
		return ""
	}
	return s.j.pick.ID
}

// callInfo returns the description of the call for the balancer.
func (g *Gateway) callInfo(j *job) routing.CallInfo {
	info := routing.CallInfo{Tokens: j.call.PromptTokens, Generate: j.call.LengthHint, Domain: string(g.cfg.FailureDomain)}
	if info.Generate <= 0 {
		info.Generate = defaultOutputTokens
	}
	if j.call.MaxTokens > 0 {
		info.Generate = min(info.Generate, j.call.MaxTokens)
	}
	if len(j.call.Prompt) > 0 {
		info.Prompt = make([]routing.PromptPart, len(j.call.Prompt))
		for i, p := range j.call.Prompt {
			info.Prompt[i] = routing.PromptPart{ID: p.ID, Tokens: p.Tokens}
		}
	}
	return info
}

// run sends the call and relays its answer. After a failure it sends the call to further
// upstreams, as far as the route allows.
func (s *stream) run(ctx context.Context) {
	j, g := s.j, s.g
	from := j.call.LastEvent
	for {
		res, err := g.send(ctx, j, from)
		if res == nil && g.callerGone(ctx, j, err) {
			abort()
		}
		if err != nil {
			s.endFailed(noSendReason(err), err)
			return
		}
		done, err := s.relayEvents(res)
		if done {
			g.finish(res, routing.OutcomeSuccess)
			g.completed(j)
			s.complete(ctx)
			return
		}
		if err == nil {
			s.deliverPlain(ctx, res)
			return
		}
		res.err = err
		g.finish(res, outcomeOf(ctx, res))
		g.sendUnanswered(ctx, j, res)
		if g.callerGone(ctx, j, err) {
			abort()
		}
		if errors.Is(err, errTokenLimit) {
			j.mayHaveRun = true
			s.endFailed("token_limit", err)
			return
		}
		if errors.Is(err, errNotBegun) {
			j.mayHaveRun = true
			s.endFailed("turn_not_begun", err)
			return
		}
		if s.started && s.nextID < 0 {
			// Without ids no upstream can be told where to go on, and another run from the start
			// would repeat events.
			j.mayHaveRun = true
			s.endFailed("events_without_ids", err)
			return
		}
		if !g.mayResend(j, res) {
			s.endFailed(streamFailureReason(res), err)
			return
		}
		g.logResend(j, res)
		if s.nextID >= 0 {
			g.metrics.streamsContinued.Inc(1)
			id := s.nextID - 1
			from = &id
		}
	}
}

// deliverPlain sends the caller an answer that is no stream, such as an error.
func (s *stream) deliverPlain(ctx context.Context, res *sendResult) {
	body, err := s.g.readAnswer(s.j, res.answer)
	if err != nil {
		res.err = err
		s.g.finish(res, routing.OutcomeFailure)
		s.g.sendUnanswered(ctx, s.j, res)
		s.j.mayHaveRun = true
		s.g.refuseOrFail(s.w, s.j, "answer_lost", err)
		return
	}
	s.g.finish(res, routing.OutcomeSuccess)
	s.g.completed(s.j)
	s.g.deliver(s.w, s.j, res.answer, body)
}

// relayEvents sends the events of an answer to the caller. It returns true at the end of
// a complete stream, and false without an error when the answer is no stream.
func (s *stream) relayEvents(res *sendResult) (done bool, err error) {
	if res.err != nil {
		return false, res.err
	}
	a := res.answer
	if res.notRun {
		return false, errors.Newf("the upstream has not run the call, status %d", a.Status)
	}
	if a.Status != http.StatusOK || !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		// nextID is set for a caller that asks for the rest of a stream, too.
		if s.started || s.nextID >= 0 && a.Status < http.StatusMultipleChoices {
			return false, errors.Wrapf(forward.ErrMalformed, "status %d and content type %q instead of the rest of a stream", a.Status, a.Header.Get("Content-Type"))
		}
		return false, nil
	}
	meter := decodeMeter{g: s.g, j: s.j, upstream: res.upstream, sentAt: res.sentAt}
	defer meter.report()
	memory := s.g.answers.of(res.upstream)
	events := newEventReader(a, memory)
	defer events.close()
	if s.output.memory == nil {
		s.output.memory = memory
	}
	gap, progress := s.j.gapLimit(), true
	for {
		if gap > 0 && progress {
			if err := a.SetDeadline(earlier(s.j.deadline.Add(answerGrace), time.Now().Add(gap))); err != nil {
				return false, errors.Mark(err, forward.ErrLost)
			}
		}
		e, err := events.next()
		if err != nil {
			return false, err
		}
		if e == nil && meter.events == 0 {
			// Also of the rest of a stream: an answer without events does not show that its upstream
			// knows the stream, so it is no proof of the end.
			return false, errEmptyStream
		}
		if e == nil {
			return true, nil
		}
		if progress = !e.comment; e.comment {
			// Before its first event an upstream has not shown that it serves this stream.
			if meter.events > 0 {
				if err := s.write(e); err != nil {
					return false, err
				}
			}
			continue
		}
		arrived := time.Now()
		if meter.events == 0 {
			if err := s.checkSoftware(res); err != nil {
				return false, err
			}
		}
		if err := s.writeEvent(a, e); err != nil {
			return false, err
		}
		meter.event(arrived, time.Now())
	}
}

// errEmptyStream is returned for a complete answer without an event, where a stream or the rest of one is due.
var errEmptyStream = errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "the stream has no event"), forward.ErrMalformed)

// write sends the lines of an event to the caller at once.
func (s *stream) write(e *event) error {
	if _, err := s.w.Write(e.raw); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return errors.Mark(http.NewResponseController(s.w).Flush(), errCallerGone)
}

// writeEvent sends one event to the caller.
func (s *stream) writeEvent(a *forward.Answer, e *event) error {
	if s.nextID >= 0 && !e.hasID {
		return errors.Wrapf(forward.ErrMalformed, "an event without an id, want %d", s.nextID)
	}
	if e.hasID {
		if s.nextID >= 0 && e.id != s.nextID {
			return errors.Wrapf(forward.ErrMalformed, "event id %d, want %d", e.id, s.nextID)
		}
		s.nextID = e.id + 1
	}
	perEvent := s.g.tokensPerEvent(s.j.service)
	if s.limit > 0 && s.tokens+perEvent > s.limit {
		return errTokenLimit
	}
	if !s.started {
		if err := s.begin(); err != nil {
			return err
		}
		s.writeHead(a)
	}
	if err := s.write(e); err != nil {
		return err
	}
	s.lastEventAt = time.Now()
	s.j.events++
	s.tokens += perEvent
	if s.j.route.Retained {
		if len(s.output.bytes)+len(e.data) > maxTurnOutput {
			return errors.Wrapf(forward.ErrTooLong, "the output of the turn is longer than %d bytes", maxTurnOutput)
		}
		if err := s.output.add(e.data); err != nil {
			return err
		}
		return s.output.add([]byte{'\n'})
	}
	return nil
}

// begin makes the row of the budget show that the turn hands out tokens. It waits until shortly before the caller
// gives up waiting for the first event.
func (s *stream) begin() error {
	j := s.j
	start := time.Now()
	ctx, cancel := context.WithDeadline(j.request.Context(), earlier(j.start.Add(j.route.CallerSilenceTimeout()), j.deadline).Add(-storeMargin))
	defer cancel()
	err := s.reserved.begin(ctx)
	j.beginTime = time.Since(start)
	return err
}

// writeHead sends the status and the headers of the first answer that has an event.
func (s *stream) writeHead(a *forward.Answer) {
	s.started = true
	s.beginOrigin(a)
	s.g.metrics.firstEvent.RecordDuration(time.Since(s.j.start))
	platform.CopyAnswer(s.w.Header(), a.Header)
	s.g.writeHead(s.w, s.j, a.Status)
}

// tokensPerEvent returns the number of generated tokens in one event of the service.
func (g *Gateway) tokensPerEvent(service string) int {
	if m := g.routes.Load().Document().Services[service].Model; m != nil && m.TokensPerEvent > 0 {
		return m.TokensPerEvent
	}
	return 1
}

// complete ends a complete stream. The answer to a retained turn ends only once the turn
// is stored, since callers may continue from it as soon as it has ended.
func (s *stream) complete(ctx context.Context) {
	g, j := s.g, s.j
	if j.route.Retained {
		start := time.Now()
		err := s.storeTurn(ctx)
		j.storeTime = time.Since(start)
		if err != nil {
			g.metrics.turnsNotStored.Inc(1)
			g.logOutcome(j, "broken_off", http.StatusOK, "turn_not_kept", err, 0)
			abort()
		}
		s.stored = true
		g.metrics.turnsStored.Inc(1)
	}
	g.turnEnded(j)
	g.metrics.answered.Inc(1)
	g.metrics.latency.RecordDuration(time.Since(j.start))
	g.logOutcome(j, "answered", http.StatusOK, "", nil, 0)
}

// storeDeadline returns the time until which a complete answer waits for its turn to be
// stored: shortly before the caller gives up waiting for the next event. It is not earlier,
// because a caller makes 3 attempts in all, and together their waits must outlast an outage of
// the table.
func storeDeadline(j *job, lastEventAt time.Time) time.Time {
	return earlier(lastEventAt.Add(j.route.CallerSilenceTimeout()), j.deadline).Add(-storeMargin)
}

// storeTurn stores the turn in the table, until the store deadline.
func (s *stream) storeTurn(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, storeDeadline(s.j, s.lastEventAt))
	defer cancel()
	var used *ledger.Usage
	if s.reserved != nil {
		used = &ledger.Usage{Tokens: s.tokens, StandIn: s.reserved.standIn}
	}
	err := s.g.turns.store(ctx, &turnlog.Turn{
		ID: s.j.org.ScopedID(s.j.call.ID), Ancestors: turnlog.NextAncestors(s.previous), Input: s.input, Output: bytes.Clone(s.output.bytes),
	}, used, s.j.route.Retention)
	if err != nil && errors.Is(err, platformapi.ErrNotApplied) {
		return errors.Wrap(err, "turn was not written to the table")
	}
	return err
}

// streamFailureReason is failureReason, with a reason of its own for a stream without events.
func streamFailureReason(res *sendResult) string {
	if errors.Is(res.err, errEmptyStream) {
		return "empty_stream"
	}
	return failureReason(res)
}

// endFailed ends a call that is not sent to a further upstream: it breaks off an answer
// that has started, and otherwise refuses or fails the call.
func (s *stream) endFailed(reason string, cause error) {
	if !s.started {
		s.g.refuseOrFail(s.w, s.j, reason, cause)
		return
	}
	s.g.metrics.failed.Inc(1)
	s.g.logOutcome(s.j, "broken_off", http.StatusOK, reason, cause, 0)
	abort()
}

// decodeMeter measures an upstream's decode speed by the events of one answer.
type decodeMeter struct {
	g        *Gateway
	j        *job
	upstream string
	// sentAt is when the call was sent.
	sentAt time.Time
	// passedOn is when the latest event had been sent to the caller. gaps are the times from then to
	// the arrival of the next, of the first maxMeasuredGaps, and decode their sum over all events: a
	// caller that reads slowly makes no upstream slow.
	passedOn time.Time
	gaps     []time.Duration
	decode   time.Duration
	// events counts the events.
	events int
}

// event records an event that arrived and was then sent to the caller until passedOn.
func (m *decodeMeter) event(arrived, passedOn time.Time) {
	if m.events == 0 {
		m.j.firstEvent = arrived.Sub(m.sentAt)
	} else {
		gap := arrived.Sub(m.passedOn)
		m.decode += gap
		if len(m.gaps) < maxMeasuredGaps {
			m.gaps = append(m.gaps, gap)
		}
	}
	m.passedOn = passedOn
	m.events++
}

const (
	// minMeasuredEvents is the least number of events from which a speed is measured.
	minMeasuredEvents = 3
	// minUndisturbedEvents is the least number of events from which the undisturbed speed is measured.
	minUndisturbedEvents = 5
	// maxMeasuredGaps bounds the memory of a meter.
	maxMeasuredGaps = 64
)

// report passes the measured speeds on to the balancer.
func (m *decodeMeter) report() {
	if m.events == 0 {
		return
	}
	perEvent := m.g.tokensPerEvent(m.j.service)
	// The time starts at the first event, so its tokens do not count.
	d := routing.Decode{Tokens: (m.events - 1) * perEvent, BatchSize: m.j.pick.InFlight + 1, Elapsed: m.decode}
	if m.events >= minUndisturbedEvents {
		d.Undisturbed = lowerQuartile(m.gaps) / time.Duration(perEvent)
	}
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.g.balancer.ObserveFirstEvent(m.passedOn, m.j.service, &m.j.info, &m.j.pick, m.j.firstEvent)
	if m.events >= minMeasuredEvents {
		m.g.balancer.ObserveDecode(m.passedOn, m.j.service, m.upstream, d)
	}
}

// lowerQuartile returns the value that a quarter of the values are below. It sorts them.
func lowerQuartile(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)/4]
}
