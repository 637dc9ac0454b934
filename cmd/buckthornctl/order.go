package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
)

// orderTimeout limits the wait for an order. Loading a model is slow, and an order may
// have to wait for an earlier one.
const orderTimeout = 3 * time.Minute

func orderCommand() *cli.Command {
	return &cli.Command{
		Name:      "order",
		Usage:     "order an upstream to load a model or to change its role",
		ArgsUsage: "UPSTREAM load_model|role ARGUMENT",
		Action:    orderAction,
	}
}

func orderAction(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "UPSTREAM", "load_model|role", "ARGUMENT")
	if err != nil {
		return err
	}
	if args[1] != "load_model" && args[1] != "role" {
		return usagef("order %q is neither load_model nor role", args[1])
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	api.http.Timeout = orderTimeout
	body := httpapi.OrderRequest{Order: args[1], Argument: args[2]}
	if err := api.post(ctx, path("upstreams", args[0], "orders"), body, nil); err != nil {
		return err
	}
	return showDone(c, "upstream %q carried out %s %s", args[0], args[1], args[2])
}
