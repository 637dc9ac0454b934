package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// tokensPerEvent is the same for all model engines.
const tokensPerEvent = 22

// engine is a stand-in of one engine. It registers in the store as the pages say.
type engine struct {
	id, service, zone string
	address           string
	store             *store
	rec               *record
	// work is how long a plain request takes, eventGap the pause between the events of a stream.
	work, eventGap time.Duration
	// events is the number of events of a stream.
	events int

	mu     sync.Mutex
	server *http.Server
	state  string
	born   int64
	seq    int
	stop   chan struct{}
	ran    []run
	// onPoison, if set, is called with the id of a request that crashes the engine as it begins to run it.
	onPoison func(id string)
}

// run is one request that an engine began to work on.
type run struct {
	id, body string
	at       time.Time
}

func (e *engine) runs() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.ran...)
}

// start starts the engine at its address, or at a new one at the first start. clock is the engine's time of day at the start.
func (e *engine) start(clock time.Time) error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.mu.Lock()
	e.state, e.born, e.seq, e.stop = "ready", clock.UnixMilli(), 0, make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server, stop := e.server, e.stop
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.beat()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				e.beat()
			}
		}
	}()
	e.rec.add("engine %s starts, service %s, address %s, born %d", e.id, e.service, e.address, e.born)
	return nil
}

// heartbeat is the time between two rows of an engine.
const heartbeat = 1200 * time.Millisecond

// beat writes the engine's row.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stop:
		return
	default:
	}
	e.seq++
	e.store.put("servers", e.id, e.rowLocked())
}

// rowLocked returns the engine's row. e.mu must be held.
func (e *engine) rowLocked() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":16,"state":%q,"cold-remaining-ms":0,"seq":%d,"born":%d}`,
		e.service, e.address, e.zone, e.state, e.seq, e.born)
}

// crash ends the engine's process at once: its connections are reset and its row gets no more beats.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stop)
	_ = e.server.Close()
	e.rec.add("engine %s crashes", e.id)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != e.id {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.ran = append(e.ran, run{id, string(body), time.Now()})
	e.mu.Unlock()
	e.rec.add("engine %s (%s) runs request %s", e.id, e.service, id)
	if e.onPoison != nil && string(body) == "poison" {
		e.onPoison(id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal."+id)
	if e.events == 0 {
		time.Sleep(e.work)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= e.events; i++ {
		select {
		case <-time.After(e.eventGap):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		w.(http.Flusher).Flush()
	}
}

// lateBeat writes the engine's row by a call that gets no answer and is done some time later.
func (e *engine) lateBeat(after time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	row := e.rowLocked()
	e.rec.add("a beat of engine %s, seq %d, gets no answer; the store does it %v later", e.id, e.seq, after)
	time.AfterFunc(after, func() {
		e.store.put("servers", e.id, row)
		e.rec.add("the store does the late beat of engine %s", e.id)
		// No other beat follows.
		time.AfterFunc(3*heartbeat, func() {
			e.store.remove("servers", e.id)
			e.rec.add("the entry of engine %s is removed after three beats of silence", e.id)
		})
	})
}

// remove removes the engine's row, which gets no more beats; the engine goes on serving. It returns when the store has
// acknowledged that.
func (e *engine) remove() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stop)
	e.store.remove("servers", e.id)
	e.rec.add("the entry of engine %s is removed, acknowledged by the store; it goes on serving", e.id)
	return time.Now()
}
