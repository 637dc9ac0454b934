// Command buckthorn-load runs the workloads of the deployments taichung and hokkaido and
// compares the routing policies cost and cost_first with baselines. It also writes reports of
// comparisons, runs fault trials and replays a burst of load in virtual time.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1) //nolint:gocritic // the signal handler ends with the process
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:     "buckthorn-load",
		Usage:    "run workloads and fault trials, and compare policies",
		Commands: []*cli.Command{compareCommand(), reportCommand(), faultsCommand(), replayCommand()},
	}
}
