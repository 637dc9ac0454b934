package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// answer is what a requester got for one attempt.
type answer struct {
	id     string
	status int
	// whole is set if the answer ended as complete, events the events that the requester received.
	whole  bool
	events int
	// retry is the Retry-After of a refusal.
	retry time.Duration
	err   error
}

// client sends each attempt on a new connection.
type client struct{ rec *record }

// send sends one attempt and reads its answer.
func (c *client) send(e *entry, method, path string, timeout time.Duration, body string, headers map[string]string) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "portal.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	hc := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := hc.Do(req)
	if err != nil {
		a.err = err
		c.rec.add("request %s %s at %s: %v", a.id, path, e.name, err)
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	var seconds float64
	if _, err := fmt.Sscan(resp.Header.Get("Retry-After"), &seconds); err == nil {
		a.retry = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "data:") {
				a.events++
			}
		}
		a.err = lines.Err()
	} else {
		_, a.err = io.Copy(io.Discard, resp.Body)
	}
	a.whole = a.err == nil
	if errors.Is(a.err, io.ErrUnexpectedEOF) {
		a.err = errors.New("broken off")
	}
	c.rec.add("request %s %s at %s: status %d, %d events, whole %v", a.id, path, e.name, a.status, a.events, a.whole)
	return a
}
