package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// standstillRequests is how many requests arrive on connections of either kind while the process stands still.
const standstillRequests = 30

// TestRequestsLostAsIdleTimeoutPassesInStandstill guards against requests that are dropped unread, since the idle timeout of
// their connections passed while the process stood still.
func TestRequestsLostAsIdleTimeoutPassesInStandstill(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	x, e := startStandstill(t, shortIdle)
	kept := x.openKept(e, standstillRequests)
	e.signal(syscall.SIGSTOP, false)
	stopped := time.Now()
	// The last third arrives once the timeout has passed.
	replies := x.sendSpread(kept, stopped, shortIdle*3/2)
	pause(time.Until(stopped.Add(shortIdle*3/2 + lossSlack + 100*time.Millisecond)))
	e.signal(syscall.SIGCONT, false)
	x.checkAnswered("on a kept connection", replies())
}

// TestRequestsLostAsDrainDelayEndsInStandstill guards against requests that are dropped unread, or with a connection that
// was not accepted, since the drain delay ended while the process stood still.
func TestRequestsLostAsDrainDelayEndsInStandstill(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	x, e := startStandstill(t, longTimeout)
	kept := x.openKept(e, standstillRequests)
	stop := time.Now()
	e.signal(syscall.SIGTERM, true)
	const early = 150 * time.Millisecond // from the standstill to the end of the drain delay
	pause(time.Until(stop.Add(drainDelay - early)))
	e.signal(syscall.SIGSTOP, false)
	begun := time.Now()
	var fresh []net.Conn
	for range standstillRequests {
		fresh = append(fresh, x.dial(e))
	}
	onKept := x.sendSpread(kept, begun, 2*early)
	onNew := x.sendSpread(fresh, begun, 2*early)
	pause(time.Until(begun.Add(2*early + lossSlack + 100*time.Millisecond)))
	e.signal(syscall.SIGCONT, false)
	x.checkAnswered("on a kept connection", onKept())
	x.checkAnswered("on a new connection", onNew())
}

// startStandstill starts one entry with the idle timeout.
func startStandstill(t *testing.T, idle time.Duration) (*plannedTrial, *plannedEntry) {
	t.Helper()
	x := newPlannedTrial(t, buildEntry(t), 1, 1)
	x.document.idle = idle
	x.document.publish("idle timeout")
	e := x.entries[0]
	e.start(t)
	x.awaitReady(e)
	return x, e
}

func (x *plannedTrial) dial(e *plannedEntry) net.Conn {
	x.t.Helper()
	c, err := net.Dial("tcp", e.callers)
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { c.Close() })
	return c
}

// smallRequest is a request that takes 1 ms.
func (x *plannedTrial) smallRequest() string {
	return fmt.Sprintf("POST /act/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 8000\r\nContent-Length: 4\r\n\r\nbody", x.nextID())
}

// openKept opens connections on which one request has been answered each.
func (x *plannedTrial) openKept(e *plannedEntry, n int) []net.Conn {
	x.t.Helper()
	var list []net.Conn
	for range n {
		list = append(list, x.dial(e))
	}
	for i, c := range list {
		_, _ = io.WriteString(c, x.smallRequest())
		if p := readPlanned(bufio.NewReader(c)); p.status != 200 || p.closes || p.err != nil {
			x.t.Fatalf("first request on connection %d: %+v", i, p)
		}
	}
	return list
}

// sendSpread sends a request on each connection, spread evenly over the interval from begun. The function that it
// returns waits for the answers.
func (x *plannedTrial) sendSpread(conns []net.Conn, begun time.Time, over time.Duration) func() []plannedReply {
	replies := make([]plannedReply, len(conns))
	var all sync.WaitGroup
	for i, c := range conns {
		all.Go(func() {
			pause(time.Until(begun.Add(over * time.Duration(i) / time.Duration(len(conns)))))
			if _, err := io.WriteString(c, x.smallRequest()); err != nil {
				replies[i].err = err
				return
			}
			_ = c.SetReadDeadline(time.Now().Add(answerLimit))
			replies[i] = readPlanned(bufio.NewReader(c))
		})
	}
	return func() []plannedReply {
		all.Wait()
		return replies
	}
}

// checkAnswered checks that each request got a whole answer.
func (x *plannedTrial) checkAnswered(what string, replies []plannedReply) {
	x.t.Helper()
	lost, statuses := 0, map[int]int{}
	for _, p := range replies {
		if p.err != nil {
			lost++
			continue
		}
		statuses[p.status]++
	}
	x.t.Logf("%s: answers by status %v", what, statuses)
	if lost > 0 {
		x.t.Errorf("%s: %d of %d requests got neither an answer nor a refusal", what, lost, len(replies))
	}
}

// TestAnswersLostAsTimeoutPassesInStandstill guards against calls in progress that get no answer, since the time by which it
// had to be written passed while the process stood still.
func TestAnswersLostAsTimeoutPassesInStandstill(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	x, e := startStandstill(t, longTimeout)
	x.document.short["act"] = true
	x.document.publish("timeout shortened")
	pause(documentNotice)
	var conns []net.Conn
	for range standstillRequests {
		conns = append(conns, x.dial(e))
	}
	replies := make([]plannedReply, len(conns))
	var all sync.WaitGroup
	for i, c := range conns {
		all.Go(func() {
			_, _ = io.WriteString(c, strings.Replace(x.smallRequest(), "/act/1 ", "/act/300 ", 1))
			_ = c.SetReadDeadline(time.Now().Add(answerLimit))
			replies[i] = readPlanned(bufio.NewReader(c))
		})
	}
	pause(100 * time.Millisecond)
	e.signal(syscall.SIGSTOP, false)
	pause(shortTimeout + 1300*time.Millisecond)
	e.signal(syscall.SIGCONT, false)
	all.Wait()
	x.checkAnswered("in progress", replies)
}
