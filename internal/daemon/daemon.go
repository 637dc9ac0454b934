// Package daemon holds the startup code that the daemons share: the command line with
// its one settings file, exit codes and signals, listeners, and the setup of log,
// telemetry and TLS keys.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/settings"
)

// Exit codes of the daemons: success, a failure at the start or while running, and invalid
// settings or flags.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = settings.ExitCode
)

// Command returns the command line of a daemon. It has one flag, the path of the
// settings file, and calls run with that path. Main ends run's context at SIGTERM or SIGINT.
func Command(name, usage string, run func(ctx context.Context, path string) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "TOML settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"))
		},
	}
}

// Main runs the command, with a context that ends at SIGTERM or SIGINT, and returns
// the exit code: ExitSettings for invalid settings or flags, ExitFailed for other errors.
func Main(c *cli.Command, args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// An error before the action runs comes from the parsing of the flags.
	started := false
	action := c.Action
	c.Action = func(ctx context.Context, c *cli.Command) error {
		started = true
		return action(ctx, c)
	}
	c.ErrWriter = stderr
	// The default handler may exit the process itself; Main returns the exit code instead.
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := c.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: %s\n", c.Name, err)
	var invalid *settings.Error
	if !started || errors.As(err, &invalid) {
		return ExitSettings
	}
	return ExitFailed
}
