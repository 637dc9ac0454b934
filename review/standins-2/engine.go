package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the engines' heartbeat-ms.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that has reached an engine and was not answered with 421.
type arrival struct {
	engine, request string
	born            int64
	at              time.Time
}

// arrivals are the requests that have reached all engines of a case.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// engine is one incarnation of an engine stand-in.
type engine struct {
	id, service, version, address string
	born                          int64
	tokensPerEvent                int
	eventGap                      time.Duration
	store                         *store
	arrivals                      *arrivals
	server                        *http.Server
	darkness

	mu    sync.Mutex
	seq   int64
	state string
	quit  chan struct{}
}

// startEngine starts an incarnation whose clock is off by a time, at an address, and registers it.
func startEngine(e *engine, clock time.Duration) (*engine, error) {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	e.address, e.born, e.state, e.quit = l.Addr().String(), time.Now().Add(clock).UnixMilli(), "ready", make(chan struct{})
	e.listener = l
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	e.register(e.state)
	go e.beat()
	return e, nil
}

// register writes the engine's row and returns the time of the store's ack.
func (e *engine) register(state string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	e.state = state
	return e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-a", "version": e.version, "slots": 16, "state": state,
		"cold-remaining-ms": 0, "seq": e.seq, "born": e.born,
	})
}

func (e *engine) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-e.quit:
			return
		case <-t.C:
			e.mu.Lock()
			state := e.state
			e.mu.Unlock()
			e.register(state)
		}
	}
}

// crash ends the incarnation at once. Its row stays.
func (e *engine) crash() {
	close(e.quit)
	_ = e.server.Close()
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if e.dark.Load() { // the bytes have not arrived
		<-r.Context().Done()
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Instance-Id", e.id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.arrivals.add(arrival{e.id, r.Header.Get("X-Request-Id"), e.born, time.Now()})
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+r.Header.Get("X-Request-Id"))
	if e.tokensPerEvent == 0 {
		time.Sleep(20 * time.Millisecond) // work ms
		fmt.Fprintf(w, "%s", strings.Repeat("x", 800))
		return
	}
	e.stream(w, r)
}

// stream generates as many tokens as the request allows.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	most, err := strconv.Atoi(out)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first; (id+1)*e.tokensPerEvent <= most; id++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.eventGap):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("t", 130))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
