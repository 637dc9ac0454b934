package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop new work on a VM and let running work finish",
		ArgsUsage: "VM",
		Action: func(ctx context.Context, c *cli.Command) error {
			return changeVM(ctx, c, "drain", "VM %q is draining")
		},
	}
}

// changeVM posts the verb for the VM given as argument. Then it prints message, a format
// string with one %q for the VM's id.
func changeVM(ctx context.Context, c *cli.Command, verb, message string) error {
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
	return showDone(c, message, args[0])
}
