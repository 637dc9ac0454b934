package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// turn is a turn that was answered completely. id is the id of its request. sent is the whole
// conversation up to its answer: the earlier inputs and outputs and its own input.
type turn struct {
	id, sent, output string
	// program is the program that ran it.
	program string
}

// callerLedger records what the callers received, for the checks.
type callerLedger struct {
	mu sync.Mutex
	// reportedNotRun has the status of each request that was answered as not run.
	reportedNotRun map[string]int
	// tokens counts the tokens that callers received by program; budgets has the token
	// budget of each program.
	tokens, budgets map[string]int
	// unsettled counts by program the tokens that turns which did not end whole, and were not answered as not
	// run, may have used beside those that their callers received.
	unsettled map[string]int
	// violations has the first 20 violations found during the run, such as a wrong answer.
	violations []string
	// completed has the retained turns that were answered completely.
	completed []turn
	// answered counts the streams that began with status 200.
	answered int
	// takenUp counts the requests that took a stream up, wentOn those of them that brought an event.
	takenUp, wentOn int
}

func (l *callerLedger) violation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violations) < 20 {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// callers drive programs against the entries and check each answer.
type callers struct {
	entries []*entry
	ledger  *callerLedger
	runs    *runs
	ids     atomic.Int64 // request and program ids given so far
	prefix  string       // of each id
	client  *http.Client
	via     sync.Map // from request ids to the entries that they were sent to
}

func newCallers(entries []*entry, l *callerLedger, r *runs, prefix string) *callers {
	return &callers{
		entries: entries, ledger: l, runs: r, prefix: prefix,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}},
	}
}

func (c *callers) nextID() string { return fmt.Sprintf("%s-%d", c.prefix, c.ids.Add(1)) }

// answer is the response to one request; complete reports whether it was complete.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
}

// send sends a request once, to one entry, and checks its seal. A complete 402, 429 or
// 503 promises that the request did not run.
func (c *callers) send(at *entry, method, path, id, body string, header map[string]string) answer {
	c.via.Store(id, at)
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.callers+path, strings.NewReader(body))
	if err != nil {
		c.ledger.violation("make request: %v", err)
		return answer{}
	}
	req.Host = "h"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Timeout-Ms", "2000")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: data, complete: err == nil}
	if a.complete && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusPaymentRequired) {
		c.ledger.mu.Lock()
		c.ledger.reportedNotRun[id] = a.status
		c.ledger.mu.Unlock()
	}
	if a.status == http.StatusOK && a.header.Get("X-Response-Seal") != "seal."+id {
		c.ledger.violation("request %s: answered with the seal %q, want one for its own id", id, a.header.Get("X-Response-Seal"))
	}
	return a
}

func (c *callers) anyEntry() *entry { return c.entries[rand.IntN(len(c.entries))] }

// callTool makes a tool call with at most 3 requests, as a caller does: it repeats one that
// was answered 503, which means not run, and any failed one if the route is repeatable.
func (c *callers) callTool(path string, repeatable bool) {
	body := fmt.Sprintf("tool %d", rand.Int())
	method := "POST"
	if repeatable {
		method, body = "GET", ""
	}
	for range 3 {
		id := c.nextID()
		a := c.send(c.anyEntry(), method, path+id, id, body, nil)
		switch {
		case a.status == http.StatusOK:
			if a.complete && string(a.body) != toolAnswer(id, path+id, body) {
				c.ledger.violation("request %s: wrong answer %q", id, a.body)
			}
			return
		case a.status == http.StatusServiceUnavailable || repeatable:
			pause(50 * time.Millisecond)
		case a.status == http.StatusNotFound:
			c.ledger.violation("request %s: no route %s", id, path)
			return
		default:
			return
		}
	}
}

// received is what a caller has of a stream: its events, all of one version, and the id of the request
// that brought the first one.
type received struct {
	first, version string
	events         int
}

// runTurn runs one turn with at most 3 requests, each with an id of its own, and returns
// nil if none was answered completely. On the stateless route it takes a stream up that broke off, and
// begins anew if that is refused.
func (c *callers) runTurn(program, route string, budget int, last *turn, input string) *turn {
	var has received
	for range 3 {
		id := c.nextID()
		h := map[string]string{
			"X-Program-Id": program, "X-Session-Id": program, "X-Token-Budget": fmt.Sprint(budget),
			"X-Token-Count": fmt.Sprintf("100,%d", maxTokensPerTurn), "X-Model": "m", "X-Prompt-Prefix": "a1:50," + fmt.Sprintf("%x:50", rand.Uint32()),
		}
		if last != nil {
			h["X-Previous-Turn"] = last.id
		}
		takesUp := route == statelessRoute && has.events > 0 && has.events < eventCount(has.first)
		if !takesUp {
			has = received{first: id}
		} else {
			h["Last-Event-Id"], h["Resumes"] = fmt.Sprint(has.events-1), has.first
		}
		a := c.send(c.anyEntry(), "POST", route, id, input, h)
		before := has.events
		output := c.checkStream(program, &has, a)
		if takesUp {
			c.ledger.countTakeUp(has.events > before)
		}
		switch {
		case a.status == http.StatusOK && a.complete:
			t := &turn{id: id, sent: input, output: output, program: program}
			if last != nil {
				t.sent = last.sent + last.output + input
			}
			c.checkInput(id, route, t.sent, input)
			return t
		case a.status == http.StatusPaymentRequired:
			return nil
		case a.status == http.StatusNotFound:
			c.ledger.violation("request %s: 404 for a turn that continues from %+v", id, last)
			return nil
		case a.status == http.StatusServiceUnavailable && a.complete:
			has = received{}
		default:
			c.ledger.mu.Lock()
			c.ledger.unsettled[program] += maxTokensPerTurn - (has.events-before)*tokensPerEvent
			c.ledger.mu.Unlock()
		}
		pause(time.Duration(50+rand.IntN(100)) * time.Millisecond)
	}
	return nil
}

// countTakeUp counts a request that took a stream up.
func (l *callerLedger) countTakeUp(wentOn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takenUp++
	if wentOn {
		l.wentOn++
	}
}

// checkStream checks the events that were received, counts their tokens and returns their
// text. A stream that ends early must not look complete, and all its events must be of one version.
func (c *callers) checkStream(program string, has *received, a answer) string {
	if a.status != http.StatusOK {
		return ""
	}
	var output strings.Builder
	before := has.events
	scan := bufio.NewScanner(bytes.NewReader(a.body))
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		version := data[strings.LastIndexByte(data, '.')+1:]
		if want := eventText(has.first, has.events, version); data != want {
			c.ledger.violation("stream %s: event %q, want %q", has.first, data, want)
		}
		if has.version != "" && version != has.version {
			c.ledger.violation("stream %s: event %d is of version %s, those before of %s", has.first, has.events, version, has.version)
		}
		has.version = version
		output.WriteString(data + "\n")
		has.events++
	}
	if a.complete && has.events != eventCount(has.first) {
		c.ledger.violation("stream %s: %d events look complete after %d", has.first, eventCount(has.first), has.events)
	}
	c.ledger.mu.Lock()
	c.ledger.tokens[program] += (has.events - before) * tokensPerEvent
	c.ledger.answered++
	c.ledger.mu.Unlock()
	return output.String()
}

// checkInput checks what the upstreams received for a turn: the whole conversation on the
// retained route, only the input of the turn on the stateless route.
func (c *callers) checkInput(id, route, conversation, input string) {
	want := input
	if route == retainedRoute {
		want = conversation
	}
	for _, r := range c.runs.of(id) {
		if r.body != want {
			c.ledger.violation("request %s: the upstream received %d bytes, want the %d of the conversation", id, len(r.body), len(want))
		}
	}
}

const (
	retainedRoute  = "/draft/1"
	statelessRoute = "/ask/1"
)

// program runs one program from its first turn to its last. One in 8 is a runaway program.
func (c *callers) program(done <-chan struct{}) {
	program := "p" + c.nextID()
	budget := (8 + rand.IntN(8)) * maxTokensPerTurn
	runaway := rand.IntN(8) == 0
	if runaway {
		budget = 3 * maxTokensPerTurn
	}
	c.ledger.mu.Lock()
	c.ledger.budgets[program] = budget
	c.ledger.mu.Unlock()
	if runaway {
		c.runawayProgram(program, budget, done)
		return
	}
	route := statelessRoute
	if rand.IntN(2) == 0 {
		route = retainedRoute
	}
	var last *turn
	for range 2 + rand.IntN(5) {
		select {
		case <-done:
			return
		default:
		}
		t := c.runTurn(program, route, budget, last, fmt.Sprintf("in%d ", rand.Int()))
		if t == nil {
			return
		}
		if route == retainedRoute {
			last = t
			c.ledger.mu.Lock()
			c.ledger.completed = append(c.ledger.completed, *t)
			c.ledger.mu.Unlock()
		}
		c.callTool("/act/", false)
		c.callTool("/read/", true)
	}
}

// runawayProgram sends 3 rounds of 12 concurrent turns of one program through all entries,
// which is more than its budget covers.
func (c *callers) runawayProgram(program string, budget int, done <-chan struct{}) {
	c.runTurn(program, statelessRoute, budget, nil, "x")
	for range 3 {
		var wait sync.WaitGroup
		for range 12 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				select {
				case <-done:
				default:
					c.runTurn(program, statelessRoute, budget, nil, "x")
				}
			}()
		}
		wait.Wait()
	}
}
