// Package daemon holds what the programs share: the command line of a process
// that reads one settings file, exit codes, and signals.
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

// Exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = settings.ExitCode
)

// Command returns the command line of a daemon: one flag that names its settings
// file, and run, whose context ends at SIGTERM or SIGINT.
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

// Main runs the command until it ends or a signal comes, and returns the exit
// code: ExitSettings for wrong settings or flags, ExitFailed for other errors.
func Main(c *cli.Command, args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	started := false
	action := c.Action
	c.Action = func(ctx context.Context, c *cli.Command) error {
		started = true
		return action(ctx, c)
	}
	c.ErrWriter = stderr
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := c.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: %s\n", c.Name, err)
	var wrong *settings.Error
	if !started || errors.As(err, &wrong) {
		return ExitSettings
	}
	return ExitFailed
}
