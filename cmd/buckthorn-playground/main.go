// Command buckthorn-playground is a demonstration for newcomers. It starts the stand-ins,
// sides and entries of both deployments in one process on loopback, runs a few programs and
// prints their results. It fails if a program did not get all its answers or if one of them
// is not durable. Otherwise it serves requests until it is interrupted, or exits if --once is
// set.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/inprocess"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
)

func main() {
	c := &cli.Command{
		Name:  "buckthorn-playground",
		Usage: "run both deployments and a few sample programs in one process",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "exit after the sample programs instead of serving requests"},
			&cli.FloatFlag{Name: "time-scale", Value: 0.1, Usage: "real seconds per modelled `SECOND` of the engines"},
			&cli.BoolFlag{Name: "log", Usage: "write the events of entries and sides to standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, os.Stdout, options{once: c.Bool("once"), timeScale: c.Float("time-scale"), log: c.Bool("log")})
		},
	}
	os.Exit(daemon.Main(c, os.Args, os.Stderr))
}

// options holds the values of the command's flags.
type options struct {
	once      bool
	timeScale float64
	log       bool
}

// Organisations that own the programs of each deployment.
var (
	taichungOrganisations = []structs.OrganisationID{"taichung-city-council", "nantou-county-council"}
	hokkaidoOrganisations = []structs.OrganisationID{"kushiro-branch", "hakodate-branch"}
)

func run(ctx context.Context, out io.Writer, o options) error {
	taichung, err := start(ctx, inprocess.Taichung(o.timeScale), taichungOrganisations, o)
	if err != nil {
		return err
	}
	defer taichung.Close()
	hokkaido, err := start(ctx, inprocess.Hokkaido(o.timeScale), hokkaidoOrganisations, o)
	if err != nil {
		return err
	}
	defer hokkaido.Close()

	reports := runPrograms(ctx, taichung, taichungPrograms())
	reports = append(reports, runPrograms(ctx, hokkaido, hokkaidoPrograms())...)
	if err := printReports(out, reports); err != nil {
		return err
	}
	printExecutions(out, "taichung", taichung)
	printExecutions(out, "hokkaido", hokkaido)
	if err := checkComplete(reports); err != nil || o.once {
		return err
	}
	printHints(out, taichung)
	<-ctx.Done()
	fmt.Fprintln(out, "shutting down")
	return nil
}

// start starts one deployment. With the flag --log, its nodes write their events to standard
// error.
func start(ctx context.Context, c inprocess.Config, organisations []structs.OrganisationID, o options) (*inprocess.System, error) {
	if o.log {
		c.Log = func(node structs.NodeID) *eventlog.Logger {
			log, err := eventlog.New(os.Stderr, node, settings.Log{Format: "text", Level: "info"})
			if err != nil {
				return eventlog.Discard()
			}
			return log
		}
	}
	return inprocess.Start(ctx, c, organisations)
}
