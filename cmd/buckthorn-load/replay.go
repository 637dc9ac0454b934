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
		Usage: "replay a burst of load on simulated engines with batching, prefill and cache, in virtual time, with and without the gateway's decisions",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.IntFlag{Name: "entries", Value: 6, Usage: "number of entries; callers change between them"},
			&cli.IntFlag{Name: "engines", Value: 10, Usage: "number of model engines"},
			&cli.IntFlag{Name: "slots", Value: 12, Usage: "calls that an engine decodes at the same time"},
			&cli.Int64Flag{Name: "cache", Value: 233_717, Usage: "size of an engine's cache in tokens"},
			&cli.IntFlag{Name: "heads", Value: 16, Usage: "number of distinct shared prompt prefixes"},
			&cli.IntFlag{Name: "head-tokens", Value: 12_600, Usage: "tokens in each shared prefix"},
			&cli.FloatFlag{Name: "programs", Value: 30, Usage: "programs that start per second"},
			&cli.FloatFlag{Name: "burst", Value: 3, Usage: "start rate from 2 s to 8 s as a multiple of programs"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "time over which programs start"},
			&cli.FloatFlag{Name: "patience", Value: 1.4, Usage: "time limit of a program as a multiple of its duration on idle engines"},
			&cli.IntFlag{Name: "grey", Usage: "number of partially failing engines; each fails half of its calls"},
			&cli.FloatFlag{Name: "late", Value: 0.3, Usage: "worth of a program that completes late; one that completes in time counts 1"},
			&cli.FloatFlag{Name: "urgent", Value: 0.4, Usage: "share of the programs that are of the more urgent kind"},
			&cli.FloatFlag{Name: "urgent-worth", Value: 10. / 3, Usage: "worth of a program of the more urgent kind as a multiple of another's"},
		},
		Action: runReplay,
	}
}

// runReplay replays the same load first with all decisions of the gateway, then with one of
// them disabled at a time.
func runReplay(_ context.Context, c *cli.Command) error {
	base := loadreplay.Config{
		Seed: c.Uint64("seed"), Entries: c.Int("entries"), Engines: c.Int("engines"), Slots: c.Int("slots"),
		CacheTokens: c.Int64("cache"), SharedParts: c.Int("heads"), SharedPartTokens: c.Int("head-tokens"),
		ProgramsPerSecond: c.Float("programs"), BurstX: c.Float("burst"), BurstFrom: 2 * time.Second, BurstTo: 8 * time.Second,
		Length: c.Duration("length"), TimeLimitFactor: c.Float("patience"), FailingEngines: c.Int("grey"), FailureShare: 0.5,
		Urgent: c.Float("urgent"),
	}
	for _, variant := range []struct {
		name   string
		change func(*loadreplay.Config)
	}{
		{"all decisions", func(*loadreplay.Config) {}},
		{"no prefix affinity", func(c *loadreplay.Config) { c.NoPreferredUpstreams = true }},
		{"no conversation affinity", func(c *loadreplay.Config) { c.NoConversationAffinity = true }},
		{"no admission control", func(c *loadreplay.Config) { c.NoAdmission = true }},
		{"no record of failures", func(c *loadreplay.Config) { c.NoFailures = true }},
	} {
		cfg := base
		variant.change(&cfg)
		r := loadreplay.Run(cfg)
		fmt.Printf("%-26s worth %.3f  in time %d  late %d  refused %d  failed %d of %d  tokens computed %d (shared prefixes recomputed %d)\n",
			variant.name, r.Worth(c.Float("late"), c.Float("urgent-worth")), r.InTime, r.Late, r.Refused, r.Failed, r.Programs, r.TokensComputed, r.SharedRecomputed)
	}
	return nil
}
