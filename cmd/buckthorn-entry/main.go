// Command buckthorn-entry runs on an entry VM behind the platform's load balancer and
// serves callers and operators. Its settings are in one TOML file; docs/OPERATIONS.md
// describes them. The settings choose the kind of entry: one that is the home of programs,
// which means that it owns and runs them, or a gateway, whose callers drive their own
// programs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/entry"
	"github.com/buckthornroute/buckthornroute/internal/settings"
)

func main() {
	hangups := notifyHangups()
	c := daemon.Command("buckthorn-entry", "run an entry, which serves callers and operators", func(ctx context.Context, path string) error {
		return run(ctx, path, hangups)
	})
	os.Exit(daemon.Main(c, os.Args, os.Stderr))
}

// notifyHangups returns a channel that gets SIGHUP from now on. It stays notified until the process ends: by default
// SIGHUP would end the process, while it starts or in the middle of its graceful shutdown.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// run runs the kind of entry that the settings choose. A gateway reads its settings again after each signal of hangups.
func run(ctx context.Context, path string, hangups <-chan os.Signal) error {
	kind, err := settings.KindOf(path)
	if err != nil {
		return err
	}
	if kind == settings.KindGateway {
		return runGateway(ctx, path, hangups)
	}
	signal.Reset(syscall.SIGHUP)
	return runHome(ctx, path)
}

// runHome runs an entry that is the home of programs.
func runHome(ctx context.Context, path string) error {
	cfg, err := settings.LoadEntry(path)
	if err != nil {
		return err
	}
	env, shutdown, err := daemon.Setup(ctx, daemon.Process{
		Service:   "buckthorn-entry",
		File:      path,
		Node:      cfg.Node,
		Domain:    cfg.FailureDomain,
		Log:       cfg.Log,
		TLS:       cfg.TLS,
		Telemetry: cfg.Telemetry,
	})
	if err != nil {
		return err
	}
	defer shutdown()
	return runWithRestarts(ctx, cfg, entry.Environment{Log: env.Log, Telemetry: env.Telemetry, Security: env.Security})
}

// restartDelay is the time between the end of an entry whose home log was sealed and its
// restart.
const restartDelay = 200 * time.Millisecond

// runWithRestarts runs the entry, and restarts it with a new home log whenever another
// entry has sealed the log. An entry that was suspected wrongly loses its programs to the
// entry that took over, but its VM remains in service.
func runWithRestarts(ctx context.Context, cfg *settings.Entry, env entry.Environment) error {
	for {
		// The last argument is called when the listeners are open; nothing waits for that here.
		err := entry.Run(ctx, cfg, env, func() {})
		if !errors.Is(err, entry.ErrSealed) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}
