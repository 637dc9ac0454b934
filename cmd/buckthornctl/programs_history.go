package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

func programsHistoryCommand() *cli.Command {
	return &cli.Command{Name: "history", Usage: "print a program's conversation", ArgsUsage: "ID", Action: programsHistoryAction}
}

func programsHistoryAction(ctx context.Context, c *cli.Command) error {
	view, err := readProgram(ctx, c, "history")
	if err != nil {
		return err
	}
	return show(c, view.History, func(w io.Writer) {
		for _, m := range view.History {
			fmt.Fprintf(w, "%s: %s\n", m.Role, m.Content)
			for _, call := range m.ToolCalls {
				fmt.Fprintf(w, "  calls %s %s\n", call.Name, call.Arguments)
			}
		}
	})
}
