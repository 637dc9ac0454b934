package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/settings"
)

func presetPutCommand() *cli.Command {
	return &cli.Command{
		Name:        "put",
		Usage:       "store the preset defined in a TOML file",
		ArgsUsage:   "FILE",
		Description: "The stored preset takes effect at the next switch to it; the preset in force does not change.",
		Action:      presetPutAction,
	}
}

func presetPutAction(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	p, err := settings.LoadPreset(args[0])
	if err != nil {
		return err
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	if err := api.do(ctx, http.MethodPut, path("presets", p.Name), p, nil); err != nil {
		return err
	}
	return showDone(c, "preset %q is stored", p.Name)
}
