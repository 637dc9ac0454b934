package embedded

import (
	"context"
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/internal/workload"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

var (
	seeds    = flag.Int("seeds", 1, "number of seeds that each policy of TestPolicies runs")
	load     = flag.Float64("load", 1, "arrival rate of TestPolicies as a multiple of the peak rate")
	length   = flag.Duration("length", 40*time.Second, "modelled time during which programs of TestPolicies start")
	policies = flag.String("policies", "sticky_hash,cost", "policies of TestPolicies")
	waste    = flag.Float64("waste", 0, "waste weight of TestPolicies; 0 uses that of the deployment")
)

// trial runs one policy with one seed in virtual time, so that the load of the machine does not
// change the result. After a quarter of the length it calls fault. It also checks that no hold
// and no call is left at the end.
func trial(t *testing.T, d workload.Deployment, policy string, seed uint64, fault func(*System)) workload.Measures {
	t.Helper()
	var m workload.Measures
	synctest.Test(t, func(t *testing.T) {
		if *waste > 0 {
			d.WasteWeight = *waste
		}
		s, err := New(Config{Deployment: d, TimeScale: 1, Entries: 3, Seed: seed, Preset: structs.Preset{Policy: policy,
			LatencyWeight: d.LatencyWeight, WasteWeight: d.WasteWeight, AdmitNew: true, HoldMax: structs.Duration(20 * time.Second)}})
		if err != nil {
			t.Fatal(err)
		}
		timer := time.AfterFunc(*length/4, func() { fault(s) })
		programs := workload.Generate(d, seed, *load, *length)
		r := workload.Run(context.Background(), s, programs, workload.RunConfig{TimeScale: 1, Length: *length, Drain: 10 * time.Minute})
		timer.Stop()
		for i, g := range s.gates {
			if holds := g.model.Holds(); len(holds) > 0 {
				t.Errorf("engine %d holds %v after all programs ended", i, holds)
			}
			if g.running != 0 || g.queue.Len() != 0 {
				t.Errorf("gate %d has %d calls running and %d waiting after all programs ended", i, g.running, g.queue.Len())
			}
		}
		if r.Programs != len(programs) {
			t.Errorf("%d programs recorded, want %d", r.Programs, len(programs))
		}
		s.Stop()
		m = workload.NewMeasures(r, s.Cache())
	})
	return m
}

// healthy is the fault function of a run without a fault.
func healthy(*System) {}

// TestPolicies guards against a cost policy that is worse than simpler ones. It compares the
// policies with the same seeds: p95 latency and wasted cache of the cost policy may each exceed
// those of the best baseline by 5% at most.
func TestPolicies(t *testing.T) {
	baselines := []string{routing.PolicyRoundRobin, routing.PolicyLeastLoad, routing.PolicyStickyHash}
	for _, name := range []string{workload.Taichung, workload.Hokkaido} {
		t.Run(name, func(t *testing.T) {
			d, err := workload.NewDeployment(name)
			if err != nil {
				t.Fatal(err)
			}
			var trials []workload.Trial
			for seed := range uint64(*seeds) {
				for _, policy := range strings.Split(*policies, ",") {
					trials = append(trials, workload.Trial{Policy: policy, Seed: seed + 1, Measures: trial(t, d, policy, seed+1, healthy)})
				}
			}
			for _, s := range workload.Summarise(trials, baselines) {
				t.Logf("%-11s p50 %6.0f p95 %6.0f p99 %6.0f first %5.0f wasted %.3f done %4.0f of %4.0f refusals %3.0f goodput %.1f ratios %.2f %.2f", s.Policy, s.ProgramLatencyP50,
					s.ProgramLatencyP95, s.ProgramLatencyP99, s.FirstTokenP95, s.WastedCacheRatio, s.Completed, s.Programs, s.Refusals, s.Goodput, s.LatencyRatio, s.WasteRatio)
				if s.Policy == routing.PolicyCost && (s.LatencyRatio > 1.05 || s.WasteRatio > 1.05) {
					t.Errorf("p95 latency is %.2f and wasted cache %.2f times that of the best baseline, want 1.05 at most", s.LatencyRatio, s.WasteRatio)
				}
			}
		})
	}
}

// TestFaults guards against one faulty engine that slows down the whole system. With one
// engine that is dead, slow or reports a wrong load, the p95 latency may be at most 1.5 times
// that without faults.
func TestFaults(t *testing.T) {
	const bound = 1.5
	faults := map[string]func(*System){
		"dead": func(s *System) { s.Kill(0) },
		"slow": func(s *System) { _ = s.Faults(0).Set(standin.Fault{Kind: standin.FaultSlow, Factor: 5}) },
		"lying": func(s *System) {
			_ = s.Faults(0).Set(standin.Fault{Kind: standin.FaultWrongLoad, Factor: 0})
		},
	}
	for _, name := range []string{workload.Taichung, workload.Hokkaido} {
		d, err := workload.NewDeployment(name)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(*seeds) {
			baseline := trial(t, d, routing.PolicyCost, seed+1, healthy)
			for _, fault := range []string{"dead", "slow", "lying"} {
				m := trial(t, d, routing.PolicyCost, seed+1, faults[fault])
				ratio := m.ProgramLatencyP95 / baseline.ProgramLatencyP95
				t.Logf("%s seed %d %-5s p95 %6.0f over %6.0f: %.2f; wasted %.3f over %.3f, done %.0f of %.0f", name, seed+1, fault,
					m.ProgramLatencyP95, baseline.ProgramLatencyP95, ratio, m.WastedCacheRatio, baseline.WastedCacheRatio, m.Completed, m.Programs)
				if ratio > bound {
					t.Errorf("with a %s engine of %s the p95 is %.2f times that without faults", fault, name, ratio)
				}
			}
		}
	}
}
