package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/structs"
)

func programsShowCommand() *cli.Command {
	return &cli.Command{Name: "show", Usage: "show a program's state and resource usage", ArgsUsage: "ID", Action: programsShowAction}
}

func programsShowAction(ctx context.Context, c *cli.Command) error {
	view, err := readProgram(ctx, c)
	if err != nil {
		return err
	}
	return show(c, view, func(w io.Writer) { printProgram(w, view) })
}

// readProgram requests the program given as argument. The elements of subpath are appended
// to the program's path.
func readProgram(ctx context.Context, c *cli.Command, subpath ...string) (structs.ProgramView, error) {
	var view structs.ProgramView
	args, err := arguments(c, "ID")
	if err != nil {
		return view, err
	}
	if _, err := structs.ParseProgramID(args[0]); err != nil {
		return view, usageError{err}
	}
	api, err := newClient(c)
	if err != nil {
		return view, err
	}
	err = api.get(ctx, path(append([]string{"programs", args[0]}, subpath...)...), &view)
	return view, err
}
