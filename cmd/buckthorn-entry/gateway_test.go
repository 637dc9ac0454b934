package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/daemon"
)

// runMain is the variable of the environment that makes the test binary run main with a settings file.
const runMain = "BUCKTHORN_ENTRY_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(runMain); path != "" {
		os.Args = []string{"buckthorn-entry", "--settings", path}
		main()
	}
	os.Exit(m.Run())
}

// TestHangupDuringStartEndsNothing checks that SIGHUP does not end a process that still reads its settings. They come
// through a pipe, so that the process waits for them.
func TestHangupDuringStartEndsNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runMain+"="+path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process has opened it
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-time.After(100 * time.Millisecond)
	pipe.Close()
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	// The process may open the pipe more than once.
	for range 500 {
		if pipe, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			_, _ = pipe.WriteString("not settings")
			pipe.Close()
		}
		select {
		case <-ended:
		case <-time.After(10 * time.Millisecond):
			continue
		}
		break
	}
	_ = cmd.Process.Kill()
	<-ended
	if code := cmd.ProcessState.ExitCode(); code != daemon.ExitSettings {
		t.Errorf("the process ended with %v, want exit code %d for settings that are not valid", cmd.ProcessState, daemon.ExitSettings)
	}
}

// TestHangupDuringShutdownEndsNothing checks that SIGHUP after SIGTERM does not end the process, which
// would break off the calls that its graceful shutdown waits for.
func TestHangupDuringShutdownEndsNothing(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	watchSettings(ctx, filepath.Join(t.TempDir(), "settings.toml"), nil, notifyHangups())
	stop()
	<-time.After(100 * time.Millisecond)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-time.After(100 * time.Millisecond)
}
