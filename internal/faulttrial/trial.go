package faulttrial

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Config bounds a trial.
type Config struct {
	// Binaries is the directory of the built programs.
	Binaries string
	// Dir takes settings and logs of each scenario.
	Dir string
	// Programs and Turns are the load of each scenario.
	Programs int
	Turns    int
	// Outage is the length of a platform outage.
	Outage time.Duration
	// Pause is how long a process is stopped; it is longer than suspicion.
	Pause time.Duration
	// Limit bounds one scenario beside its outage or pause.
	Limit time.Duration
	// Scenarios names those to run; empty runs all.
	Scenarios []string
	// Progress takes a line for each scenario.
	Progress io.Writer
}

// scenario is one fault under load.
type scenario struct {
	name  string
	about string
	run   func(ctx context.Context, t *trial) error
}

// trial is one scenario under way.
type trial struct {
	config  Config
	cluster *cluster
	load    *load
	result  *Result
}

// Names lists the scenarios with what they do.
func Names() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, fmt.Sprintf("%s: %s", s.name, s.about))
	}
	return names
}

// Run runs the scenarios one after another, each on a deployment of its own.
func Run(ctx context.Context, config Config) (Report, error) {
	chosen, err := choose(config.Scenarios)
	if err != nil {
		return Report{}, err
	}
	var report Report
	for _, s := range chosen {
		fmt.Fprintf(config.Progress, "%s: %s\n", s.name, s.about)
		report.add(runScenario(ctx, config, s))
		if ctx.Err() != nil {
			return report, errors.Wrap(ctx.Err(), "trial")
		}
	}
	return report, nil
}

func choose(names []string) ([]scenario, error) {
	if len(names) == 0 {
		return scenarios, nil
	}
	var chosen []scenario
	for _, name := range names {
		found := false
		for _, s := range scenarios {
			if s.name == name {
				chosen = append(chosen, s)
				found = true
			}
		}
		if !found {
			return nil, errors.Newf("scenario %q does not exist", name)
		}
	}
	return chosen, nil
}

func runScenario(ctx context.Context, config Config, s scenario) (result Result) {
	result.Scenario = s.name
	begin := time.Now()
	defer func() { result.Seconds = time.Since(begin).Seconds() }()
	ctx, cancel := context.WithTimeout(ctx, config.Limit+config.Outage+config.Pause)
	defer cancel()
	dir := filepath.Join(config.Dir, s.name)
	cluster, err := newCluster(ctx, config.Binaries, dir)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	defer cluster.close()
	log, err := os.Create(filepath.Join(dir, "callers.log"))
	if err != nil {
		result.Error = err.Error()
		return result
	}
	defer log.Close()
	t := &trial{config: config, cluster: cluster, result: &result}
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	t.load = startLoad(loadCtx, cluster, log, config)
	if err := t.runLoaded(ctx, s, endLoad); err != nil {
		result.Error = err.Error()
	}
	result.Counts = t.load.counts
	return result
}

const (
	// finishLimit bounds the turns under way once the fault is over.
	finishLimit = 20 * time.Second
	// checkLimit bounds the checks of what is left.
	checkLimit = 20 * time.Second
)

// runLoaded strikes once the load is under way, waits for its end and checks
// what is left.
func (t *trial) runLoaded(ctx context.Context, s scenario, endLoad func()) error {
	watch, stop := context.WithCancel(ctx)
	versions := watchPresets(watch, t.load)
	err := t.underWay(ctx)
	if err == nil {
		err = s.run(ctx, t)
	}
	t.load.over.Store(true)
	finish := time.AfterFunc(finishLimit, endLoad)
	defer finish.Stop()
	t.load.running.Wait()
	stop()
	<-versions
	check, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkLimit)
	defer cancel()
	t.load.checkHistories(check)
	t.load.checkHolds(check)
	t.load.checkOrders()
	t.load.checkDoubles()
	return err
}

// underWay waits until every program has had its first answer.
func (t *trial) underWay(ctx context.Context) error {
	for {
		started := 0
		for _, p := range t.load.programs {
			p.mu.Lock()
			if len(p.kept) > 0 {
				started++
			}
			p.mu.Unlock()
		}
		if started == len(t.load.programs) {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Newf("%d of %d programs had an answer before the limit", started, len(t.load.programs))
		}
		sleep(ctx, readyInterval)
	}
}
