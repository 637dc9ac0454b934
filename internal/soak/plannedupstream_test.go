package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// upstreamsPerService is how many upstreams each service has under planned work.
const upstreamsPerService = 2

// arrivals counts by request id how often the upstreams got a request.
type arrivals struct {
	mu   sync.Mutex
	byID map[string]int
}

func (a *arrivals) of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

// plannedUpstream takes as many milliseconds for a request as the path ends with, and never fails.
type plannedUpstream struct {
	id, service string
	arrivals    *arrivals
	server      *httptest.Server
}

func newPlannedUpstream(t *testing.T, id, service string, a *arrivals) *plannedUpstream {
	u := &plannedUpstream{id: id, service: service, arrivals: a}
	u.server = httptest.NewServer(u)
	t.Cleanup(func() {
		u.server.CloseClientConnections()
		u.server.Close()
	})
	return u
}

// row returns the row of the upstream in the platform's store; seq must grow.
func (u *plannedUpstream) row(seq int64) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":64,"state":"ready","cold-remaining-ms":0,"seq":%d,"born":1}`,
		u.service, u.server.Listener.Addr(), seq)
}

// ServeHTTP implements http.Handler.
func (u *plannedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.arrivals.mu.Lock()
	u.arrivals.byID[id]++
	u.arrivals.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	took := time.Duration(ms) * time.Millisecond
	w.Header().Set("X-Response-Seal", "seal."+id)
	if !strings.HasPrefix(u.service, "llm") {
		pause(took)
		_, _ = io.WriteString(w, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for i := first; i < plannedEvents; i++ {
		pause(took / plannedEvents)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventText(id, i, "v1"))
		w.(http.Flusher).Flush()
	}
}

// plannedEvents is the number of events of each stream under planned work.
const plannedEvents = 6
