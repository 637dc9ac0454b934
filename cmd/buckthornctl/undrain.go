package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "let a drained VM take new work again",
		ArgsUsage: "VM",
		Action: func(ctx context.Context, c *cli.Command) error {
			return changeVM(ctx, c, "undrain", "VM %q takes new work")
		},
	}
}
