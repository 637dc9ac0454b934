// Command buckthorn-side runs a side, the sidecar process of one upstream. All calls to the
// upstream pass through it, and its admission gate decides which ones may run. Its settings are
// in one TOML file; docs/OPERATIONS.md describes them.
package main

import (
	"context"
	"os"

	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/side"
)

func main() {
	c := daemon.Command("buckthorn-side", "run the side of one upstream", run)
	os.Exit(daemon.Main(c, os.Args, os.Stderr))
}

func run(ctx context.Context, path string) error {
	cfg, err := settings.LoadSide(path)
	if err != nil {
		return err
	}
	env, shutdown, err := daemon.Setup(ctx, daemon.Process{
		Service:   "buckthorn-side",
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
	// The last argument is called when the listeners are open; nothing waits for that here.
	return side.Run(ctx, cfg, side.Environment{Log: env.Log, Telemetry: env.Telemetry, Security: env.Security}, func() {})
}
