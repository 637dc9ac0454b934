package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/faulttrial"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// errTrialFailed is returned if the report states a failure. The command then exits with
// code 1.
var errTrialFailed = errors.New("fault trial failed: a count in the report that must be 0 is not, or a scenario did not complete")

func faultsCommand() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "run entries and sides as processes over loopback, inject faults under load, and count losses and errors",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "scenario", Usage: "run only the scenario `NAME`; may be repeated"},
			&cli.BoolFlag{Name: "list", Usage: "list the scenarios and exit"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.IntFlag{Name: "programs", Value: 24, Usage: "programs in each scenario"},
			&cli.IntFlag{Name: "turns", Value: 8, Usage: "turns of each program"},
			&cli.DurationFlag{Name: "outage", Value: time.Minute, Usage: "length of a platform outage"},
			&cli.DurationFlag{Name: "pause", Value: 5 * time.Second, Usage: "time for which a process is stopped"},
			&cli.DurationFlag{Name: "limit", Value: time.Minute, Usage: "time limit of one scenario, not counting its outage or pause"},
			&cli.StringFlag{Name: "binaries", Usage: "`DIRECTORY` with the built binaries; if empty, they are built first"},
			&cli.StringFlag{Name: "keep", Usage: "write settings and logs to this `DIRECTORY` and do not delete them"},
		},
		Action: runFaults,
	}
}

func runFaults(ctx context.Context, c *cli.Command) error {
	if c.Bool("list") {
		for _, name := range faulttrial.Names() {
			fmt.Println(name)
		}
		return nil
	}
	dir, remove, err := trialDirectory(c.String("keep"))
	if err != nil {
		return err
	}
	defer remove()
	binaries := c.String("binaries")
	if binaries == "" {
		binaries = dir
		if err := faulttrial.Build(ctx, dir); err != nil {
			return err
		}
	}
	report, err := faulttrial.Run(ctx, faulttrial.Config{
		Binaries:  binaries,
		Dir:       dir,
		Programs:  c.Int("programs"),
		Turns:     c.Int("turns"),
		Outage:    c.Duration("outage"),
		Pause:     c.Duration("pause"),
		Limit:     c.Duration("limit"),
		Scenarios: c.StringSlice("scenario"),
		Progress:  os.Stderr,
	})
	if err != nil {
		return err
	}
	return printReport(report, c.Bool("json"))
}

// trialDirectory returns the directory keep, or a temporary one if keep is empty. The
// function remove deletes a temporary directory and does nothing otherwise.
func trialDirectory(keep string) (dir string, remove func(), err error) {
	if keep != "" {
		return keep, func() {}, errors.Wrap(os.MkdirAll(keep, 0o700), "trial directory")
	}
	dir, err = os.MkdirTemp("", "buckthorn-faults-")
	return dir, func() { _ = os.RemoveAll(dir) }, errors.Wrap(err, "trial directory")
}

// printReport prints the report and returns errTrialFailed if the report states a failure.
func printReport(report faulttrial.Report, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return errors.Wrap(err, "print report")
		}
	} else {
		report.WriteText(os.Stdout)
	}
	if report.Failed() {
		return errTrialFailed
	}
	return nil
}
