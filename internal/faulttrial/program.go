package faulttrial

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

const (
	// retryPause is the minimum time between two attempts of a turn, maxRetryPause the
	// maximum.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = time.Second
	// answerTokens is the length of the answer of each turn.
	answerTokens = 40
)

// programRun is one program of the load. It sends its turns in order, each repeated until
// it is answered, and after each turn an order: a call of a plain service that is sent once.
type programRun struct {
	load *load
	name string
	id   structs.ProgramID

	mu sync.Mutex
	// inTurn reports whether a turn is in progress; lastEvent is the time of its last event.
	inTurn    bool
	lastEntry string // address of the entry of the last attempt of a turn
	lastEvent time.Time
	faultAt   time.Time     // time of the fault; zero unless the recovery is being measured
	recovered time.Duration // time from the fault to the first event after it
	records   []turnRecord  // of the answered turns, in order
}

// turnRecord is an answered turn. durable reports whether the answer acknowledged the turn as
// durable.
type turnRecord struct {
	content, answer string
	durable         bool
}

// turnContent returns the content of turn n. It tells the stand-in engine to call both tools
// and then to answer.
func (p *programRun) turnContent(n int) string {
	return fmt.Sprintf("%s, turn %d.\nplan: tool %s {\"pause_ms\":150}; tool %s {\"pause_ms\":50,\"action_id\":%q}; answer %d",
		p.name, n, toolSearch, toolPublish, p.actionID(n), answerTokens)
}

// actionID returns the ID of the action of turn n, under which the tools count executions.
func (p *programRun) actionID(n int) string { return fmt.Sprintf("%s-publish-%d", p.name, n) }

// wantAnswer returns the complete answer of a turn: the text that the stand-in engine
// generates after two tool results.
func wantAnswer(content string) string {
	return standin.ScriptedAnswer([]structs.Message{
		{Role: structs.RoleUser, Content: content},
		{Role: structs.RoleTool},
		{Role: structs.RoleTool},
	}).Content
}

// run opens the program and runs its turns: at least the given number, and further ones
// until the fault is over and one more turn has run after it.
func (p *programRun) run(ctx context.Context, turns int) {
	if !p.open(ctx) {
		p.load.count(func(c *Counts) { c.Unopened++ })
		return
	}
	p.load.count(func(c *Counts) { c.Programs++ })
	for n, last := 1, turns; n <= last; n++ {
		if n == last && !p.load.faultOver() {
			last++
		}
		resend, ok := p.turn(ctx, n)
		if !ok {
			p.load.count(func(c *Counts) {
				c.LostTurns++
				c.UnansweredTurns++
			})
			return
		}
		if resend {
			n -= 2 // n++ then makes it the previous turn
			continue
		}
		p.order(ctx, n)
	}
}

// open opens the program and repeats the request until it succeeds. It returns false if ctx
// ends before.
func (p *programRun) open(ctx context.Context) bool {
	open := httpapi.OpenRequest{Kind: "draft", Model: modelName, TurnTimeout: structs.Duration(p.load.turnTimeout)}
	for ctx.Err() == nil {
		var opened httpapi.OpenResponse
		err := p.load.caller.exchange(ctx, request{
			entry: p.load.caller.pick(), method: http.MethodPost, path: "/v1/programs",
			token: callerToken, key: "open-" + p.name, body: open,
		}, &opened)
		if err == nil {
			p.id = opened.ID
			return true
		}
		p.load.logFailure(p.name, "open", err)
		pauseFor(ctx, err)
	}
	return false
}

// turn repeats turn n until it is answered. ok is false if it is refused for good or ctx
// ends. resend reports whether the previous turn, whose answer was not durable, has to be sent
// again instead.
func (p *programRun) turn(ctx context.Context, n int) (resend, ok bool) {
	content := p.turnContent(n)
	p.beginTurn()
	defer p.endTurn()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		answer, err := p.load.caller.turn(ctx, request{
			entry: p.pickEntry(), method: http.MethodPost,
			path:  "/v1/programs/" + string(p.id) + "/turns",
			token: callerToken, key: fmt.Sprintf("%s-turn-%d", p.name, n),
			body: httpapi.TurnRequest{Number: uint32(n), Content: content},
		}, p.recordEvent)
		if err == nil {
			p.recordAnswer(n, content, answer)
			return false, true
		}
		p.load.logFailure(p.name, fmt.Sprintf("turn %d", n), err)
		if p.checkFailure(n, attempt, err) {
			return true, true
		}
		if isFinal(err) {
			return false, false
		}
		pauseFor(ctx, err)
	}
	return false, false
}

// checkFailure counts the faults that a failed attempt shows. It reports whether the
// previous turn has to be sent again.
func (p *programRun) checkFailure(n, attempt int, err error) (resend bool) {
	if errors.Is(err, errCut) {
		p.load.countCut()
		return false
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	// A later attempt may be refused as not run although an earlier one ran the action.
	if refusal.Outcome == structs.OutcomeNotRun && attempt == 0 && p.load.executions(toolPublish, p.actionID(n)) > 0 {
		p.load.count(func(c *Counts) { c.FalseNotRun++ })
	}
	// The home may have lost the previous turn if that turn was not durable.
	if refusal.Code == structs.CodeTurnOutOfOrder && n > 1 {
		return p.dropLastRecord()
	}
	return false
}

// dropLastRecord removes the record of the last turn if its answer was not durable, and
// reports whether it did.
func (p *programRun) dropLastRecord() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.records) - 1
	if last < 0 || p.records[last].durable {
		return false
	}
	p.records = p.records[:last]
	return true
}

// isFinal reports whether the error is a refusal that a further attempt cannot change.
func isFinal(err error) bool {
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Code {
	case structs.CodeBudgetExhausted, structs.CodeLoopDetected, structs.CodeProgramEnded,
		structs.CodeNotFound, structs.CodeKeyReused, structs.CodeBadRequest, structs.CodeQuarantined,
		structs.CodeTurnOutOfOrder, structs.CodeDeadlineExceeded:
		return true
	}
	return false
}

// recordAnswer counts the answer of turn n and adds it to the records.
func (p *programRun) recordAnswer(n int, content string, answer structs.TurnAnswer) {
	p.load.count(func(c *Counts) {
		c.Answers++
		if answer.Content == wantAnswer(content) && int(answer.Turn) == n {
			c.WholeAnswers++
		} else {
			c.WrongAnswers++
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, turnRecord{content: content, answer: answer.Content, durable: answer.Durable})
}

// pickEntry picks and records the entry of the next attempt.
func (p *programRun) pickEntry() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEntry = p.load.caller.pick()
	return p.lastEntry
}

// waitsFor reports whether the last attempt was sent to this entry. A process stopped by
// SIGSTOP keeps its connections open, so that a caller that waits for it continues only after
// eventTimeout.
func (p *programRun) waitsFor(entry *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEntry == entry.httpAddr
}

// homeName returns the name of the entry that opened the program. The program's ID starts
// with it.
func (p *programRun) homeName() string {
	name, _, _ := strings.Cut(string(p.id), "-")
	return name
}

func (p *programRun) beginTurn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inTurn = true
}

func (p *programRun) endTurn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inTurn = false
}

// relayTime is how long events of a killed process may still be in transit.
const relayTime = 50 * time.Millisecond

// recordEvent records an event of the turn. The first one later than relayTime after the
// fault ends the measurement of the recovery.
func (p *programRun) recordEvent() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent = now
	if !p.faultAt.IsZero() && now.Sub(p.faultAt) > relayTime {
		p.recovered = now.Sub(p.faultAt)
		p.faultAt = time.Time{}
	}
}

// startRecovery starts to measure the recovery if the program has a turn in progress and
// its home is the node, and reports whether that is so.
func (p *programRun) startRecovery(node string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.inTurn || !strings.HasPrefix(string(p.id), node+"-") {
		return false
	}
	p.faultAt = now
	p.recovered = 0
	return true
}

// recovery returns the time until the program continued; ok is false while it has not.
func (p *programRun) recovery() (d time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recovered, p.recovered > 0
}

// order calls the plain service once. The answer must agree with what the service
// executed, which checkOrders compares.
func (p *programRun) order(ctx context.Context, n int) {
	id := fmt.Sprintf("%s-order-%d", p.name, n)
	arguments := fmt.Sprintf(`{"pause_ms":50,"action_id":%q}`, id)
	var answer httpapi.InvokeResponse
	err := p.load.caller.exchange(ctx, request{
		entry: p.load.caller.pick(), method: http.MethodPost, path: "/v1/services/" + serviceOrder,
		token: callerToken, key: id, body: httpapi.InvokeRequest{Arguments: []byte(arguments)},
	}, &answer)
	if err != nil {
		p.load.logFailure(p.name, "order "+id, err)
	}
	if errors.Is(err, errCut) {
		p.load.countCut()
	}
	p.load.recordOrder(id, err)
}

// pauseFor waits for the RetryAfter of a refusal, bounded by retryPause and maxRetryPause.
func pauseFor(ctx context.Context, err error) {
	wait := retryPause
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		wait = min(max(wait, refusal.RetryAfter), maxRetryPause)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// checkHistory compares the history with the turns acknowledged as durable and returns how
// many of them are missing or differ. ok is false if no entry returned the history.
func (p *programRun) checkHistory(ctx context.Context) (lost int, ok bool) {
	view, ok := p.history(ctx)
	if !ok {
		return 0, false
	}
	// A turn has one user message; its answer is the last message of the assistant with content.
	var users, answers []string
	for _, m := range view.History {
		switch {
		case m.Role == structs.RoleUser:
			users = append(users, m.Content)
			answers = append(answers, "")
		case m.Role == structs.RoleAssistant && m.Content != "" && len(answers) > 0:
			answers[len(answers)-1] = m.Content
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, record := range p.records {
		if record.durable && (i >= len(users) || users[i] != record.content || answers[i] != record.answer) {
			lost++
		}
	}
	return lost, true
}

// history reads the program's history and repeats the request until it succeeds. ok is false
// if ctx ends before.
func (p *programRun) history(ctx context.Context) (structs.ProgramView, bool) {
	for ctx.Err() == nil {
		var view structs.ProgramView
		err := p.load.caller.exchange(ctx, request{
			entry: p.load.caller.pick(), method: http.MethodGet,
			path: "/v1/programs/" + string(p.id) + "/history", token: callerToken,
		}, &view)
		if err == nil {
			return view, true
		}
		p.load.logFailure(p.name, "history", err)
		pauseFor(ctx, err)
	}
	return structs.ProgramView{}, false
}

// close ends the program, so that no engine needs to hold KV cache for it.
func (p *programRun) close(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.load.caller.exchange(ctx, request{
			entry: p.load.caller.pick(), method: http.MethodDelete,
			path: "/v1/programs/" + string(p.id), token: callerToken,
		}, nil)
		if err == nil || isFinal(err) {
			return
		}
		p.load.logFailure(p.name, "close", err)
		pauseFor(ctx, err)
	}
}
