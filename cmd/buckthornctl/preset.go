package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/structs"
)

func presetCommand() *cli.Command {
	return &cli.Command{
		Name:     "preset",
		Usage:    "list, show, store and switch presets",
		Commands: []*cli.Command{presetListCommand(), presetShowCommand(), presetPutCommand(), presetSwitchCommand()},
	}
}

// turnTimeoutsText formats the turn timeout (setting "patience") of each program kind,
// sorted by kind.
func turnTimeoutsText(p structs.Preset) string {
	var parts []string
	for kind, d := range p.TurnTimeouts {
		parts = append(parts, fmt.Sprintf("%s=%v", kind, time.Duration(d)))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
