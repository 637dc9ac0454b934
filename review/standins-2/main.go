// Command cases runs the scripted cases of the second independent review: the entries as separate processes, between
// stand-ins of the platform's store, the engines and the requesters. It writes what was sent, answered and run to a file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "desk.example"

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// note writes a line with the seconds since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world has what a case starts.
type world struct {
	rec      *record
	dir      string
	store    *store
	entries  []*entry
	engines  []*engine // those that end with the world
	arrivals *arrivals
	// trouble is set unless the case runs without its disruption.
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*world) (broken bool, err error){"6": rejoinedEarly, "7": unsentTurns, "8": claimsLost, "9": earlierBorn, "10": newestVersions}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	w := &world{rec: &record{file: file, start: time.Now()}, arrivals: &arrivals{}, trouble: os.Getenv("TROUBLE") != "0"}
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(w.dir)
	}
	w.rec.note("case %s, trouble %v, logs in %s", os.Args[1], w.trouble, w.dir)
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](w)
		done <- result{broken, err}
	}()
	select {
	case <-signals:
		w.rec.note("interrupted")
		return exitNotRun
	case <-time.After(115 * time.Second):
		w.rec.note("not ended within 115 s")
		return exitNotRun
	case r := <-done:
		w.noteArrivals()
		switch {
		case r.err != nil:
			w.rec.note("could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return exitNotRun
		case r.broken:
			w.rec.note("the rule was broken")
			fmt.Println("broken")
			return exitBroken
		}
	}
	w.rec.note("the rule held")
	fmt.Println("held")
	return exitHeld
}

// noteArrivals writes which engine ran which request.
func (w *world) noteArrivals() {
	for _, x := range w.arrivals.all() {
		w.rec.note("ran: request %s at %s, born %d, at %.3f", x.request, x.engine, x.born, x.at.Sub(w.rec.start).Seconds())
	}
}

// end ends all processes and forgets them.
func (w *world) end() {
	for _, e := range w.entries {
		e.kill()
	}
	for _, e := range w.engines {
		e.crash()
	}
	if w.store != nil {
		_ = w.store.server.Close()
	}
	w.entries, w.engines, w.store = nil, nil, nil
}

// startAll starts the store and entries, and waits until all are ready. prepare writes the first document and the engines'
// rows.
func (w *world) startAll(entries int, prepare func() error) error {
	var err error
	if w.store, err = newStore(); err != nil {
		return err
	}
	if err := prepare(); err != nil {
		return err
	}
	for i := range entries {
		e := newEntry(w.dir, fmt.Sprintf("front-zone-a-%d", i+1), w.store.address, w.rec)
		w.entries = append(w.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	if err := awaitReady(w.entries); err != nil {
		return err
	}
	w.rec.note("all entries are ready")
	return nil
}
