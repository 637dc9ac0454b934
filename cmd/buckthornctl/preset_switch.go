package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/structs"
)

// waitInterval is the time between two polls of the nodes.
const waitInterval = 200 * time.Millisecond

func presetSwitchCommand() *cli.Command {
	return &cli.Command{
		Name:      "switch",
		Usage:     "put a stored preset in force",
		ArgsUsage: "NAME",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "expected", Usage: "switch only if `VERSION` is in force; 0 for any version"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the preset is in force on each entry, then show the nodes"},
			&cli.DurationFlag{Name: "wait-timeout", Usage: "give up waiting after `TIME`", Value: 10 * time.Second},
		},
		Action: presetSwitchAction,
	}
}

// switchOutput is the JSON output of preset switch.
type switchOutput struct {
	structs.PresetInForce
	Nodes []query.Node `json:"nodes,omitempty"`
}

func presetSwitchAction(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	var out switchOutput
	body := httpapi.SwitchRequest{ExpectedVersion: c.Uint64("expected")}
	if err := api.post(ctx, path("presets", args[0], "switch"), body, &out.PresetInForce); err != nil {
		return err
	}
	if c.Bool("wait") {
		if out.Nodes, err = api.waitForVersion(ctx, out.Version, c.Duration("wait-timeout")); err != nil {
			return err
		}
	}
	return show(c, out, func(w io.Writer) {
		fmt.Fprintf(w, "preset %q is in force as version %d\n", out.Preset.Name, out.Version)
		if c.Bool("wait") {
			printNodes(w, out.Nodes)
		}
	})
}

// waitForVersion polls the nodes until the version or a higher one is in force on each
// entry. After limit, the error names the entries that lagged in the last poll. The limit
// does not interrupt a poll that has started.
func (c *client) waitForVersion(ctx context.Context, version uint64, limit time.Duration) ([]query.Node, error) {
	waiting, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		var nodes []query.Node
		if err := c.get(ctx, path("nodes"), &nodes); err != nil {
			return nil, err
		}
		lagging := laggingEntries(nodes, version)
		if len(lagging) == 0 {
			return nodes, nil
		}
		select {
		case <-waiting.Done():
			return nil, structs.Refusalf(structs.CodeDeadlineExceeded, structs.OutcomeRan, "wait for nodes",
				"version %d is in force, but after %v not yet on %v", version, limit, lagging)
		case <-time.After(waitInterval):
		}
	}
}

// kindEntry is the value of query.Node.Kind for entries. Only they have a preset in force.
const kindEntry = "entry"

// laggingEntries returns the entries whose preset version is lower than version. Sides have no
// preset: each call carries the values of the preset that it needs.
func laggingEntries(nodes []query.Node, version uint64) []structs.NodeID {
	var out []structs.NodeID
	for _, n := range nodes {
		if n.Kind == kindEntry && n.PresetVersion < version {
			out = append(out, n.Node)
		}
	}
	return out
}
