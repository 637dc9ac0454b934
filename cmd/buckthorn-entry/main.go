// Command buckthorn-entry runs on an entry VM behind the platform's balancer: it
// is the home of programs and serves callers and operators. Its settings are one
// TOML file; docs/OPERATIONS.md describes them.
package main

import (
	"context"
	"os"

	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/entry"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
)

func main() {
	c := daemon.Command("buckthorn-entry", "the home of programs, for callers and operators", run)
	os.Exit(daemon.Main(c, os.Args, os.Stderr))
}

func run(ctx context.Context, path string) error {
	cfg, err := settings.LoadEntry(path)
	if err != nil {
		return err
	}
	log, err := eventlog.New(os.Stderr, cfg.Node, cfg.Log)
	if err != nil {
		return err
	}
	security, follow, err := daemon.Security(cfg.TLS, path, log)
	if err != nil {
		return err
	}
	t, err := telemetry.New(ctx, cfg.Telemetry, telemetry.Options{
		Service: "buckthorn-entry",
		Node:    cfg.Node,
		Domain:  cfg.FailureDomain,
	})
	if err != nil {
		return err
	}
	defer func() { _ = t.Shutdown(context.WithoutCancel(ctx)) }()
	go follow(ctx)
	return entry.Run(ctx, cfg, entry.Environment{Log: log, Telemetry: t, Security: security}, func() {})
}
