package runner

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// runAction runs an irreversible request at most once and passes its outcome to done. It calls done
// once, or not at all if the runner is closed first. It returns when the machine has ended, which
// may be after done, because the outcome is still to be recorded in the action's row. A caller that
// gives up before the request is sent, or while it waits for another attempt, gets a refusal;
// otherwise it gets the outcome.
func (r *Runner) runAction(caller context.Context, request structs.ToolRequest, done func(string, error)) {
	machine := action.New(now(), r.cfg.Action, r.actionOwner(request), request)
	// callerDone is nil once the caller's end was reported to the machine.
	callerDone := caller.Done()
	effects := machine.Start(now())
	for !machine.Ended() || len(effects) > 0 {
		msg := r.performActionEffects(caller, effects, callerDone, done)
		if r.ctx.Err() != nil {
			return
		}
		if _, cancelled := msg.(action.Cancel); cancelled || (callerDone != nil && caller.Err() != nil) {
			callerDone = nil
			// The effects of Cancel are at most a Finish, so they can be replaced afterwards.
			effects = machine.Step(now(), action.Cancel{})
			r.reportOutcome(effects, done)
			if cancelled {
				// The Cancel ended a wait, which a Tick must still answer.
				effects = machine.Step(now(), action.Tick{})
				continue
			}
		}
		effects = machine.Step(now(), msg)
	}
}

// performActionEffects carries out the effects of one step and returns the message that answers
// them, or a tick if none needs an answer. At most one of the effects does.
func (r *Runner) performActionEffects(
	caller context.Context, effects []action.Effect, callerDone <-chan struct{}, done func(string, error),
) action.Message {
	r.reportOutcome(effects, done)
	for _, e := range effects {
		switch e := e.(type) {
		case action.Read:
			return r.readRow(e.Key)
		case action.Apply:
			return action.Applied{Err: r.applyTxn(e.Txn)}
		case action.Send:
			return r.send(caller, e.Request)
		case action.QueryStatus:
			return r.queryStatus(e.Tool, e.Key)
		case action.Wait:
			return r.waitAction(e.Until, callerDone)
		case action.Finish:
			// reportOutcome has reported it.
		}
	}
	return action.Tick{}
}

// reportOutcome passes the outcome to done if it is among the effects.
func (r *Runner) reportOutcome(effects []action.Effect, done func(string, error)) {
	for _, e := range effects {
		end, ok := e.(action.Finish)
		if !ok {
			continue
		}
		if end.Refusal != nil {
			done("", end.Refusal)
		} else {
			done(end.Result, nil)
		}
	}
}

func (r *Runner) readRow(key string) action.RowRead {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.RequestTimeout)
	defer cancel()
	row, err := r.cfg.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return action.RowRead{}
	}
	return action.RowRead{Row: row, Found: err == nil, Err: err}
}

func (r *Runner) applyTxn(txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.RequestTimeout)
	defer cancel()
	return r.cfg.Table.Apply(ctx, txn)
}

// send sends the request once, in the caller's trace. It is not cancelled when the caller gives up.
func (r *Runner) send(caller context.Context, request structs.ToolRequest) action.Sent {
	result, err := r.runOnce(inTrace(r.ctx, spanOf(caller)), request)
	if err != nil {
		return action.Sent{Refusal: structs.AsRefusal(err)}
	}
	return action.Sent{Result: result}
}

func (r *Runner) queryStatus(tool, key string) action.StatusQueried {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.RequestTimeout)
	defer cancel()
	state, result, err := r.cfg.Tools.QueryStatus(ctx, tool, key)
	return action.StatusQueried{Status: state, Result: result, Err: err}
}

// waitAction waits until the given time, or until the caller gives up.
func (r *Runner) waitAction(until time.Time, callerDone <-chan struct{}) action.Message {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return action.Tick{}
	case <-callerDone:
		return action.Cancel{}
	case <-r.ctx.Done():
		return action.Tick{}
	}
}

// Invoke runs one direct request, that is a request to a plain service outside a program. An
// irreversible request is run as a direct action: at most once for its organisation and idempotency
// key. Any other request is sent once per call of Invoke. Errors are *structs.Refusal.
func (r *Runner) Invoke(ctx context.Context, request structs.ToolRequest) (string, error) {
	if refusal := r.newWorkRefusal("invoke " + request.Name); refusal != nil {
		if request.Resent {
			refusal.Outcome = structs.OutcomeUnknown
		}
		return "", refusal
	}
	request.Program = ""
	setDefault(&request.Timeout, r.cfg.Program.ToolTimeout)
	if !request.Irreversible {
		return r.runOnce(ctx, request)
	}
	if request.Key == "" {
		return "", structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "invoke "+request.Name,
			"an irreversible request needs an idempotency key")
	}
	type end struct {
		result string
		err    error
	}
	ends := make(chan end, 1)
	r.busy.Add(1)
	r.goroutines.Go(func() {
		defer r.doneBusy()
		r.runAction(ctx, request, func(result string, err error) { ends <- end{result, err} })
	})
	select {
	case e := <-ends:
		return e.result, e.err
	case <-r.ctx.Done():
		return "", structs.Refusalf(structs.CodeNotReady, structs.OutcomeUnknown, "invoke "+request.Name, "the process ends")
	}
}

// doneBusy decrements busy and notifies Drain when it is 0.
func (r *Runner) doneBusy() {
	if r.busy.Add(-1) > 0 {
		return
	}
	select {
	case r.idle <- struct{}{}:
	default:
	}
}

// UnresolvedActions lists the actions whose outcome is not recorded: those in progress and those
// in doubt. It lists at most limit actions of the organisation, or of all if that is empty, in
// the order of their keys, starting behind the key after. It returns the key to continue after,
// which is empty at the end.
func (r *Runner) UnresolvedActions(
	ctx context.Context, organisation structs.OrganisationID, after string, limit int,
) ([]action.Row, string, error) {
	prefix := action.UnresolvedPrefix
	if organisation != "" {
		prefix = action.UnresolvedKey(organisation, "")
	}
	// The index rows under the prefix name the actions; the action rows hold their details.
	index, err := r.cfg.Table.Scan(ctx, prefix, after, limit)
	if err != nil {
		return nil, "", errors.Wrap(err, "list open actions")
	}
	var rows []action.Row
	for _, entry := range index {
		stored, err := r.cfg.Table.Get(ctx, action.RowKeyOfUnresolved(entry.Key))
		if errors.Is(err, platform.ErrNotFound) {
			// The action was resolved and its row deleted since the scan.
			continue
		}
		if err != nil {
			return nil, "", errors.Wrapf(err, "read the action of %q", entry.Key)
		}
		row, err := action.DecodeRow(stored.Value)
		if err != nil {
			return nil, "", errors.Wrapf(err, "action of %q", entry.Key)
		}
		rows = append(rows, row)
	}
	next := ""
	if len(index) == limit {
		next = index[len(index)-1].Key
	}
	return rows, next, nil
}

// Settlement is an operator's decision on the outcome of an unresolved action.
type Settlement struct {
	Organisation structs.OrganisationID
	Key          string
	// Ran reports whether the service ran the request. Result is then its result.
	Ran      bool
	Result   string
	Operator string
}

// Settle records an operator's decision on an unresolved action. It returns a refusal with
// CodeNotFound if the action does not exist, and with CodeConflict if it is resolved already or its
// row changes meanwhile. The refusal's text for a resolved action is "not in doubt", but an action
// in progress can be settled too. If the platform's answer is lost, Settle reads the row again and
// compares it with the settlement.
func (r *Runner) Settle(ctx context.Context, s Settlement) (action.Row, error) {
	key := action.RowKey(s.Organisation, s.Key)
	at, err := r.cfg.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return action.Row{}, structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "settle action",
			"action %q of %q does not exist", s.Key, s.Organisation)
	}
	if err != nil {
		return action.Row{}, errors.Wrapf(err, "read action %q", s.Key)
	}
	txn, row, err := action.Settle(now(), at, s.Operator, s.Ran, s.Result)
	if err != nil {
		return action.Row{}, err
	}
	err = r.cfg.Table.Apply(ctx, txn)
	if err == nil {
		return row, nil
	}
	if errors.Is(err, platform.ErrNotApplied) {
		return action.Row{}, errors.Wrapf(err, "settle action %q", s.Key)
	}
	return r.confirmSettlement(ctx, key, row, err)
}

// confirmSettlement reads the action's row to determine whether a settlement took effect that the
// platform did not confirm. cause is the platform's error.
func (r *Runner) confirmSettlement(ctx context.Context, key string, want action.Row, cause error) (action.Row, error) {
	at, err := r.cfg.Table.Get(ctx, key)
	if err != nil {
		return action.Row{}, errors.Wrapf(cause, "settle action %q", want.Key)
	}
	row, err := action.DecodeRow(at.Value)
	if err != nil {
		return action.Row{}, err
	}
	if row.State == want.State && row.SettledBy == want.SettledBy && row.Result == want.Result {
		return row, nil
	}
	return action.Row{}, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, "settle action",
		"action %q of %q is %s now", row.Key, row.Organisation, row.State)
}
