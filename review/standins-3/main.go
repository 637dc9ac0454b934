// Command standins-3 has the stand-ins of review cases 12 to 15, and plays one case. It prints the result and exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// trial is one play of a case.
type trial struct {
	rec     *record
	store   *store
	entries []*entry
	engines []*engine
	client  *client
	dir     string
	binary  string
	// trouble is false if the case is played without its disruption.
	trouble bool
	version int
}

var cases = map[string]func(*trial) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE ENTRY-BINARY FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, folder string) int {
	file, err := os.Create(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	t := &trial{rec: &record{file: file, start: time.Now()}, binary: binary, trouble: os.Getenv("TROUBLE") != "0"}
	t.client = &client{t.rec}
	if t.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		for _, e := range t.entries {
			e.end(syscall.SIGKILL)
		}
		_ = os.RemoveAll(t.dir)
	}()
	if t.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := cases[name](t)
	switch {
	case err != nil:
		t.rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		t.rec.add("BROKEN")
		return 1
	default:
		t.rec.add("the rule held")
		return 0
	}
}

// config writes the next desired state.
func (t *trial) config(routes, services string) {
	t.version += 3
	t.store.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, t.version, routes, services))
	t.rec.add("the operator's desired state %d is acknowledged: routes %s services %s", t.version, routes, services)
}

// startEntries starts n entries and waits until they are ready and have been in touch for some time.
func (t *trial) startEntries(n int) error {
	for i := range n {
		e := newEntry(t.rec, t.dir, t.binary, fmt.Sprintf("entry-%d", i+1), t.store.address)
		t.entries = append(t.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return t.awaitReady()
}

func (t *trial) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range t.entries {
			if e.cmd != nil && e.isReady() {
				ready++
			}
		}
		if ready == len(t.entries) {
			time.Sleep(4 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready")
}

// startEngine starts an engine.
func (t *trial) startEngine(id, service, zone string, events int, gap time.Duration) (*engine, error) {
	e := &engine{id: id, service: service, zone: zone, store: t.store, rec: t.rec, events: events, eventGap: gap, work: 60 * time.Millisecond}
	t.engines = append(t.engines, e)
	return e, e.start(time.Now())
}
