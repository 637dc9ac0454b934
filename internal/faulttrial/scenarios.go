package faulttrial

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// scenarios has every scenario, in the order in which a trial runs them.
var scenarios = []scenario{
	{"calm", "no fault, as the baseline", calm},
	{"kill-home", "kill -9 of an entry while its programs run turns", killHome},
	{"lose-vm", "the VM of an entry is lost for good", loseVM},
	{"kill-side", "kill -9 of a model engine's side in the middle of a stream", killSide},
	{"pause-home", "SIGSTOP of an entry for longer than the suspicion time, then SIGCONT", pauseHome},
	{"outage", "the platform does not answer during turns", outage},
	{"outage-kill", "kill -9 of an entry during an outage of the platform", outageKill},
	{"lost-answers", "kill -9 of an entry while answers of the platform's table are lost and slow", lostAnswers},
	{"operators", "two operators switch presets at the same time, several times", operators},
	{"drain", "an operator drains a model engine's VM", drain},
	{"term-entry", "SIGTERM of an entry", termEntry},
	{"term-side", "SIGTERM of a model engine's side", termSide},
	{"crash-engine", "a model engine crashes in the middle of a stream", crashEngine},
	{"crash-request", "one request crashes each engine that runs it and is resent repeatedly", crashRequest},
	{"hung-tools", "tools execute calls and never answer", hungTools},
}

func calm(context.Context, *scenarioRun) error { return nil }

// killHome kills the process only. Its VM stays in the platform's list, so that the
// takeover depends on suspicion and its confirmation by peers.
func killHome(ctx context.Context, t *scenarioRun) error {
	victim := t.busiestEntry()
	affected, err := t.signalInTurn(ctx, victim, syscall.SIGKILL)
	if err != nil {
		return err
	}
	t.recordRecovery(ctx, affected)
	return t.cluster.restart(ctx, victim)
}

// loseVM kills an entry and marks its VM as gone in the platform's list.
func loseVM(ctx context.Context, t *scenarioRun) error {
	victim := t.busiestEntry()
	affected, err := t.signalInTurn(ctx, victim, syscall.SIGKILL)
	if err != nil {
		return err
	}
	t.markVMGone(victim)
	t.recordRecovery(ctx, affected)
	return nil
}

// markVMGone marks the VM of an entry as gone in the platform's list.
func (t *scenarioRun) markVMGone(victim *process) {
	for i, p := range t.cluster.entries {
		if p == victim {
			t.cluster.standins.Platform.SetVM(platform.VMChange{ID: entryVM(i), State: platform.VMGone})
		}
	}
}

// busiestEntry returns the entry that opened the most programs.
func (t *scenarioRun) busiestEntry() *process {
	homes := make(map[string]int)
	for _, p := range t.load.programs {
		homes[p.homeName()]++
	}
	return slices.MaxFunc(t.cluster.entries, func(a, b *process) int { return homes[a.name] - homes[b.name] })
}

// signalInTurn waits until the entry is the home of a program with a turn in progress and
// signals it. It returns the programs that had a turn in progress there.
func (t *scenarioRun) signalInTurn(ctx context.Context, victim *process, s syscall.Signal) ([]*programRun, error) {
	for ctx.Err() == nil {
		now := time.Now()
		var affected []*programRun
		for _, p := range t.load.programs {
			if p.startRecovery(victim.name, now) {
				affected = append(affected, p)
			}
		}
		if len(affected) > 0 {
			return affected, victim.signal(s)
		}
		sleep(ctx, pollInterval)
	}
	return nil, errors.Newf("no program had a turn in progress at %s", victim.name)
}

// recoveryLimit bounds the wait until the programs of a killed or stopped entry continue.
const recoveryLimit = 15 * time.Second

// recordRecovery waits until the affected programs continue, up to recoveryLimit, and adds
// their recovery times to the result.
func (t *scenarioRun) recordRecovery(ctx context.Context, affected []*programRun) {
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	took, stuck := awaitRecovery(ctx, affected)
	t.result.RecoverySeconds = seconds(took)
	t.result.Stuck = stuck
}

func killSide(ctx context.Context, t *scenarioRun) error {
	victim := t.cluster.sides[0]
	if err := t.awaitBusy(ctx); err != nil {
		return err
	}
	if err := victim.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-victim.exited
	sleep(ctx, time.Second) // the side stays down for a second
	return victim.start()
}

// firstEngine returns the engine that the scenarios break; its side is sides[0].
func (t *scenarioRun) firstEngine() *standin.Model { return t.cluster.standins.Models[0] }

// awaitBusy waits until the first engine runs a call.
func (t *scenarioRun) awaitBusy(ctx context.Context) error {
	for ctx.Err() == nil {
		if t.firstEngine().Load().Running > 0 {
			return nil
		}
		sleep(ctx, pollInterval)
	}
	return errors.New("the first engine ran no call before the limit")
}

func pauseHome(ctx context.Context, t *scenarioRun) error {
	victim := t.busiestEntry()
	affected, err := t.signalInTurn(ctx, victim, syscall.SIGSTOP)
	if err != nil {
		return err
	}
	// The recovery of these programs would include the callers' own timeout.
	affected = slices.DeleteFunc(affected, func(p *programRun) bool { return p.waitsFor(victim) })
	sleep(ctx, t.config.Pause)
	if err := victim.signal(syscall.SIGCONT); err != nil {
		return err
	}
	t.recordRecovery(ctx, affected)
	return nil
}

func outage(ctx context.Context, t *scenarioRun) error {
	if err := t.platformFault(standin.Fault{Kind: standin.FaultDown}); err != nil {
		return err
	}
	sleep(ctx, t.config.Outage)
	return t.platformFault(standin.Fault{Kind: standin.FaultDown, Clear: true})
}

// platformFault sets or clears a fault of the platform stand-in.
func (t *scenarioRun) platformFault(fault standin.Fault) error {
	return t.cluster.standins.Platform.Faults.Set(fault)
}

func outageKill(ctx context.Context, t *scenarioRun) error {
	if err := t.platformFault(standin.Fault{Kind: standin.FaultDown}); err != nil {
		return err
	}
	sleep(ctx, t.config.Outage/2)
	victim := t.busiestEntry()
	if err := victim.signal(syscall.SIGKILL); err != nil {
		return err
	}
	t.markVMGone(victim)
	sleep(ctx, t.config.Outage/2)
	if err := t.platformFault(standin.Fault{Kind: standin.FaultDown, Clear: true}); err != nil {
		return err
	}
	<-victim.exited
	return nil
}

// lostWrites is the number of writes to the platform's table whose answers are lost.
const lostWrites = 20

// lostAnswers slows down every request to the platform's table and loses the answers of the
// first lostWrites writes, and then kills an entry.
func lostAnswers(ctx context.Context, t *scenarioRun) error {
	slow := standin.Fault{Kind: standin.FaultSlow, Delay: structs.Duration(200 * time.Millisecond), Match: "/table"}
	if err := t.platformFault(slow); err != nil {
		return err
	}
	lost := standin.Fault{Kind: standin.FaultLoseAnswer, Match: "/table/apply", Count: lostWrites}
	if err := t.platformFault(lost); err != nil {
		return err
	}
	err := killHome(ctx, t)
	return errors.CombineErrors(err, t.platformFault(standin.Fault{Kind: "all", Clear: true}))
}

// drainWatch is how long the drain scenario waits for late starts of work after a drain.
const drainWatch = 5 * time.Second

func drain(ctx context.Context, t *scenarioRun) error {
	if err := t.awaitBusy(ctx); err != nil {
		return err
	}
	t.load.setGraceful(true)
	defer t.load.setGraceful(false)
	if err := t.postAsOperator(ctx, operatorOneToken, "/operator/vms/vm-m1/drain", nil, nil); err != nil {
		return errors.Wrap(err, "drain")
	}
	drained := time.Now()
	sleep(ctx, drainWatch)
	last := t.firstEngine().Stats().LastStart
	t.result.DrainSeconds = []float64{last.Sub(drained).Seconds()}
	return errors.Wrap(t.postAsOperator(ctx, operatorOneToken, "/operator/vms/vm-m1/undrain", nil, nil), "undrain")
}

func termEntry(ctx context.Context, t *scenarioRun) error {
	victim := t.busiestEntry()
	t.load.setGraceful(true)
	defer t.load.setGraceful(false)
	begin := time.Now()
	affected, err := t.signalInTurn(ctx, victim, syscall.SIGTERM)
	if err != nil {
		return err
	}
	if err := victim.waitExit(t.config.Limit); err != nil {
		return err
	}
	t.result.ShutdownSeconds = seconds([]time.Duration{time.Since(begin)})
	t.recordRecovery(ctx, affected)
	return t.cluster.restart(ctx, victim)
}

func termSide(ctx context.Context, t *scenarioRun) error {
	victim := t.cluster.sides[0]
	if err := t.awaitBusy(ctx); err != nil {
		return err
	}
	t.load.setGraceful(true)
	defer t.load.setGraceful(false)
	begin := time.Now()
	if err := victim.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := victim.waitExit(t.config.Limit); err != nil {
		return err
	}
	t.result.ShutdownSeconds = seconds([]time.Duration{time.Since(begin)})
	last := t.firstEngine().Stats().LastStart
	t.result.DrainSeconds = []float64{last.Sub(begin).Seconds()}
	return victim.start()
}

func crashEngine(ctx context.Context, t *scenarioRun) error {
	if err := t.awaitBusy(ctx); err != nil {
		return err
	}
	t.firstEngine().Crash()
	return nil
}

// hungCalls is the number of calls that hang, for each tool.
const hungCalls = 12

// hungTools lets calls of the publish tool, which is an action, hang first and then calls of
// the search tool. After each it waits a second longer than toolTimeout, so that the calls that
// hang at once have timed out.
func hungTools(ctx context.Context, t *scenarioRun) error {
	tools := t.cluster.standins.Tools[0].Faults
	hang := standin.Fault{Kind: standin.FaultHang, Count: hungCalls, Match: toolPublish}
	if err := tools.Set(hang); err != nil {
		return err
	}
	sleep(ctx, toolTimeout+time.Second)
	hang.Match = toolSearch
	if err := tools.Set(hang); err != nil {
		return err
	}
	sleep(ctx, toolTimeout+time.Second)
	return tools.Set(standin.Fault{Kind: standin.FaultHang, Clear: true})
}
