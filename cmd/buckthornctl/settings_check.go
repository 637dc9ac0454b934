package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:     "settings",
		Usage:    "check settings files",
		Commands: []*cli.Command{settingsCheckCommand()},
	}
}

func settingsCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file as buckthorn-entry or buckthorn-side does at its start",
		ArgsUsage: "FILE",
		Action:    settingsCheckAction,
	}
}

func settingsCheckAction(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	kind, err := settings.Check(args[0])
	if err != nil {
		return err
	}
	return showDone(c, "%s: valid settings of buckthorn-%s", args[0], kind)
}
