package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// entry is one buckthorn-entry process.
type entry struct {
	name string
	// settings, log and binary are paths of files.
	settings, log, binary string
	// callers, ready, mesh and digests are the addresses on which the entry listens.
	callers, ready, mesh, digests string
	// store is the address of the proxy in front of the store.
	store string

	mu  sync.Mutex
	cmd *exec.Cmd // nil while the process does not run
	// exited is closed when cmd exits.
	exited chan struct{}
	// exitExpected reports whether the test asked the process to exit.
	exitExpected   bool
	incarnations   int   // starts so far
	unexpectedExit error // the last exit that the test had not asked for
	// disturbances are the times of its starts and signals.
	disturbances []time.Time
}

// disturbed records that the process is started or signalled.
func (e *entry) disturbed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbances = append(e.disturbances, time.Now())
}

// disturbedAt reports whether the process was started or signalled less than limitNotice before.
func (e *entry) disturbedAt(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range e.disturbances {
		if !d.After(at) && at.Sub(d) < limitNotice {
			return true
		}
	}
	return false
}

// shutdownGrace is the shutdown_grace of each entry.
const shutdownGrace = 4 * time.Second

// The ports of the entries lie between firstPort and lastPort. That is below the range from
// which Linux by default gives ports to outgoing connections and to listeners on port 0 (32768
// and up), so the kernel gives no entry's port away before the entry starts or while it is down.
const firstPort, lastPort = 12000, 32000

// nextPort is the port that freePort probes next. It begins at a random port, so that two test
// processes on one machine rarely probe the same ones.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freePort returns a loopback address whose port is free for TCP and UDP. It returns no address
// twice until it has probed all ports.
func freePort(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort == lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		p, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		p.Close()
		return address
	}
	t.Fatalf("no free port from %d to %d", firstPort, lastPort-1)
	return ""
}

// TestEntryPortsAreDistinct guards against an entry that cannot start because another listener
// of the trial has its port: the kernel may give a port again as soon as the listener that
// probed it is closed.
func TestEntryPortsAreDistinct(t *testing.T) {
	given := map[string]bool{}
	for range 1000 {
		address := freePort(t)
		if given[address] {
			t.Fatalf("address %s was given twice", address)
		}
		given[address] = true
	}
}

// buildEntry builds buckthorn-entry and returns the path of the binary.
func buildEntry(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "buckthorn-entry")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/buckthornroute/buckthornroute/cmd/buckthorn-entry").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func newEntry(t *testing.T, dir, binary string, n int, store string) *entry {
	e := &entry{
		name: fmt.Sprintf("entry-%d", n), callers: freePort(t), ready: freePort(t), mesh: freePort(t), digests: freePort(t),
		store: store, binary: binary,
	}
	e.settings = filepath.Join(dir, e.name+".toml")
	e.log = filepath.Join(dir, e.name+".log")
	e.writeSettings(t, true)
	return e
}

// writeSettings writes the settings file; first is the value of first_start.
func (e *entry) writeSettings(t *testing.T, first bool) {
	t.Helper()
	text := fmt.Sprintf(`node = %q
failure_domain = "z"
first_start = %v
listen_callers = %q
listen_ready = %q
listen_mesh = %q
listen_digests = %q
table_address = %q
table_writes_per_second = 800
memory_mb = 200
shutdown_grace = "%v"
`, e.name, first, e.callers, e.ready, e.mesh, e.digests, e.store, shutdownGrace)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the process unless it runs. Only the first start of an entry sets
// first_start.
func (e *entry) start(t *testing.T) {
	e.disturbed()
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return
	}
	if e.incarnations > 0 {
		e.writeSettings(t, false)
	}
	e.incarnations++
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(e.binary, "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// The process is killed when the test process ends without its cleanup.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	e.cmd, e.exitExpected = cmd, false
	exited := make(chan struct{})
	e.exited = exited
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		if !e.exitExpected {
			e.unexpectedExit = fmt.Errorf("%s exited by itself, see %s: %w", e.name, e.log, err)
		}
		e.cmd = nil
		e.mu.Unlock()
		close(exited)
	}()
}

// signal sends a signal; exits reports whether the process is expected to exit by it.
func (e *entry) signal(s syscall.Signal, exits bool) {
	e.disturbed()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	e.exitExpected = e.exitExpected || exits
	_ = e.cmd.Process.Signal(s) // the process may have exited meanwhile
}

// end sends a signal that ends the process and waits for the exit. A process that still
// runs 2 s after its shutdown grace is killed, and end returns an error.
func (e *entry) end(s syscall.Signal) error {
	e.mu.Lock()
	exited, running := e.exited, e.cmd != nil
	e.mu.Unlock()
	if !running {
		return nil
	}
	e.signal(syscall.SIGCONT, false) // a paused process would handle SIGTERM only when resumed
	e.signal(s, true)
	select {
	case <-exited:
		return nil
	case <-time.After(shutdownGrace + 2*time.Second):
		e.signal(syscall.SIGKILL, true)
		<-exited
		return fmt.Errorf("%s still ran after its shutdown grace, signal %v", e.name, s)
	}
}

// isReady reports whether the entry answers its readiness probe with 200.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logEnd returns the last 1,000 bytes of the entry's log.
func (e *entry) logEnd() string {
	text, err := os.ReadFile(e.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-1000):])
}
