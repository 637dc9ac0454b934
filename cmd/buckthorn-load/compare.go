package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/internal/workload"
	"github.com/buckthornroute/buckthornroute/internal/workload/daemons"
	"github.com/buckthornroute/buckthornroute/internal/workload/embedded"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// baselines are the standard routing policies that the policies cost and cost_first are
// compared with.
var baselines = []string{routing.PolicyRoundRobin, routing.PolicyLeastLoad, routing.PolicyStickyHash}

// Faults of one engine. A fault starts after the fraction faultAfter of the length and lasts
// to the end of the run.
const (
	faultDead  = "dead"  // crashes and does not restart
	faultSlow  = "slow"  // takes slowFactor times as long for each step
	faultLying = "lying" // reports a load of 0
)

const (
	// slowFactor is the factor by which the fault "slow" lengthens the steps of the engine.
	slowFactor = 5
	// faultAfter is the fraction of the flag length after which the fault starts.
	faultAfter = 0.25
)

// comparison is the JSON output of compare. Length is in modelled time.
type comparison struct {
	Deployment string             `json:"deployment"`
	Load       float64            `json:"load"`
	Fault      string             `json:"fault,omitempty"`
	TimeScale  float64            `json:"time_scale"`
	Length     string             `json:"length"`
	Policies   []workload.Summary `json:"policies"`
	Trials     []workload.Trial   `json:"trials"`
}

// options holds the values of compare's flags. Durations are in modelled time.
type options struct {
	deployment workload.Deployment
	policies   []string
	seeds      []uint64
	load       float64
	fault      string
	timeScale  float64
	length     time.Duration
	entries    int
	holdMax    time.Duration
	system     string
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "run each policy with the same seeds against new stand-ins and compare the results",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: workload.Taichung, Usage: "taichung or hokkaido"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds; each policy runs with each seed"},
			&cli.IntFlag{Name: "first-seed", Value: 1, Usage: "first seed"},
			// The capacity of baselines is limited so that append copies it.
			&cli.StringSliceFlag{Name: "policies", Value: append(baselines[:len(baselines):len(baselines)], routing.PolicyCostFirst, routing.PolicyCost), Usage: "policies to run"},
			&cli.StringFlag{Name: "system", Value: systemEmbedded, Usage: "embedded: only the packages that make decisions, in one process; daemons: entries and sides over loopback"},
			&cli.FloatFlag{Name: "load", Value: 1, Usage: "program arrivals as a multiple of those at peak"},
			&cli.StringFlag{Name: "fault", Usage: "fault of one engine: dead, slow or lying (reports a load of 0)"},
			&cli.FloatFlag{Name: "time-scale", Value: 0.1, Usage: "real seconds per modelled second"},
			&cli.DurationFlag{Name: "length", Value: 90 * time.Second, Usage: "modelled time over which programs start"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "number of entries, each with its own view of the load"},
			&cli.FloatFlag{Name: "latency-weight", Usage: "latency weight; overrides that of the peak preset"},
			&cli.FloatFlag{Name: "waste-weight", Usage: "waste weight; overrides that of the peak preset"},
			&cli.DurationFlag{Name: "hold-max", Value: 20 * time.Second, Usage: "longest time that KV cache is held over a tool pause, modelled"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o, err := newOptions(c)
			if err != nil {
				return err
			}
			out, err := compare(ctx, o)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				encoder := json.NewEncoder(os.Stdout)
				encoder.SetIndent("", "  ")
				return encoder.Encode(out)
			}
			return writeTable(os.Stdout, out)
		},
	}
}

// newOptions checks the flags of compare and returns their values.
func newOptions(c *cli.Command) (options, error) {
	deployment, err := workload.NewDeployment(c.String("deployment"))
	if err != nil {
		return options{}, err
	}
	o := options{
		deployment: deployment,
		policies:   c.StringSlice("policies"),
		load:       c.Float("load"),
		fault:      c.String("fault"),
		timeScale:  c.Float("time-scale"),
		length:     c.Duration("length"),
		entries:    c.Int("entries"),
		holdMax:    c.Duration("hold-max"),
		system:     c.String("system"),
	}
	if c.IsSet("latency-weight") {
		o.deployment.LatencyWeight = c.Float("latency-weight")
	}
	if c.IsSet("waste-weight") {
		o.deployment.WasteWeight = c.Float("waste-weight")
	}
	if o.system != systemEmbedded && o.system != systemDaemons {
		return options{}, errors.Newf("system %q is neither embedded nor daemons", o.system)
	}
	switch o.fault {
	case "", faultDead, faultSlow, faultLying:
	default:
		return options{}, errors.Newf("fault %q is none of dead, slow, lying", o.fault)
	}
	for i := range c.Int("seeds") {
		o.seeds = append(o.seeds, uint64(c.Int("first-seed")+i))
	}
	return o, nil
}

// compare runs all policies with one seed before it uses the next seed, so that other load
// on the machine affects all policies alike.
func compare(ctx context.Context, o options) (comparison, error) {
	out := comparison{Deployment: o.deployment.Name, Load: o.load, Fault: o.fault, TimeScale: o.timeScale, Length: o.length.String()}
	for _, seed := range o.seeds {
		for _, policy := range o.policies {
			t, err := runTrial(ctx, o, policy, seed)
			if err != nil {
				return out, errors.Wrapf(err, "policy %q seed %d", policy, seed)
			}
			fmt.Fprintf(os.Stderr, "%s %s seed %d: p95 %.0f ms, wasted %.3f, goodput %.1f\n",
				t.Deployment, t.Policy, t.Seed, t.ProgramLatencyP95, t.WastedCacheRatio, t.Goodput)
			out.Trials = append(out.Trials, t)
		}
	}
	out.Policies = workload.Summarise(out.Trials, baselines)
	return out, nil
}

// drainTime is the modelled time after length in which started programs may still complete.
const drainTime = 240 * time.Second

// runTrial runs one policy with one seed.
func runTrial(ctx context.Context, o options, policy string, seed uint64) (workload.Trial, error) {
	system, err := startSystem(ctx, o, policy, seed)
	if err != nil {
		return workload.Trial{}, err
	}
	defer system.Stop()
	timer := time.AfterFunc(time.Duration(faultAfter*o.timeScale*float64(o.length)), func() { inject(system, o.fault) })
	defer timer.Stop()
	programs := workload.Generate(o.deployment, seed, o.load, o.length)
	result := workload.Run(ctx, system, programs, workload.RunConfig{TimeScale: o.timeScale, Length: o.length, Drain: drainTime})
	return workload.Trial{
		Deployment: o.deployment.Name, Policy: policy, Seed: seed, Load: o.load, Fault: o.fault,
		Measures: workload.NewMeasures(result, system.Cache()),
	}, ctx.Err()
}

// testSystem is a running system and its stand-ins. Kill crashes an engine; Faults returns the
// faults of an engine, which may be set.
type testSystem interface {
	workload.System
	Cache() workload.CacheCounts
	Kill(engine int)
	Faults(engine int) *standin.Faults
	Stop()
}

// Values of the flag system.
const (
	systemEmbedded = "embedded"
	systemDaemons  = "daemons"
)

// startSystem starts the system that the options choose, with the given policy.
func startSystem(ctx context.Context, o options, policy string, seed uint64) (testSystem, error) {
	if o.system == systemDaemons {
		return daemons.New(ctx, daemons.Config{
			Deployment: o.deployment,
			Preset:     preset(o, policy),
			TimeScale:  o.timeScale,
			Entries:    o.entries,
		})
	}
	return embedded.New(embedded.Config{
		Deployment: o.deployment,
		Preset:     preset(o, policy),
		TimeScale:  o.timeScale,
		Entries:    o.entries,
		Seed:       seed,
	})
}

// preset returns a preset with the policy, the weights of the deployment's peak preset and
// the flag hold-max scaled to real time.
func preset(o options, policy string) structs.Preset {
	return structs.Preset{
		Name:          "peak-" + policy,
		Policy:        policy,
		LatencyWeight: o.deployment.LatencyWeight,
		WasteWeight:   o.deployment.WasteWeight,
		AdmitNew:      true,
		HoldMax:       structs.Duration(float64(o.holdMax) * o.timeScale),
	}
}

// inject starts the fault in the first engine.
func inject(system testSystem, fault string) {
	switch fault {
	case faultDead:
		system.Kill(0)
	case faultSlow:
		_ = system.Faults(0).Set(standin.Fault{Kind: standin.FaultSlow, Factor: slowFactor}) // fails only for an unknown kind
	case faultLying:
		_ = system.Faults(0).Set(standin.Fault{Kind: standin.FaultWrongLoad, Factor: 0}) // fails only for an unknown kind
	}
}

// writeTable writes one row for each policy.
func writeTable(w io.Writer, c comparison) error {
	fmt.Fprintf(w, "%s, load %.2f, fault %q, %s modelled at time scale %g\n", c.Deployment, c.Load, c.Fault, c.Length, c.TimeScale)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tp50 ms\tp95 ms\tp99 ms\tfirst p50\tfirst p95\trecomputed\twasted\tprograms\tdone\trefusals\tabandoned\tgoodput/min\tp95 ratio\twaste ratio\t")
	for _, s := range c.Policies {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t\n",
			s.Policy, s.ProgramLatencyP50, s.ProgramLatencyP95, s.ProgramLatencyP99, s.FirstTokenP50, s.FirstTokenP95,
			s.RecomputedTokens, s.WastedCacheRatio, s.Programs, s.Completed, s.Refusals, s.Abandoned, s.Goodput, s.LatencyRatio, s.WasteRatio)
	}
	return t.Flush()
}
