// Command buckthornctl is the operators' command-line tool: it switches presets, drains
// VMs, shows programs and nodes, settles unresolved actions and checks settings files. It
// uses the HTTP API for operators of any entry; docs/OPERATIONS.md shows its use.
package main

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

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = settings.ExitCode
)

// Names of the global flags.
const (
	flagEntry = "entry"
	flagToken = "token"
	flagJSON  = "json"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// usageError marks an error in the command line. run then returns exitUsage.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{errors.Newf(format, args...)} }

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	started := false
	app := newApp(stdout, stderr, func() { started = true })
	err := app.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "buckthornctl: %s\n", describe(err))
	var usage usageError
	var invalid *settings.Error
	if !started || errors.As(err, &usage) || errors.As(err, &invalid) {
		return exitUsage
	}
	return exitFailed
}

// newApp returns the command tree. started is called when the command line has been parsed and
// an action begins.
func newApp(stdout, stderr io.Writer, started func()) *cli.Command {
	app := &cli.Command{
		Name:      "buckthornctl",
		Usage:     "operate buckthornroute",
		Writer:    stdout,
		ErrWriter: stderr,
		Description: "Exit status: 0 success, 1 failure, 2 wrong usage or settings.\n" +
			"Errors state the code, the outcome (not_run, ran, unknown), the step and the peer.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagEntry, Usage: "base `URL` of any entry", Value: "http://127.0.0.1:7101",
				Sources: cli.EnvVars("BUCKTHORN_ENTRY")},
			&cli.StringFlag{Name: flagToken, Usage: "operator's bearer `TOKEN`", Sources: cli.EnvVars("BUCKTHORN_TOKEN")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		},
		Commands: []*cli.Command{
			presetCommand(),
			drainCommand(),
			undrainCommand(),
			programsCommand(),
			actionsCommand(),
			nodesCommand(),
			statusCommand(),
			orderCommand(),
			settingsCommand(),
		},
		// run determines the exit code. The default handler would end the process for some
		// errors.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	wrapActions(app, started)
	return app
}

// wrapActions makes c and its subcommands call started before their actions, so that run can
// distinguish parse errors from errors of the action. A command group without an action gets
// one that rejects an unknown subcommand or prints the help text. For an invalid flag, only
// the error is printed, not the help text.
func wrapActions(c *cli.Command, started func()) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} }
	if action := c.Action; action != nil {
		c.Action = func(ctx context.Context, c *cli.Command) error {
			started()
			return action(ctx, c)
		}
	} else {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usagef("unknown command %q of %q", c.Args().First(), c.FullName())
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, sub := range c.Commands {
		wrapActions(sub, started)
	}
}

// arguments returns the command's arguments, or a usage error unless there is exactly one
// for each of names.
func arguments(c *cli.Command, names ...string) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < len(names) {
		return nil, usagef("argument %s of %q is missing", names[len(args)], c.FullName())
	}
	if len(args) > len(names) {
		return nil, usagef("argument %q of %q is one too many", args[len(names)], c.FullName())
	}
	return args, nil
}
