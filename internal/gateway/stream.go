package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/turnlog"
)

const (
	// defaultGenerate is the expected number of generated tokens when a caller says nothing.
	defaultGenerate = 256
	// bytesPerToken is about what a generated token takes in an answer, with its part of
	// the event around it.
	bytesPerToken = 7
	// keepMargin before the caller leaves is when the end of an answer no longer waits for
	// its turn to be kept: the last bytes take some ms to the caller.
	keepMargin = 60 * time.Millisecond
)

// errCallerGone says that the caller does not take the answer any more.
var errCallerGone = errors.New("caller is gone")

// stream is the answer to one call on a stream route, on its way to the caller.
type stream struct {
	g *Gateway
	w http.ResponseWriter
	j *job
	// last is the turn that this one continues from; nil when it continues from none.
	last *turnlog.Turn
	// input is the turn's own input on retained routes.
	input  []byte
	output []byte
	// next is the id of the event that must come; negative before the first.
	next    int64
	started bool
	// tokens is the number of generated tokens handed to the caller.
	tokens    int
	lastEvent time.Time
	// kept says that the turn is in the table.
	kept bool
}

// serveStream sends a turn or another call that is answered by events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, j *job) {
	s := &stream{g: g, w: w, j: j, next: -1}
	// A turn that can't be read must not draw tokens: they could stay with an entry that is
	// not asked again.
	if !s.assemble(ctx) {
		return
	}
	reserved, ok := s.reserve(ctx)
	if !ok {
		return
	}
	defer func() { reserved.settle(s.tokens, s.ranAt(), s.kept) }()
	j.work = g.workOf(j)
	if reserved != nil {
		j.work.LastUpstream = reserved.lastUpstream
		if after, ok := g.mayBegin(j, reserved.stage); !ok {
			g.refuse(w, j, "engines_full", nil, after)
			return
		}
	}
	j.work.Bytes = len(j.body) + bytesPerToken*j.work.Generate
	s.run(ctx)
}

// assemble puts what the turn continues from before its input; otherwise it has answered.
func (s *stream) assemble(ctx context.Context) bool {
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
	if s.g.turns.get(j.call.Previous) == nil {
		j.chainFrom = s.g.mesh.turnStoredBy(ctx, j.call.Program, j.call.Previous)
	}
	last, history, reads, err := s.g.turns.chain(ctx, j.call.Previous, j.chainFrom)
	j.reads = reads
	switch {
	case err == nil:
		s.last = last
		body := make([]byte, 0, len(history)+len(j.body))
		j.body = append(append(body, history...), j.body...)
		return true
	case errors.Is(err, errNoTurn):
		s.g.reject(s.w, j, http.StatusNotFound, "no_such_turn", err)
	default:
		s.g.refuse(s.w, j, "turn_not_readable", err, s.g.tableRetry())
	}
	return false
}

// reserve sets aside the most that the turn generates; otherwise it has answered.
func (s *stream) reserve(ctx context.Context) (*reservation, bool) {
	j := s.j
	if j.call.TokenBudget <= 0 || j.call.Program == "" || j.call.MaxTokens <= 0 {
		return nil, true
	}
	r, err := s.g.budgets.reserve(ctx, reserveCall{
		Program: j.call.Program, ID: j.call.ID, Total: j.call.TokenBudget, MaxTokens: j.call.MaxTokens, Conversation: j.call.Conversation, Durable: j.route.Retained,
	})
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

// ranAt is the upstream that made the last event; empty when none was made.
func (s *stream) ranAt() string {
	if !s.started {
		return ""
	}
	return s.j.pick.ID
}

// workOf returns what the call asks of an upstream.
func (g *Gateway) workOf(j *job) routing.CallInfo {
	w := routing.CallInfo{Tokens: j.call.PromptTokens, Generate: j.call.LengthHint, Domain: string(g.cfg.FailureDomain)}
	if w.Generate <= 0 {
		w.Generate = defaultGenerate
	}
	if j.call.MaxTokens > 0 {
		w.Generate = min(w.Generate, j.call.MaxTokens)
	}
	if len(j.call.Prompt) > 0 {
		w.Prompt = make([]routing.PromptPart, len(j.call.Prompt))
		for i, p := range j.call.Prompt {
			w.Prompt[i] = routing.PromptPart{ID: p.ID, Tokens: p.Tokens}
		}
	}
	return w
}

// mayBegin decides whether a program that has not begun begins at the load now.
func (g *Gateway) mayBegin(j *job, standing programStage) (after time.Duration, ok bool) {
	if standing == programStarted {
		return 0, true
	}
	seats := g.fleet.Load().byService[j.service]
	g.mu.Lock()
	j.load = g.balancer.Load(time.Now(), seats)
	g.mu.Unlock()
	ok, after = g.newPrograms.Admit(j.load, g.routes.Load().Rank(j.route), standing == programRetried)
	return after, ok
}

// run sends the call, and goes on elsewhere as far as its route allows that.
func (s *stream) run(ctx context.Context) {
	j, g := s.j, s.g
	from := j.call.LastEvent
	for {
		res, err := g.send(ctx, j, from)
		if res == nil && g.callerGone(ctx, j, err) {
			s.abort()
			return
		}
		if err != nil {
			s.abandon(noSendReason(err), err)
			return
		}
		done, err := s.pass(res)
		if done {
			g.finish(res, routing.OutcomeSuccess)
			s.complete(ctx)
			return
		}
		if err == nil {
			s.plain(res)
			return
		}
		res.err = err
		g.finish(res, verdict(ctx, res))
		if g.callerGone(ctx, j, err) {
			s.abort()
			return
		}
		if !g.again(j, res) {
			s.abandon(reasonOf(res), err)
			return
		}
		g.noteResend(j, res)
		if s.next >= 0 {
			id := s.next - 1
			from = &id
		}
	}
}

// plain delivers an answer that is no stream, such as a failure.
func (s *stream) plain(res *result) {
	body, err := readWhole(res.answer)
	if err != nil {
		s.g.finish(res, routing.OutcomeFailure)
		s.j.mayHaveRun = true
		s.g.giveUp(s.w, s.j, "answer_lost", err)
		return
	}
	s.g.finish(res, routing.OutcomeSuccess)
	s.g.deliver(s.w, s.j, res.answer, body)
}

// pass hands the events of an answer to the caller. done says that the stream is whole;
// without it a nil error says that the answer is no stream.
func (s *stream) pass(res *result) (done bool, err error) {
	if res.err != nil {
		return false, res.err
	}
	a := res.answer
	if res.notRun {
		return false, errors.Newf("the upstream refused with status %d", a.Status)
	}
	if !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		if s.started {
			return false, errors.Wrapf(forward.ErrMalformed, "status %d in the middle of a stream", a.Status)
		}
		return false, nil
	}
	pace := paceMeter{g: s.g, j: s.j, upstream: res.upstream}
	defer pace.report()
	events := newEventReader(a)
	gap := s.j.gapBound()
	for {
		if gap > 0 {
			if err := a.SetDeadline(earlier(s.j.deadline.Add(answerSlack), time.Now().Add(gap))); err != nil {
				return false, errors.Mark(err, forward.ErrLost)
			}
		}
		e, err := events.next()
		if err != nil {
			return false, err
		}
		if e == nil {
			return true, nil
		}
		if err := s.event(a, e); err != nil {
			return false, err
		}
		pace.event()
	}
}

// event hands one event to the caller.
func (s *stream) event(a *forward.Answer, e *event) error {
	if e.hasID {
		if s.next >= 0 && e.id != s.next {
			return errors.Wrapf(forward.ErrMalformed, "event %d where %d is due", e.id, s.next)
		}
		s.next = e.id + 1
	}
	if !s.started {
		s.start(a)
	}
	if _, err := s.w.Write(e.raw); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	s.lastEvent = time.Now()
	s.j.events++
	s.tokens += s.g.tokensPerEvent(s.j.service)
	if s.j.route.Retained {
		s.output = append(append(s.output, e.data...), '\n')
	}
	return nil
}

// start writes the head of the answer, that of its first upstream.
func (s *stream) start(a *forward.Answer) {
	s.started = true
	s.g.metrics.firstEvent.RecordDuration(time.Since(s.j.start))
	platform.CopyAnswer(s.w.Header(), a.Header)
	s.w.WriteHeader(a.Status)
}

// tokensPerEvent is the number of generated tokens in one event of the service.
func (g *Gateway) tokensPerEvent(service string) int {
	if m := g.routes.Load().Document().Services[service].Model; m != nil && m.TokensPerEvent > 0 {
		return m.TokensPerEvent
	}
	return 1
}

// complete ends a stream that is whole. The end of a retained turn waits until the turn
// is kept: from its end on callers may continue from it.
func (s *stream) complete(ctx context.Context) {
	g, j := s.g, s.j
	if !s.started {
		j.mayHaveRun = true
		g.giveUp(s.w, j, "empty_stream", nil)
		return
	}
	if j.route.Retained {
		start := time.Now()
		err := s.keep(ctx)
		j.keptIn = time.Since(start)
		if err != nil {
			g.metrics.turnsNotStored.Inc(1)
			g.outcome(j, "broken_off", http.StatusOK, "turn_not_kept", err, 0)
			s.abort()
			return
		}
		s.kept = true
		g.metrics.turnsStored.Inc(1)
	}
	g.metrics.answered.Inc(1)
	g.metrics.latency.RecordDuration(time.Since(j.start))
	g.outcome(j, "answered", http.StatusOK, "", nil, 0)
}

// keepUntil returns until when the end of an answer waits for its turn to be kept: as
// long as the caller does. It answers the pattern of an outage of the table: a caller
// sends a turn that broke off twice more, so the waits must last through the outage.
func keepUntil(j *job, lastEvent time.Time) time.Time {
	return earlier(lastEvent.Add(j.route.SilenceTimeout()), j.deadline).Add(-keepMargin)
}

func (s *stream) keep(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, keepUntil(s.j, s.lastEvent))
	defer cancel()
	err := s.g.turns.keep(ctx, &turnlog.Turn{
		ID: s.j.call.ID, Ancestors: turnlog.Next(s.last), Input: s.input, Output: s.output,
	}, s.j.route.Retention)
	if err != nil && errors.Is(err, platformapi.ErrNotApplied) {
		return errors.Wrap(err, "the table took no turn")
	}
	return err
}

// abandon ends a call that can't go on anywhere.
func (s *stream) abandon(reason string, cause error) {
	if !s.started {
		s.g.giveUp(s.w, s.j, reason, cause)
		return
	}
	s.g.metrics.failed.Inc(1)
	s.g.outcome(s.j, "broken_off", http.StatusOK, reason, cause, 0)
	s.abort()
}

// abort closes the caller's connection in the middle of an answer, so that it does not
// look complete.
func (s *stream) abort() { panic(http.ErrAbortHandler) }

// paceMeter learns an upstream's decode speed from the events of one answer.
type paceMeter struct {
	g        *Gateway
	j        *job
	upstream string
	first    time.Time
	last     time.Time
	events   int
}

func (p *paceMeter) event() {
	p.last = time.Now()
	if p.events == 0 {
		p.first = p.last
	}
	p.events++
}

// minMeasuredEvents is the least number of events whose pace says something.
const minMeasuredEvents = 3

func (p *paceMeter) report() {
	if p.events < minMeasuredEvents {
		return
	}
	tokens := (p.events - 1) * p.g.tokensPerEvent(p.j.service)
	p.g.mu.Lock()
	p.g.balancer.ObserveDecode(p.j.service, p.upstream, tokens, p.last.Sub(p.first), p.j.pick.InFlight+1)
	p.g.mu.Unlock()
}
