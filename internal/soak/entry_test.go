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
	// ended is closed at the exit of cmd.
	ended chan struct{}
	// expected says that the exit was asked for.
	expected bool
	lives    int
	surprise error
}

const grace = 4 * time.Second

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
`, e.name, first, e.callers, e.ready, e.mesh, e.digests, e.store, grace)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the process; it is a no-op while one runs.
func (e *entry) start(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return
	}
	if e.lives > 0 {
		e.write(t, false)
	}
	e.lives++
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
	e.cmd, e.expected = cmd, false
	ended := make(chan struct{})
	e.ended = ended
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		if !e.expected {
			e.surprise = fmt.Errorf("%s ended by itself, see %s: %w", e.name, e.log, err)
		}
		e.cmd = nil
		e.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal; ending says that the process is to end by it.
func (e *entry) signal(s syscall.Signal, ending bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	e.expected = e.expected || ending
	_ = e.cmd.Process.Signal(s) // it may have ended meanwhile
}

// end stops the process by a signal and waits; one that outlives its grace is reported.
func (e *entry) end(s syscall.Signal) error {
	e.mu.Lock()
	ended, running := e.ended, e.cmd != nil
	e.mu.Unlock()
	if !running {
		return nil
	}
	e.signal(syscall.SIGCONT, false)
	e.signal(s, true)
	select {
	case <-ended:
		return nil
	case <-time.After(grace + 2*time.Second):
		e.signal(syscall.SIGKILL, true)
		<-ended
		return fmt.Errorf("%s outlived its grace after %v", e.name, s)
	}
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
