package main

import (
	"context"
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"github.com/buckthornroute/buckthornroute/internal/workload"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 3 * vg.Inch
	barWidth   = 30 * vg.Millimeter / 2
	// pageMode and directoryMode are the permissions of the written files and directories.
	pageMode      = 0o600
	directoryMode = 0o750
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "write a Markdown page with charts of comparisons saved with compare --json",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "out/report.md", Usage: "page to write; its images are written to the same directory"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return writeReport(c.Args().Slice(), c.String("out"))
		},
	}
}

// writeReport writes to out a page that has, for each file, one section with a table and the
// charts.
func writeReport(files []string, out string) error {
	if len(files) == 0 {
		return errors.New("missing argument: a file written by compare --json")
	}
	if err := os.MkdirAll(filepath.Dir(out), directoryMode); err != nil {
		return err
	}
	var page strings.Builder
	page.WriteString("# Comparison of policies\n")
	for _, file := range files {
		c, err := readComparison(file)
		if err != nil {
			return err
		}
		if err := writeSection(&page, c, strings.TrimSuffix(filepath.Base(file), ".json"), filepath.Dir(out)); err != nil {
			return err
		}
	}
	return os.WriteFile(out, []byte(page.String()), pageMode)
}

func readComparison(file string) (comparison, error) {
	var c comparison
	text, err := os.ReadFile(file)
	if err != nil {
		return c, err
	}
	return c, errors.Wrapf(json.Unmarshal(text, &c), "comparison %q", file)
}

// chart is a bar chart of one measure with a bar for each policy. name is the end of the image's
// file name, label the label of the y axis.
type chart struct {
	name, label string
	value       func(workload.Summary) float64
}

var charts = []chart{
	{"latency", "program latency p95, ms", func(s workload.Summary) float64 { return s.ProgramLatencyP95 }},
	{"waste", "wasted cache, share of prompt tokens", func(s workload.Summary) float64 { return s.WastedCacheRatio }},
}

// writeSection writes the table of one comparison to the page, and its charts to the directory.
func writeSection(page *strings.Builder, c comparison, name, directory string) error {
	fmt.Fprintf(page, "\n## %s, load %.2f", c.Deployment, c.Load)
	if c.Fault != "" {
		fmt.Fprintf(page, ", one engine %s", c.Fault)
	}
	fmt.Fprintf(page, "\n\nMedians over paired seeds; %s of modelled time at time scale %g.\n\n", c.Length, c.TimeScale)
	page.WriteString("| policy | p50 ms | p95 ms | p99 ms | wasted cache | refusals | abandoned | goodput/min |\n|---|---|---|---|---|---|---|---|\n")
	for _, s := range c.Policies {
		fmt.Fprintf(page, "| %s | %.0f | %.0f | %.0f | %.3f | %.0f | %.0f | %.1f |\n", s.Policy, s.ProgramLatencyP50,
			s.ProgramLatencyP95, s.ProgramLatencyP99, s.WastedCacheRatio, s.Refusals, s.Abandoned, s.Goodput)
	}
	page.WriteString("\n")
	for _, chart := range charts {
		file := fmt.Sprintf("%s-%s.png", name, chart.name)
		if err := chart.draw(c, filepath.Join(directory, file)); err != nil {
			return err
		}
		fmt.Fprintf(page, "![%s](%s)\n", chart.label, file)
	}
	return nil
}

// draw writes the chart to the file in the image format that the file extension states.
func (h chart) draw(c comparison, file string) error {
	p := plot.New()
	p.Title.Text = c.Deployment
	p.Y.Label.Text = h.label
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, s := range c.Policies {
		values = append(values, h.value(s))
		names = append(names, s.Policy)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = color.RGBA{R: 70, G: 110, B: 160, A: 255}
	p.Add(bars)
	p.NominalX(names...)
	const margin = 0.6 // of the distance between two bars
	p.X.Min = -margin
	p.X.Max = float64(len(names)-1) + margin
	return p.Save(plotWidth, plotHeight, file)
}
