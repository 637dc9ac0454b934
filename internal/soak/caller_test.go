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

// turn is a turn that was answered whole.
type turn struct {
	id, sent, output string
}

// ledgerOf is what the callers saw, for the checks.
type ledgerOf struct {
	mu sync.Mutex
	// promised are the requests that were answered as not run.
	promised map[string]int
	// tokens are those handed to callers by program; budgets is each program's.
	tokens, budgets map[string]int
	faults          []string
	whole           []turn
	answered        int
}

func (l *ledgerOf) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) < 20 {
		l.faults = append(l.faults, fmt.Sprintf(format, args...))
	}
}

// callers drive programs against the entries and check each answer.
type callers struct {
	entries []*entry
	ledger  *ledgerOf
	runs    *runs
	ids     atomic.Int64
	prefix  string
	client  *http.Client
}

func newCallers(entries []*entry, l *ledgerOf, r *runs, prefix string) *callers {
	return &callers{
		entries: entries, ledger: l, runs: r, prefix: prefix,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}},
	}
}

func (c *callers) id() string { return fmt.Sprintf("%s-%d", c.prefix, c.ids.Add(1)) }

// answer is what came back; whole says that it ended as a complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	whole  bool
}

// send makes one attempt at one entry.
func (c *callers) send(at *entry, method, path, id, body string, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.callers+path, strings.NewReader(body))
	if err != nil {
		c.ledger.fault("make request: %v", err)
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
	a := answer{status: resp.StatusCode, header: resp.Header, body: data, whole: err == nil}
	if a.whole && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusPaymentRequired) {
		c.ledger.mu.Lock()
		c.ledger.promised[id] = a.status
		c.ledger.mu.Unlock()
	}
	if a.status == http.StatusOK && a.header.Get("X-Response-Seal") != "seal."+id {
		c.ledger.fault("%s: answered with the seal %q", id, a.header.Get("X-Response-Seal"))
	}
	return a
}

func (c *callers) any() *entry { return c.entries[rand.IntN(len(c.entries))] }

// plain makes a call of a tool, as a caller does: again only when that is allowed.
func (c *callers) plain(path string, repeatable bool) {
	body := fmt.Sprintf("tool %d", rand.Int())
	method := "POST"
	if repeatable {
		method, body = "GET", ""
	}
	for range 3 {
		id := c.id()
		a := c.send(c.any(), method, path+id, id, body, nil)
		switch {
		case a.status == http.StatusOK:
			if a.whole && string(a.body) != plainText(id, path+id, body) {
				c.ledger.fault("%s: answered %q", id, a.body)
			}
			return
		case a.status == http.StatusServiceUnavailable || repeatable:
			pause(50 * time.Millisecond)
		case a.status == http.StatusNotFound:
			c.ledger.fault("%s: no route %s", id, path)
			return
		default:
			return
		}
	}
}

// runTurn makes one turn; it returns nil when it was not answered whole.
func (c *callers) runTurn(program, route string, budget int, last *turn, input string) *turn {
	for range 3 {
		id := c.id()
		h := map[string]string{
			"X-Program-Id": program, "X-Session-Id": program, "X-Token-Budget": fmt.Sprint(budget),
			"X-Token-Count": fmt.Sprintf("100,%d", mostTokens), "X-Model": "m", "X-Prompt-Prefix": "a1:50," + fmt.Sprintf("%x:50", rand.Uint32()),
		}
		if last != nil {
			h["X-Previous-Turn"] = last.id
		}
		a := c.send(c.any(), "POST", route, id, input, h)
		output := c.checkStream(program, id, a)
		switch {
		case a.status == http.StatusOK && a.whole:
			t := &turn{id: id, sent: input, output: output}
			if last != nil {
				t.sent = last.sent + last.output + input
			}
			c.checkInput(id, route, t.sent, input)
			return t
		case a.status == http.StatusPaymentRequired:
			return nil
		case a.status == http.StatusNotFound:
			c.ledger.fault("%s: 404 for a turn that continues from %+v", id, last)
			return nil
		}
		pause(time.Duration(50+rand.IntN(100)) * time.Millisecond)
	}
	return nil
}

// checkStream checks the events that came and counts their tokens.
func (c *callers) checkStream(program, id string, a answer) string {
	if a.status != http.StatusOK {
		return ""
	}
	var output strings.Builder
	n := 0
	scan := bufio.NewScanner(bytes.NewReader(a.body))
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data != eventText(id, n) {
			c.ledger.fault("%s: event %q where %q is due", id, data, eventText(id, n))
		}
		output.WriteString(data + "\n")
		n++
	}
	if a.whole && n != eventsOf(id) {
		c.ledger.fault("%s: a stream of %d events looks whole with %d", id, eventsOf(id), n)
	}
	c.ledger.mu.Lock()
	c.ledger.tokens[program] += n * tokensPerEvent
	c.ledger.answered++
	c.ledger.mu.Unlock()
	return output.String()
}

// checkInput checks what the upstream was sent for a turn.
func (c *callers) checkInput(id, route, chain, input string) {
	want := input
	if route == keptRoute {
		want = chain
	}
	for _, r := range c.runs.of(id) {
		if r.body != want {
			c.ledger.fault("%s: the upstream got %d bytes, not the %d of its chain", id, len(r.body), len(want))
		}
	}
}

const (
	keptRoute = "/draft/1"
	openRoute = "/ask/1"
)

// program runs one program from its first turn to its end.
func (c *callers) program(done <-chan struct{}) {
	program := "p" + c.id()
	budget := (8 + rand.IntN(8)) * mostTokens
	runaway := rand.IntN(8) == 0
	if runaway {
		budget = 3 * mostTokens
	}
	c.ledger.mu.Lock()
	c.ledger.budgets[program] = budget
	c.ledger.mu.Unlock()
	if runaway {
		c.runAway(program, budget, done)
		return
	}
	route := openRoute
	if rand.IntN(2) == 0 {
		route = keptRoute
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
		if route == keptRoute {
			last = t
			c.ledger.mu.Lock()
			c.ledger.whole = append(c.ledger.whole, *t)
			c.ledger.mu.Unlock()
		}
		c.plain("/act/", false)
		c.plain("/read/", true)
	}
}

// runAway sends many turns of one program at once, through all entries.
func (c *callers) runAway(program string, budget int, done <-chan struct{}) {
	c.runTurn(program, openRoute, budget, nil, "x")
	for range 3 {
		var wait sync.WaitGroup
		for range 12 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				select {
				case <-done:
				default:
					c.runTurn(program, openRoute, budget, nil, "x")
				}
			}()
		}
		wait.Wait()
	}
}
