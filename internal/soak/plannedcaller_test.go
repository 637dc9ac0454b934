package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// lossSlack is how long after its last byte a request that was not sent on may still be dropped
	// with its connection: it crossed the close.
	lossSlack = 200 * time.Millisecond
	// announceSlack is how long after its last byte a request may still cross the head of an answer that says that the
	// connection ends. Beside a stream, the end itself comes later.
	announceSlack = 20 * time.Millisecond
	// answerLimit is how long a caller waits for an answer.
	answerLimit = 12 * time.Second
)

// plannedRequest is a request of a caller, sent on a connection of its own or with others.
type plannedRequest struct {
	id, route, mode string
	text            string
	// begun is when the first byte was sent, sent when the last one was.
	begun, sent time.Time
}

// plannedReply is how a request ended.
type plannedReply struct {
	status int // 0 without an answer
	closes bool
	err    error // set unless the answer is complete
	headAt time.Time
	at     time.Time
}

// plannedCaller uses connections to one entry until the process is gone, and then connects again.
type plannedCaller struct {
	x   *plannedTrial
	at  *plannedEntry
	rng *rand.Rand
	// kept is set if it goes on with its connection after an answer.
	kept bool
	// program is the program of its kept turns, previous the turn to go on from.
	program, previous string
	turns             int
}

func (c *plannedCaller) run(stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", c.at.callers, time.Second)
		if err != nil {
			pause(10 * time.Millisecond)
			continue
		}
		c.use(conn, stopped)
		conn.Close()
	}
}

// use sends requests until the connection ends or an answer says that it does.
func (c *plannedCaller) use(conn net.Conn, stopped <-chan struct{}) {
	br := bufio.NewReader(conn)
	for {
		open := c.exchange(conn, br)
		if !open || !c.kept {
			return
		}
		wait := time.Duration(c.rng.IntN(30)) * time.Millisecond
		if c.rng.IntN(3) == 0 {
			wait = time.Duration(c.rng.Int64N(int64(c.x.document.idleTimeout() * 4 / 5)))
		}
		select {
		case <-stopped:
			return
		case <-time.After(wait):
		}
	}
}

// newRequest returns a request of a random route that takes from 1 ms to 1 s.
func (c *plannedCaller) newRequest(mode string) *plannedRequest {
	r := &plannedRequest{id: c.x.nextID(), route: plannedRoutes[c.rng.IntN(len(plannedRoutes))], mode: mode}
	ms := []int{1, 5, 40, 150, 300, 600, 1000}[c.rng.IntN(7)]
	header, body := "", strings.Repeat("x", 1+c.rng.IntN(3000))
	if r.route == "ask" || r.route == "draft" {
		if c.turns++; c.program == "" || c.turns > 6 {
			c.program, c.previous, c.turns = "p"+r.id, "", 0
		}
		header = fmt.Sprintf("X-Program-Id: %s\r\nX-Session-Id: %s\r\nX-Token-Budget: 100000\r\nX-Token-Count: 100,%d\r\nX-Model: m\r\nX-Prompt-Prefix: a1:50\r\n", c.program, c.program, maxTokensPerTurn)
		if r.route == "draft" && c.previous != "" {
			header += "X-Previous-Turn: " + c.previous + "\r\n"
		}
	}
	r.text = fmt.Sprintf("POST /%s/%d HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 8000\r\n%sContent-Length: %d\r\n\r\n%s", r.route, ms, r.id, header, len(body), body)
	return r
}

// exchange sends one request, or two without waiting for the answer in between, and reads the answers. It reports
// whether the connection can be used again.
func (c *plannedCaller) exchange(conn net.Conn, br *bufio.Reader) bool {
	var requests []*plannedRequest
	send := func(r *plannedRequest, text string) bool {
		if r.begun.IsZero() {
			r.begun = time.Now()
		}
		_, err := io.WriteString(conn, text)
		r.sent = time.Now()
		return err == nil
	}
	var ok bool
	switch k := c.rng.IntN(10); {
	case k == 0: // two at once
		a, b := c.newRequest("first of two at once"), c.newRequest("second of two at once")
		a.begun, b.begun = time.Now(), time.Now()
		ok = send(a, a.text+b.text)
		b.sent = a.sent
		requests = append(requests, a, b)
	case k == 1: // the second while the first is being answered
		a, b := c.newRequest("first of two"), c.newRequest("second of two")
		if ok = send(a, a.text); ok {
			requests = append(requests, a)
			pause(time.Duration(c.rng.IntN(100)) * time.Millisecond)
			if send(b, b.text) {
				requests = append(requests, b)
			}
		}
	case k <= 4: // in two parts, cut after the head or somewhere
		r := c.newRequest("in two parts")
		at := strings.Index(r.text, "\r\n\r\n") + 4
		if c.rng.IntN(2) == 0 {
			at = 1 + c.rng.IntN(len(r.text)-1)
		}
		if ok = send(r, r.text[:at]); ok {
			pause(time.Duration(c.rng.IntN(150)) * time.Millisecond)
			ok = send(r, r.text[at:])
		}
		requests = append(requests, r)
	default:
		r := c.newRequest("whole")
		ok = send(r, r.text)
		requests = append(requests, r)
	}
	if !ok { // not whole
		c.x.count("not whole", 1)
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerLimit))
	closed, broken := false, false
	status := 0             // of the answer before
	var announced time.Time // when the head of an answer said that the connection ends
	for _, r := range requests {
		p := readPlanned(br)
		if broken && p.err != nil {
			// The only way to break an answer off is to end the connection.
			c.x.count("behind an answer that broke off", 1)
			c.x.mustNotRun(r)
			continue
		}
		if !announced.IsZero() && p.status == 0 && announced.Sub(r.sent) < announceSlack+time.Duration(c.x.lag.Load()) {
			c.x.count(fmt.Sprintf("crossed an answer that closes, %s, first answered %d", r.mode, status), 1)
			c.x.mustNotRun(r)
			continue
		}
		if p.closes {
			announced = p.headAt
		}
		if closed && p.status != 0 {
			c.x.count("answered behind an answer that closes", 1)
		}
		c.x.record(c.at, r, p)
		status = p.status
		closed, broken = closed || p.closes || p.err != nil, p.status != 0 && p.err != nil
		if r.route == "draft" && p.status == http.StatusOK && p.err == nil {
			c.previous = r.id
		}
	}
	return !closed
}

// readPlanned reads one answer.
func readPlanned(br *bufio.Reader) plannedReply {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return plannedReply{err: err, at: time.Now()}
	}
	defer resp.Body.Close()
	p := plannedReply{status: resp.StatusCode, closes: resp.Close, headAt: time.Now()}
	_, p.err = io.Copy(io.Discard, resp.Body)
	p.at = time.Now()
	return p
}
