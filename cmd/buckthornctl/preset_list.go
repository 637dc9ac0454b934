package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/structs"
)

// listOutput is the JSON output of preset list.
type listOutput struct {
	InForce structs.PresetInForce `json:"in_force"`
	Presets []structs.Preset      `json:"presets"`
}

func presetListCommand() *cli.Command {
	return &cli.Command{Name: "list", Usage: "list the stored presets and mark the one in force", Action: presetListAction}
}

func presetListAction(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	var out listOutput
	if err := api.get(ctx, path("presets"), &out.Presets); err != nil {
		return err
	}
	if err := api.get(ctx, path("preset"), &out.InForce); err != nil {
		return err
	}
	return show(c, out, func(w io.Writer) {
		var rows [][]string
		for _, p := range out.Presets {
			inForce := ""
			if p.Name == out.InForce.Preset.Name {
				inForce = fmt.Sprintf("version %d", out.InForce.Version)
			}
			rows = append(rows, []string{p.Name, inForce, p.Policy, fmt.Sprint(p.LatencyWeight), fmt.Sprint(p.WasteWeight),
				fmt.Sprint(p.AdmitNew), turnTimeoutsText(p)})
		}
		printTable(w, []string{"NAME", "IN FORCE", "POLICY", "LATENCY", "WASTE", "ADMITS NEW", "PATIENCE"}, rows)
	})
}
