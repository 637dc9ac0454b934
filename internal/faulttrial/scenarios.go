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

var scenarios = []scenario{
	{"calm", "no fault, as the yardstick", calm},
	{"kill-home", "kill -9 of an entry while its programs are in a turn", killHome},
	{"lose-vm", "an entry's VM goes for good", loseVM},
	{"kill-side", "kill -9 of a model engine's side in mid-stream", killSide},
	{"pause-home", "SIGSTOP of an entry for longer than suspicion, then SIGCONT", pauseHome},
	{"outage", "the platform does not answer during turns", outage},
	{"outage-kill", "kill -9 of an entry during an outage of the platform", outageKill},
	{"lost-answers", "kill -9 of an entry while answers of the table are lost and slow", lostAnswers},
	{"operators", "two operators switch presets at once, again and again", operators},
	{"drain", "an operator drains a model engine's VM", drain},
	{"term-entry", "SIGTERM of an entry", termEntry},
	{"term-side", "SIGTERM of a model engine's side", termSide},
	{"crash-engine", "a model engine crashes in mid-stream", crashEngine},
	{"crash-request", "one request crashes each engine that runs it and is sent again and again", crashRequest},
	{"hung-tools", "tools execute and never answer", hungTools},
}

func calm(context.Context, *trial) error { return nil }

// killHome kills the process alone: its VM stays in the platform's list, so that
// suspicion and its confirmation by peers decide.
func killHome(ctx context.Context, t *trial) error {
	victim := t.busiestEntry()
	affected, err := t.strike(ctx, victim, syscall.SIGKILL)
	if err != nil {
		return err
	}
	t.recover(ctx, affected)
	return t.cluster.restart(ctx, victim)
}

func loseVM(ctx context.Context, t *trial) error {
	victim := t.busiestEntry()
	affected, err := t.strike(ctx, victim, syscall.SIGKILL)
	if err != nil {
		return err
	}
	t.vmGone(victim)
	t.recover(ctx, affected)
	return nil
}

// vmGone tells the platform's list that an entry's VM is gone.
func (t *trial) vmGone(victim *process) {
	for i, p := range t.cluster.entries {
		if p == victim {
			t.cluster.standins.Platform.SetVM(platform.VMChange{ID: entryVM(i), State: platform.VMGone})
		}
	}
}

// busiestEntry returns the entry that opened the most programs.
func (t *trial) busiestEntry() *process {
	homes := make(map[string]int)
	for _, p := range t.load.programs {
		homes[p.homeName()]++
	}
	return slices.MaxFunc(t.cluster.entries, func(a, b *process) int { return homes[a.name] - homes[b.name] })
}

// strike waits until the entry is home to a program in a turn, and signals it. It
// returns the programs that were in a turn there.
func (t *trial) strike(ctx context.Context, victim *process, s syscall.Signal) ([]*programRun, error) {
	for ctx.Err() == nil {
		now := time.Now()
		var affected []*programRun
		for _, p := range t.load.programs {
			if p.await(victim.name, now) {
				affected = append(affected, p)
			}
		}
		if len(affected) > 0 {
			return affected, victim.signal(s)
		}
		sleep(ctx, readyInterval)
	}
	return nil, errors.Newf("no program was in a turn at %s", victim.name)
}

// recoveryLimit bounds the wait for the programs of a killed or stopped entry.
const recoveryLimit = 15 * time.Second

func (t *trial) recover(ctx context.Context, affected []*programRun) {
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	took, stuck := awaitRecovery(ctx, affected)
	t.result.RecoverySeconds = seconds(took)
	t.result.Stuck = stuck
}

func killSide(ctx context.Context, t *trial) error {
	victim := t.cluster.sides[0]
	if err := t.awaitBusy(ctx); err != nil {
		return err
	}
	if err := victim.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-victim.exited
	sleep(ctx, time.Second)
	return victim.start()
}

// firstEngine returns the engine that scenarios break; sides[0] stands before it.
func (t *trial) firstEngine() *standin.Model { return t.cluster.standins.Models[0] }

// awaitBusy waits until the first engine runs a call.
func (t *trial) awaitBusy(ctx context.Context) error {
	for ctx.Err() == nil {
		if t.firstEngine().Load().Running > 0 {
			return nil
		}
		sleep(ctx, readyInterval)
	}
	return errors.New("the first engine has run no call")
}

func pauseHome(ctx context.Context, t *trial) error {
	victim := t.busiestEntry()
	affected, err := t.strike(ctx, victim, syscall.SIGSTOP)
	if err != nil {
		return err
	}
	affected = slices.DeleteFunc(affected, func(p *programRun) bool { return p.asks(victim) })
	sleep(ctx, t.config.Pause)
	if err := victim.signal(syscall.SIGCONT); err != nil {
		return err
	}
	t.recover(ctx, affected)
	return nil
}

func outage(ctx context.Context, t *trial) error {
	if err := t.platformFault(standin.Fault{Kind: standin.FaultDown}); err != nil {
		return err
	}
	sleep(ctx, t.config.Outage)
	return t.platformFault(standin.Fault{Kind: standin.FaultDown, Clear: true})
}

func (t *trial) platformFault(fault standin.Fault) error {
	return t.cluster.standins.Platform.Faults.Set(fault)
}

func outageKill(ctx context.Context, t *trial) error {
	if err := t.platformFault(standin.Fault{Kind: standin.FaultDown}); err != nil {
		return err
	}
	sleep(ctx, t.config.Outage/2)
	victim := t.busiestEntry()
	if err := victim.signal(syscall.SIGKILL); err != nil {
		return err
	}
	t.vmGone(victim)
	sleep(ctx, t.config.Outage/2)
	if err := t.platformFault(standin.Fault{Kind: standin.FaultDown, Clear: true}); err != nil {
		return err
	}
	<-victim.exited
	return nil
}

// lostWrites is the number of table answers lost around the kill.
const lostWrites = 20

func lostAnswers(ctx context.Context, t *trial) error {
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

// drainWatch is how long new work is watched for behind a drain.
const drainWatch = 5 * time.Second

func drain(ctx context.Context, t *trial) error {
	if err := t.awaitBusy(ctx); err != nil {
		return err
	}
	t.load.setGraceful(true)
	defer t.load.setGraceful(false)
	if err := t.operate(ctx, operatorOne, "/operator/vms/vm-m1/drain", nil, nil); err != nil {
		return errors.Wrap(err, "drain")
	}
	drained := time.Now()
	sleep(ctx, drainWatch)
	last := t.firstEngine().Stats().LastStart
	t.result.DrainSeconds = []float64{last.Sub(drained).Seconds()}
	return errors.Wrap(t.operate(ctx, operatorOne, "/operator/vms/vm-m1/undrain", nil, nil), "undrain")
}

func termEntry(ctx context.Context, t *trial) error {
	victim := t.busiestEntry()
	t.load.setGraceful(true)
	defer t.load.setGraceful(false)
	begin := time.Now()
	affected, err := t.strike(ctx, victim, syscall.SIGTERM)
	if err != nil {
		return err
	}
	if err := victim.waitExit(t.config.Limit); err != nil {
		return err
	}
	t.result.ShutdownSeconds = seconds([]time.Duration{time.Since(begin)})
	t.recover(ctx, affected)
	return t.cluster.restart(ctx, victim)
}

func termSide(ctx context.Context, t *trial) error {
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

func crashEngine(ctx context.Context, t *trial) error {
	if err := t.awaitBusy(ctx); err != nil {
		return err
	}
	t.firstEngine().Crash()
	return nil
}

// hungCalls is the number of calls of each tool that hang.
const hungCalls = 12

func hungTools(ctx context.Context, t *trial) error {
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
