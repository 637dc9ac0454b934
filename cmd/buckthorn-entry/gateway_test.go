package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestHangupDuringShutdownEndsNothing checks that SIGHUP after SIGTERM does not end the process, which
// would break off the calls that its graceful shutdown waits for.
func TestHangupDuringShutdownEndsNothing(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	watchSettings(ctx, filepath.Join(t.TempDir(), "settings.toml"), nil)
	stop()
	<-time.After(100 * time.Millisecond)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-time.After(100 * time.Millisecond)
}
