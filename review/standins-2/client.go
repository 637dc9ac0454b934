package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestIDs atomic.Int64

// newRequestID returns the id of a requester attempt.
func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+requestIDs.Add(1)) }

// answer is what a requester got.
type answer struct {
	id string
	// status is 0 if the connection ended without an answer.
	status int
	// events is the number of whole events of a stream, last the id of the last one; whole reports whether the answer
	// has its end.
	events int
	last   string
	whole  bool
	after  time.Duration
	err    error
}

// send sends one requester attempt on a new connection and reads its answer. onEvent is called for each event.
func send(address, method, path string, body string, header map[string]string, timeout time.Duration, onEvent func()) answer {
	a := answer{id: newRequestID()}
	d := net.Dialer{Timeout: time.Second}
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if s := resp.Header.Get("Retry-After"); s != "" {
		if v, err := time.ParseDuration(s + "s"); err == nil {
			a.after = v
		}
	}
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			a.last = id
		}
		if sc.Text() == "" && a.last != "" {
			a.events++
			if onEvent != nil {
				onEvent()
			}
		}
	}
	a.err = sc.Err()
	a.whole = a.err == nil
	return a
}
