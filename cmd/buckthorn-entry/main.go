// Command buckthorn-entry runs on an entry VM behind the platform's balancer: it
// is the home of programs and serves callers and operators. Its settings are one
// TOML file; docs/OPERATIONS.md describes them.
package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/entry"
	"github.com/buckthornroute/buckthornroute/internal/settings"
)

func main() {
	c := daemon.Command("buckthorn-entry", "the home of programs, for callers and operators", run)
	os.Exit(daemon.Main(c, os.Args, os.Stderr))
}

func run(ctx context.Context, path string) error {
	kind, err := settings.KindOf(path)
	if err != nil {
		return err
	}
	if kind == settings.KindGateway {
		return runGateway(ctx, path)
	}
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
	return runAnew(ctx, cfg, entry.Environment{Log: env.Log, Telemetry: env.Telemetry, Security: env.Security})
}

// anewDelay is the wait before an entry whose log was sealed starts with another one.
const anewDelay = 200 * time.Millisecond

// runAnew runs the entry, and again with a new home log whenever another entry has
// sealed its log: a wrong suspicion costs the former home's work, not the VM.
func runAnew(ctx context.Context, cfg *settings.Entry, env entry.Environment) error {
	for {
		err := entry.Run(ctx, cfg, env, func() {})
		if !errors.Is(err, entry.ErrSealed) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(anewDelay):
		}
	}
}
