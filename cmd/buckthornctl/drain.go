package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "let the processes on a VM finish and take no new work",
		ArgsUsage: "VM",
		Action: func(ctx context.Context, c *cli.Command) error {
			return changeVM(ctx, c, "drain", "VM %q drains")
		},
	}
}

// changeVM posts the verb for the VM that the argument names.
func changeVM(ctx context.Context, c *cli.Command, verb, said string) error {
	args, err := arguments(c, "VM")
	if err != nil {
		return err
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	if err := api.post(ctx, path("vms", args[0], verb), nil, nil); err != nil {
		return err
	}
	return showDone(c, said, args[0])
}
