package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/structs"
)

func presetShowCommand() *cli.Command {
	return &cli.Command{Name: "show", Usage: "show a stored preset, or the one in force", ArgsUsage: "[NAME]", Action: presetShowAction}
}

func presetShowAction(ctx context.Context, c *cli.Command) error {
	api, err := newClient(c)
	if err != nil {
		return err
	}
	if !c.Args().Present() {
		return showInForce(ctx, c, api)
	}
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	var p structs.Preset
	if err := api.get(ctx, path("presets", args[0]), &p); err != nil {
		return err
	}
	return show(c, p, func(w io.Writer) { printPreset(w, p) })
}

// showInForce shows the preset in force and its version.
func showInForce(ctx context.Context, c *cli.Command, api *client) error {
	var inForce structs.PresetInForce
	if err := api.get(ctx, path("preset"), &inForce); err != nil {
		return err
	}
	return show(c, inForce, func(w io.Writer) {
		fmt.Fprintf(w, "version         %d\n", inForce.Version)
		printPreset(w, inForce.Preset)
	})
}

func printPreset(w io.Writer, p structs.Preset) {
	fmt.Fprintf(w, "name            %s\n", p.Name)
	fmt.Fprintf(w, "policy          %s\n", p.Policy)
	fmt.Fprintf(w, "latency_weight  %v\n", p.LatencyWeight)
	fmt.Fprintf(w, "waste_weight    %v\n", p.WasteWeight)
	fmt.Fprintf(w, "admit_new       %v\n", p.AdmitNew)
	fmt.Fprintf(w, "max_queue       %d\n", p.MaxQueue)
	fmt.Fprintf(w, "hold_max        %v\n", time.Duration(p.HoldMax))
	fmt.Fprintf(w, "patience        %s\n", turnTimeoutsText(p))
}
