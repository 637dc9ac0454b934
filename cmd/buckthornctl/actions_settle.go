package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/structs"
)

func actionsSettleCommand() *cli.Command {
	return &cli.Command{
		Name:      "settle",
		Usage:     "record whether an action in doubt ran",
		ArgsUsage: "ORGANISATION KEY",
		Description: "Check first at the service itself whether the action ran: the recorded outcome is reported to the caller.\n" +
			"An action settled as not_run may run again under a new key.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "outcome", Usage: "`OUTCOME` ran or not_run", Required: true},
			&cli.StringFlag{Name: "result", Usage: "the service's `RESULT`; only with outcome ran"},
		},
		Action: actionsSettleAction,
	}
}

func actionsSettleAction(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "ORGANISATION", "KEY")
	if err != nil {
		return err
	}
	outcome := structs.Outcome(c.String("outcome"))
	if outcome != structs.OutcomeRan && outcome != structs.OutcomeNotRun {
		return usagef("--outcome %q is neither %s nor %s", outcome, structs.OutcomeRan, structs.OutcomeNotRun)
	}
	if outcome == structs.OutcomeNotRun && c.String("result") != "" {
		return usagef("--result %q needs --outcome %s", c.String("result"), structs.OutcomeRan)
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	body := httpapi.SettleRequest{
		Organisation: structs.OrganisationID(args[0]),
		Key:          args[1],
		Outcome:      outcome,
		Result:       c.String("result"),
	}
	if err := api.post(ctx, path("actions", "settle"), body, nil); err != nil {
		return err
	}
	return showDone(c, "action %q of %q is settled as %s", args[1], args[0], outcome)
}
