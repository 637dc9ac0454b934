package soak

import (
	"fmt"
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
	name, settings, log    string
	callers, ready, mesh   string
	digests, store, binary string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when cmd exits.
	exited chan struct{}
	// exitExpected reports whether the test asked the process to exit.
	exitExpected   bool
	incarnations   int
	unexpectedExit error
}

// shutdownGrace is the shutdown_grace of each entry.
const shutdownGrace = 4 * time.Second

func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newEntry(t *testing.T, dir, binary string, n int, store string) *entry {
	e := &entry{
		name: fmt.Sprintf("entry-%d", n), callers: freePort(t), ready: freePort(t), mesh: freePort(t), digests: freePort(t),
		store: store, binary: binary,
	}
	e.settings = filepath.Join(dir, e.name+".toml")
	e.log = filepath.Join(dir, e.name+".log")
	e.write(t, true)
	return e
}

// write writes the settings file; first is the value of first_start.
func (e *entry) write(t *testing.T, first bool) {
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
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return
	}
	if e.incarnations > 0 {
		e.write(t, false)
	}
	e.incarnations++
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(e.binary, "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
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
	e.signal(syscall.SIGCONT, false)
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
