package main

import (
	"context"
	"fmt"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/loadreplay"
	"github.com/urfave/cli/v3"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "play a burst over engines with batch, prefill and cache against the gateway's decisions, in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.IntFlag{Name: "entries", Value: 6, Usage: "entries between which callers move"},
			&cli.IntFlag{Name: "engines", Value: 10, Usage: "model engines"},
			&cli.IntFlag{Name: "slots", Value: 12, Usage: "calls that an engine decodes at once"},
			&cli.Int64Flag{Name: "cache", Value: 233_717, Usage: "an engine's memory in tokens"},
			&cli.IntFlag{Name: "heads", Value: 16, Usage: "shared first parts of prompts"},
			&cli.IntFlag{Name: "head-tokens", Value: 12_600, Usage: "length of each"},
			&cli.FloatFlag{Name: "programs", Value: 30, Usage: "programs that begin each second"},
			&cli.FloatFlag{Name: "burst", Value: 3, Usage: "how many times as many begin from 2 s to 8 s"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "time in which programs begin"},
			&cli.FloatFlag{Name: "patience", Value: 1.4, Usage: "times its time on idle engines that a program may take"},
			&cli.IntFlag{Name: "grey", Usage: "engines that fail half of their calls"},
			&cli.FloatFlag{Name: "late", Value: 0.3, Usage: "worth of a late program"},
			&cli.FloatFlag{Name: "urgent", Value: 0.4, Usage: "share of programs of the more urgent kind"},
			&cli.FloatFlag{Name: "urgent-worth", Value: 10. / 3, Usage: "times that such a program is worth another"},
		},
		Action: runReplay,
	}
}

func runReplay(_ context.Context, c *cli.Command) error {
	base := loadreplay.Config{
		Seed: c.Uint64("seed"), Entries: c.Int("entries"), Engines: c.Int("engines"), Slots: c.Int("slots"),
		CacheTokens: c.Int64("cache"), Heads: c.Int("heads"), HeadTokens: c.Int("head-tokens"),
		ProgramsPerSecond: c.Float("programs"), BurstX: c.Float("burst"), BurstFrom: 2 * time.Second, BurstTo: 8 * time.Second,
		Length: c.Duration("length"), Patience: c.Float("patience"), Grey: c.Int("grey"), GreyShare: 0.5,
		Urgent: c.Float("urgent"),
	}
	for _, variant := range []struct {
		name   string
		change func(*loadreplay.Config)
	}{
		{"all decisions", func(*loadreplay.Config) {}},
		{"no homes of shared parts", func(c *loadreplay.Config) { c.NoPreferredUpstreams = true }},
		{"lines forgotten", func(c *loadreplay.Config) { c.NoConversationAffinity = true }},
		{"every program begins", func(c *loadreplay.Config) { c.NoAdmission = true }},
		{"failures forgotten", func(c *loadreplay.Config) { c.NoFailures = true }},
	} {
		cfg := base
		variant.change(&cfg)
		r := loadreplay.Run(cfg)
		fmt.Printf("%-26s worth %.3f  in time %d  late %d  refused %d  failed %d of %d  tokens read %d (shared again %d)\n",
			variant.name, r.Worth(c.Float("late"), c.Float("urgent-worth")), r.InTime, r.Late, r.Refused, r.Failed, r.Programs, r.TokensRead, r.SharedAgain)
	}
	return nil
}
