package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// entry is one process of the deployed program.
type entry struct {
	name, dir, binary             string
	callers, ready, mesh, digests string
	store                         string
	first                         bool
	cmd                           *exec.Cmd
	exited                        chan struct{}
	rec                           *record
}

// nextPort is the port that freePort tries next, below the range of outgoing connections. Trials that run side by side begin at
// different ones.
var nextPort = 12000 + os.Getpid()%1200*16

// freePort returns a loopback address that is free for TCP and UDP, and no address twice.
func freePort() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
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
}

func newEntry(rec *record, dir, binary, name, store string) *entry {
	return &entry{name: name, dir: dir, binary: binary, callers: freePort(), ready: freePort(), mesh: freePort(), digests: freePort(), store: store, first: true, rec: rec}
}

// start starts the process with the settings of a small deployment.
func (e *entry) start() error {
	path := filepath.Join(e.dir, e.name+".toml")
	settings := fmt.Sprintf(`node = %q
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
shutdown_grace = "8s"
outage_list_grace = "2s"
upstream_heartbeat = "1200ms"
`, e.name, e.first, e.callers, e.ready, e.mesh, e.digests, e.store)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	e.first = false
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command(e.binary, "--settings", path)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(e.cmd, e.exited)
	e.rec.add("%s starts", e.name)
	return nil
}

// end sends a signal that ends the process and waits until it has.
func (e *entry) end(s syscall.Signal) {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Signal(s)
	<-e.exited
	e.cmd = nil
	e.rec.add("%s has ended by %v", e.name, s)
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
