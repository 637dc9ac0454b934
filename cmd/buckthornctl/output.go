package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// show prints v as JSON if the flag --json is set, otherwise it calls text.
func show(c *cli.Command, v any, text func(w io.Writer)) error {
	w := c.Root().Writer
	if c.Bool(flagJSON) {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	text(w)
	return nil
}

// printTable prints rows in aligned columns.
func printTable(w io.Writer, header []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush() // fails only if the output has been closed
}

// doneOutput is the JSON output of a change whose response has no body.
type doneOutput struct {
	Done string `json:"done"`
}

// showDone prints the formatted text, which states the change that was made.
func showDone(c *cli.Command, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return show(c, doneOutput{Done: text}, func(w io.Writer) { fmt.Fprintln(w, text) })
}
