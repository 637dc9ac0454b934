// Command buckthornctl is the operators' tool: it switches presets, drains VMs,
// reads programs and nodes, settles actions in doubt and checks settings files.
// It talks HTTP to the operators' API of any entry; docs/OPERATIONS.md shows its use.
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

// Names of the flags that each subcommand takes.
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

// usageError reports arguments that can't be used.
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
	var wrong *settings.Error
	if !started || errors.As(err, &usage) || errors.As(err, &wrong) {
		return exitUsage
	}
	return exitFailed
}

func newApp(stdout, stderr io.Writer, started func()) *cli.Command {
	app := &cli.Command{
		Name:      "buckthornctl",
		Usage:     "operate buckthornroute",
		Writer:    stdout,
		ErrWriter: stderr,
		Description: "Exit status: 0 done, 1 failed, 2 wrong usage or settings.\n" +
			"Errors name the code, the outcome (not_run, ran, unknown), the step and the peer.",
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
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	noteStart(app, started)
	return app
}

// noteStart calls started before each action, so that errors of parsing are told from
// errors of the action, and rejects an unknown subcommand of a group. A wrong flag
// gives its error alone, without the help.
func noteStart(c *cli.Command, started func()) {
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
		noteStart(sub, started)
	}
}

// arguments returns the command's arguments, as many as names.
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
