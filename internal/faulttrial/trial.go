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

// Config configures a trial.
type Config struct {
	// Binaries is the directory of the built programs.
	Binaries string
	// Dir is the directory for the settings and logs of each scenario.
	Dir string
	// Programs is the number of concurrent programs of each scenario, Turns the
	// minimum number of turns of each program.
	Programs int
	Turns    int
	// Outage is the duration of a platform outage.
	Outage time.Duration
	// Pause is how long a process is stopped; it must be longer than the suspicion time
	// of the membership protocol.
	Pause time.Duration
	// Limit is the time limit of one scenario in addition to Outage and Pause.
	Limit time.Duration
	// Scenarios has the names of the scenarios to run; empty runs all.
	Scenarios []string
	// Progress receives a line for each scenario.
	Progress io.Writer
}

// scenario is one kind of fault, injected under load. about is its description.
type scenario struct {
	name  string
	about string
	run   func(ctx context.Context, t *scenarioRun) error
}

// scenarioRun is the run of one scenario.
type scenarioRun struct {
	config  Config
	cluster *cluster
	load    *load
	result  *Result
}

// Names returns the name and a description of each scenario.
func Names() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, fmt.Sprintf("%s: %s", s.name, s.about))
	}
	return names
}

// Run runs the scenarios one after another, each on a new deployment.
func Run(ctx context.Context, config Config) (Report, error) {
	chosen, err := selectScenarios(config.Scenarios)
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

func selectScenarios(names []string) ([]scenario, error) {
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
	t := &scenarioRun{config: config, cluster: cluster, result: &result}
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	t.load = startLoad(loadCtx, cluster, log, config)
	if err := t.runUnderLoad(ctx, s, endLoad); err != nil {
		result.Error = err.Error()
	}
	result.Counts = t.load.counts
	return result
}

const (
	// finishLimit bounds the load after the fault is over: the turns in progress and those
	// that programs still have to run.
	finishLimit = 20 * time.Second
	// checkLimit bounds the checks after the load has ended.
	checkLimit = 20 * time.Second
)

// runUnderLoad runs the scenario once each program has an answer, waits until the load
// ends and then checks histories, holds, orders and duplicate actions.
func (t *scenarioRun) runUnderLoad(ctx context.Context, s scenario, endLoad func()) error {
	watch, stop := context.WithCancel(ctx)
	versions := watchPresets(watch, t.load)
	err := t.awaitFirstAnswers(ctx)
	if err == nil {
		err = s.run(ctx, t)
	}
	t.load.isFaultOver.Store(true)
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
	t.load.checkDuplicates()
	return err
}

// awaitFirstAnswers waits until every program has received its first answer.
func (t *scenarioRun) awaitFirstAnswers(ctx context.Context) error {
	for {
		started := 0
		for _, p := range t.load.programs {
			p.mu.Lock()
			if len(p.records) > 0 {
				started++
			}
			p.mu.Unlock()
		}
		if started == len(t.load.programs) {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Newf("%d of %d programs received an answer before the limit", started, len(t.load.programs))
		}
		sleep(ctx, pollInterval)
	}
}
