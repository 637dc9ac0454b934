package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/structs"
)

// defaultPrograms is the default number of programs on one page.
const defaultPrograms = 100

func programsCommand() *cli.Command {
	return &cli.Command{
		Name:     "programs",
		Usage:    "list programs, show a program or its history",
		Commands: []*cli.Command{programsListCommand(), programsShowCommand(), programsHistoryCommand()},
	}
}

func programsListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list programs ordered by id",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "organisation", Usage: "only programs of the `ORGANISATION`"},
			&cli.StringFlag{Name: "after", Usage: "only programs whose id is after `ID`"},
			&cli.IntFlag{Name: "limit", Usage: "at most `N` programs", Value: defaultPrograms},
		},
		Action: programsListAction,
	}
}

func programsListAction(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	q := url.Values{
		"organisation": {c.String("organisation")},
		"after":        {c.String("after")},
		"limit":        {strconv.Itoa(c.Int("limit"))},
	}
	var programs []structs.ProgramView
	if err := api.get(ctx, path("programs")+"?"+q.Encode(), &programs); err != nil {
		return err
	}
	return show(c, programs, func(w io.Writer) {
		var rows [][]string
		for _, p := range programs {
			rows = append(rows, []string{string(p.ID), string(p.Spec.Organisation), p.Spec.Kind, string(p.State),
				strconv.FormatUint(uint64(p.Turns), 10), strconv.FormatInt(p.Usage.Tokens(), 10), string(p.Home)})
		}
		printTable(w, []string{"PROGRAM", "ORGANISATION", "KIND", "STATE", "TURNS", "TOKENS", "HOME"}, rows)
	})
}

func printProgram(w io.Writer, p structs.ProgramView) {
	fmt.Fprintf(w, "program       %s\n", p.ID)
	fmt.Fprintf(w, "organisation  %s\n", p.Spec.Organisation)
	fmt.Fprintf(w, "kind          %s\n", p.Spec.Kind)
	fmt.Fprintf(w, "model         %s\n", p.Spec.Model)
	fmt.Fprintf(w, "state         %s\n", p.State)
	fmt.Fprintf(w, "home          %s\n", p.Home)
	fmt.Fprintf(w, "turns         %d\n", p.Turns)
	fmt.Fprintf(w, "tokens        %d of %d (%d cached)\n", p.Usage.Tokens(), p.Spec.Budget.Tokens, p.Usage.CachedTokens)
	fmt.Fprintf(w, "calls         %d of %d\n", p.Usage.Calls, p.Spec.Budget.Calls)
	fmt.Fprintf(w, "tool time     %v of %v\n", p.Usage.ToolTime, p.Spec.Budget.ToolTime)
	fmt.Fprintf(w, "sub-agents    %d of %d\n", p.Usage.Agents, p.Spec.Budget.Agents)
}
