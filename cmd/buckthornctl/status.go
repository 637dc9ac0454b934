package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/query"
)

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show the state of one entry and its view of the system", Action: statusAction}
}

func statusAction(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	var s query.Status
	if err := api.get(ctx, path("status"), &s); err != nil {
		return err
	}
	return show(c, s, func(w io.Writer) { printStatus(w, s) })
}

func printStatus(w io.Writer, s query.Status) {
	ready := "yes"
	if !s.Ready {
		ready = "no: " + s.NotReady
	}
	fmt.Fprintf(w, "node           %s\n", s.Node)
	fmt.Fprintf(w, "log            %s\n", s.Log)
	fmt.Fprintf(w, "ready          %s\n", ready)
	fmt.Fprintf(w, "preset         %s version %d\n", s.Preset, s.PresetVersion)
	fmt.Fprintf(w, "programs       %d\n", s.Programs)
	fmt.Fprintf(w, "running turns  %d\n", s.RunningTurns)
	fmt.Fprintf(w, "upstreams      %d, %d draining\n", s.Upstreams, s.Draining)
	fmt.Fprintf(w, "platform       %s\n", s.Platform)
	fmt.Fprintf(w, "uncommitted    %d bytes\n", s.PendingBytes)
}
