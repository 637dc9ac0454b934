package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "allow new work on a drained VM again",
		ArgsUsage: "VM",
		Action: func(ctx context.Context, c *cli.Command) error {
			return changeVM(ctx, c, "undrain", "VM %q accepts new work again")
		},
	}
}
