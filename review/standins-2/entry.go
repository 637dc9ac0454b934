package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// entryBinary is the program of the deploy file, relative to the repository.
const entryBinary = "target/buckthorn-entry"

// entry is one buckthorn-entry process on a front machine.
type entry struct {
	name, settings, store               string
	callers, ready, mesh, digests, logs string
	grace                               time.Duration
	cmd                                 *exec.Cmd
	exited                              chan struct{}
	rec                                 *record
	starts                              int
}

// Ports are taken below the range from which the kernel gives them to outgoing connections.
const firstPort, lastPort = 12000, 32000

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freePort returns a loopback address whose port is free for TCP and UDP.
func freePort() string {
	for {
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = p.Close()
		return address
	}
}

func newEntry(dir, name, store string, rec *record) *entry {
	return &entry{
		name: name, settings: filepath.Join(dir, name+".toml"), logs: filepath.Join(dir, name+".log"), store: store,
		callers: freePort(), ready: freePort(), mesh: freePort(), digests: freePort(), grace: 8 * time.Second, rec: rec,
	}
}

// start writes the settings as deploy/entry.tmpl renders them, and starts the process. Only the first start of the whole
// system sets first_start, the pages' bootstrap.
func (e *entry) start() error {
	text := fmt.Sprintf(`node = %q
failure_domain = "zone-a"
first_start = %v
listen_callers = %q
listen_ready = %q
listen_mesh = %q
listen_digests = %q
table_address = %q
table_writes_per_second = 800
table_row_bytes = 65536
memory_mb = 154
shutdown_grace = "%s"
outage_list_grace = "2s"
upstream_heartbeat = "1200ms"
`, e.name, e.starts == 0, e.callers, e.ready, e.mesh, e.digests, e.store, e.grace)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(e.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(entryBinary, "--settings", e.settings) //nolint:gosec // the path of a temporary file
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.starts++
	e.cmd, e.exited = cmd, make(chan struct{})
	exited := e.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	e.rec.note("start %s", e.name)
	return nil
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// awaitReady waits until the readiness question of each entry is answered with 200.
func awaitReady(entries []*entry) error {
	for _, e := range entries {
		for until := time.Now().Add(10 * time.Second); !e.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after 10 s", e.name)
			}
		}
	}
	return nil
}

// isReady reports whether the readiness question is answered with 200.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
