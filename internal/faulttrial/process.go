package faulttrial

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is an entry or a side that runs as a process of its own.
type process struct {
	name     string
	binary   string
	settings string
	logPath  string
	httpAddr string

	command *exec.Cmd
	exited  chan struct{}
	err     error // the exit error, valid once exited is closed
}

// start starts the process; it may be called again after the exit.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "log of %s", p.name)
	}
	defer log.Close()
	p.command = exec.Command(p.binary, "--settings", p.settings) //nolint:gosec // the trial's own build
	p.command.Stdout = log
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process dies with the trial
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		p.err = p.command.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(s), "signal %v to %s", s, p.name)
}

// running reports whether the process was started and has not exited.
func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// waitExit waits for the exit and returns its error. It fails if the process still runs after
// limit.
func (p *process) waitExit(limit time.Duration) error {
	select {
	case <-p.exited:
		return errors.Wrapf(p.err, "exit of %s", p.name)
	case <-time.After(limit):
		return errors.Newf("%s has not exited after %v", p.name, limit)
	}
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.command.Process.Kill() // the process may have exited meanwhile
	<-p.exited
}

// pollInterval is the interval between two polls of a condition, such as readiness.
const pollInterval = 20 * time.Millisecond

// waitReady waits until the process reports itself ready on its readiness route.
func (p *process) waitReady(ctx context.Context) error {
	for {
		if ready(ctx, p.httpAddr) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%s was not ready before the limit, see %s", p.name, p.logPath)
		case <-p.exited:
			return errors.Newf("%s exited: %v, see %s", p.name, p.err, p.logPath)
		case <-time.After(pollInterval):
		}
	}
}

// ready reports whether the readiness route at the address returns status 200.
func ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

const module = "github.com/buckthornroute/buckthornroute"

// Build builds buckthorn-entry and buckthorn-side into a directory.
func Build(ctx context.Context, dir string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), //nolint:gosec // the trial's own directory
		module+"/cmd/buckthorn-entry", module+"/cmd/buckthorn-side")
	output, err := build.CombinedOutput()
	return errors.Wrapf(err, "go build: %s", output)
}
