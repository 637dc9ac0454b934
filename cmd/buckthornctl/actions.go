package main

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/query"
)

func actionsCommand() *cli.Command {
	return &cli.Command{
		Name:     "actions",
		Usage:    "list irreversible actions in doubt and record their outcome",
		Commands: []*cli.Command{actionsListCommand(), actionsSettleCommand()},
	}
}

func actionsListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list irreversible actions whose outcome is unknown",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "in-doubt", Usage: "list only actions in doubt (must be true: entries list no others)", Value: true},
		},
		Action: actionsListAction,
	}
}

func actionsListAction(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	if !c.Bool("in-doubt") {
		return usagef("only actions in doubt can be listed")
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	var actions []query.Action
	if err := api.get(ctx, path("actions")+"?in_doubt=true", &actions); err != nil {
		return err
	}
	return show(c, actions, func(w io.Writer) {
		var rows [][]string
		for _, a := range actions {
			rows = append(rows, []string{string(a.Organisation), a.Key, a.Name, string(a.Program), a.State, a.Created.Format(time.RFC3339)})
		}
		printTable(w, []string{"ORGANISATION", "KEY", "ACTION", "PROGRAM", "STATE", "CREATED"}, rows)
	})
}
