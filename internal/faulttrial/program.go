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
	// retryPause is the least time between two tries of a turn, maxRetryPause the most.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = time.Second
	answerTokens  = 40
)

// programRun is one program under load: its turns in order, each retried until it
// is answered, and a call of a plain service behind each turn that is sent once.
type programRun struct {
	load *load
	name string
	id   structs.ProgramID

	mu sync.Mutex
	// inTurn says that a turn is under way; lastEvent is its last event.
	inTurn    bool
	asked     string // address of the entry that the turn was sent to last
	lastEvent time.Time
	awaited   time.Time // when a fault struck; zero when it is not awaited
	recovered time.Duration
	kept      []turnRecord
}

// turnRecord is a turn whose answer was acknowledged.
type turnRecord struct {
	content, answer string
	kept            bool
}

func (p *programRun) turnContent(n int) string {
	return fmt.Sprintf("%s, turn %d.\nplan: tool %s {\"pause_ms\":150}; tool %s {\"pause_ms\":50,\"action_id\":%q}; answer %d",
		p.name, n, toolSearch, toolPublish, p.actionID(n), answerTokens)
}

func (p *programRun) actionID(n int) string { return fmt.Sprintf("%s-publish-%d", p.name, n) }

// wantAnswer is the whole answer of a turn: what the stand-in says after two tool results.
func wantAnswer(content string) string {
	return standin.ScriptedAnswer([]structs.Message{
		{Role: structs.RoleUser, Content: content},
		{Role: structs.RoleTool},
		{Role: structs.RoleTool},
	}).Content
}

// run opens the program and runs its turns: the number asked for, and further ones
// until the fault is over, with one behind it.
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
		back, ok := p.turn(ctx, n)
		if !ok {
			p.load.count(func(c *Counts) {
				c.LostTurns++
				c.UnansweredTurns++
			})
			return
		}
		if back {
			n -= 2
			continue
		}
		p.order(ctx, n)
	}
}

func (p *programRun) open(ctx context.Context) bool {
	open := httpapi.OpenRequest{Kind: "draft", Model: modelName, Patience: structs.Duration(p.load.patience)}
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
		p.load.note(p.name, "open", err)
		pauseFor(ctx, err)
	}
	return false
}

// turn runs turn n until it is answered. It reports back when the turn before,
// whose answer was not kept, has to be sent again.
func (p *programRun) turn(ctx context.Context, n int) (back, ok bool) {
	content := p.turnContent(n)
	p.begin()
	defer p.end()
	for try := 0; ctx.Err() == nil; try++ {
		answer, err := p.load.caller.turn(ctx, request{
			entry: p.ask(), method: http.MethodPost,
			path:  "/v1/programs/" + string(p.id) + "/turns",
			token: callerToken, key: fmt.Sprintf("%s-turn-%d", p.name, n),
			body: httpapi.TurnRequest{Number: uint32(n), Content: content},
		}, p.event)
		if err == nil {
			p.answered(n, content, answer)
			return false, true
		}
		p.load.note(p.name, fmt.Sprintf("turn %d", n), err)
		if p.refused(n, try, err) {
			return true, true
		}
		if final(err) {
			return false, false
		}
		pauseFor(ctx, err)
	}
	return false, false
}

// refused counts what an unsuccessful try shows; it reports whether the turn
// before has to be sent again.
func (p *programRun) refused(n, try int, err error) (back bool) {
	if errors.Is(err, errCut) {
		p.load.cut()
		return false
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	if refusal.Outcome == structs.OutcomeNotRun && try == 0 && p.load.executions(toolPublish, p.actionID(n)) > 0 {
		p.load.count(func(c *Counts) { c.FalseNotRun++ })
	}
	if refusal.Code == structs.CodeTurnOutOfOrder && n > 1 {
		return p.withdraw()
	}
	return false
}

// withdraw takes back the last answer when it was not kept.
func (p *programRun) withdraw() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.kept) - 1
	if last < 0 || p.kept[last].kept {
		return false
	}
	p.kept = p.kept[:last]
	return true
}

// final reports whether trying again can't help.
func final(err error) bool {
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

func (p *programRun) answered(n int, content string, answer structs.TurnAnswer) {
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
	p.kept = append(p.kept, turnRecord{content: content, answer: answer.Content, kept: answer.Durable})
}

// ask picks the entry of the next try.
func (p *programRun) ask() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = p.load.caller.pick()
	return p.asked
}

// asks reports whether the caller waits for that very entry. A stopped process keeps
// its connections, so such a caller goes on only when its own patience with it ends.
func (p *programRun) asks(entry *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked == entry.httpAddr
}

// homeName returns the name of the entry that opened the program.
func (p *programRun) homeName() string {
	name, _, _ := strings.Cut(string(p.id), "-")
	return name
}

func (p *programRun) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inTurn = true
}

func (p *programRun) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inTurn = false
}

// relayTime is how long events of a killed process may still be under way.
const relayTime = 50 * time.Millisecond

// event records that the program goes on.
func (p *programRun) event() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent = now
	if !p.awaited.IsZero() && now.Sub(p.awaited) > relayTime {
		p.recovered = now.Sub(p.awaited)
		p.awaited = time.Time{}
	}
}

// await starts the measure of the recovery when the program is in a turn whose
// home is the node; it reports whether it is.
func (p *programRun) await(node string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.inTurn || !strings.HasPrefix(string(p.id), node+"-") {
		return false
	}
	p.awaited = now
	p.recovered = 0
	return true
}

// recovery returns the time that the program took to go on; ok is false when it has not.
func (p *programRun) recovery() (d time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recovered, p.recovered > 0
}

// order calls the plain service once; what comes back must be true.
func (p *programRun) order(ctx context.Context, n int) {
	id := fmt.Sprintf("%s-order-%d", p.name, n)
	arguments := fmt.Sprintf(`{"pause_ms":50,"action_id":%q}`, id)
	var answer httpapi.InvokeResponse
	err := p.load.caller.exchange(ctx, request{
		entry: p.load.caller.pick(), method: http.MethodPost, path: "/v1/services/" + serviceOrder,
		token: callerToken, key: id, body: httpapi.InvokeRequest{Arguments: []byte(arguments)},
	}, &answer)
	if err != nil {
		p.load.note(p.name, "order "+id, err)
	}
	if errors.Is(err, errCut) {
		p.load.cut()
	}
	p.load.ordered(id, err)
}

// pauseFor waits as long as a refusal asks, within bounds.
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

// checkHistory compares the history with the turns acknowledged as kept and
// returns how many it lacks. ok is false when no entry gave the history.
func (p *programRun) checkHistory(ctx context.Context) (lost int, ok bool) {
	view, ok := p.history(ctx)
	if !ok {
		return 0, false
	}
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
	for i, record := range p.kept {
		if record.kept && (i >= len(users) || users[i] != record.content || answers[i] != record.answer) {
			lost++
		}
	}
	return lost, true
}

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
		p.load.note(p.name, "history", err)
		pauseFor(ctx, err)
	}
	return structs.ProgramView{}, false
}

// close ends the program, so that nothing is held for it.
func (p *programRun) close(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.load.caller.exchange(ctx, request{
			entry: p.load.caller.pick(), method: http.MethodDelete,
			path: "/v1/programs/" + string(p.id), token: callerToken,
		}, nil)
		if err == nil || final(err) {
			return
		}
		p.load.note(p.name, "close", err)
		pauseFor(ctx, err)
	}
}
