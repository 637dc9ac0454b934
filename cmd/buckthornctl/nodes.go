package main

import (
	"context"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/query"
)

func nodesCommand() *cli.Command {
	return &cli.Command{Name: "nodes", Usage: "list the entries and sides that the entry knows", Action: nodesAction}
}

func nodesAction(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	var nodes []query.Node
	if err := api.get(ctx, path("nodes"), &nodes); err != nil {
		return err
	}
	return show(c, nodes, func(w io.Writer) { printNodes(w, nodes) })
}

func printNodes(w io.Writer, nodes []query.Node) {
	var rows [][]string
	for _, n := range nodes {
		rows = append(rows, []string{string(n.Node), n.Kind, string(n.VM), string(n.Domain), n.State,
			strconv.FormatUint(n.PresetVersion, 10), strconv.FormatBool(n.Ready)})
	}
	printTable(w, []string{"NODE", "KIND", "VM", "DOMAIN", "STATE", "PRESET", "READY"}, rows)
}
