package runner

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// runAction runs an irreversible request at most once and gives its end to done. It
// returns when the action's row holds the end, which may be later.
func (r *Runner) runAction(caller context.Context, request structs.ToolRequest, done func(string, error)) {
	machine := action.New(now(), r.cfg.Action, r.owner(request), request)
	given := caller.Done()
	effects := machine.Start(now())
	for !machine.Ended() || len(effects) > 0 {
		msg := r.carryOutAction(caller, effects, given, done)
		if r.ctx.Err() != nil {
			return
		}
		if _, cancelled := msg.(action.Cancel); cancelled || (given != nil && caller.Err() != nil) {
			given = nil
			effects = machine.Step(now(), action.Cancel{})
			r.finishAction(effects, done)
			if cancelled {
				effects = machine.Step(now(), action.Tick{})
				continue
			}
		}
		effects = machine.Step(now(), msg)
	}
}

// carryOutAction does the effects of one step and returns the message that answers them.
func (r *Runner) carryOutAction(
	caller context.Context, effects []action.Effect, given <-chan struct{}, done func(string, error),
) action.Message {
	r.finishAction(effects, done)
	for _, e := range effects {
		switch e := e.(type) {
		case action.Read:
			return r.readRow(e.Key)
		case action.Apply:
			return action.Applied{Err: r.applyTxn(e.Txn)}
		case action.Send:
			return r.send(caller, e.Request)
		case action.QueryStatus:
			return r.askService(e.Tool, e.Key)
		case action.Wait:
			return r.waitAction(e.Until, given)
		case action.Finish:
		}
	}
	return action.Tick{}
}

func (r *Runner) finishAction(effects []action.Effect, done func(string, error)) {
	for _, e := range effects {
		end, is := e.(action.Finish)
		if !is {
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

// send makes the one request, in the caller's trace. It goes on when the caller has gone.
func (r *Runner) send(caller context.Context, request structs.ToolRequest) action.Sent {
	result, err := r.runOnce(inTrace(r.ctx, spanOf(caller)), request)
	if err != nil {
		return action.Sent{Refusal: structs.AsRefusal(err)}
	}
	return action.Sent{Result: result}
}

func (r *Runner) askService(tool, key string) action.StatusQueried {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.RequestTimeout)
	defer cancel()
	state, result, err := r.cfg.Tools.QueryStatus(ctx, tool, key)
	return action.StatusQueried{Status: state, Result: result, Err: err}
}

// waitAction waits until the time given, or until the caller gives up.
func (r *Runner) waitAction(until time.Time, given <-chan struct{}) action.Message {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return action.Tick{}
	case <-given:
		return action.Cancel{}
	case <-r.ctx.Done():
		return action.Tick{}
	}
}

// Invoke runs one request to a plain service for a caller: an irreversible one at most
// once under the organisation and Key, any other once. Errors are *structs.Refusal.
func (r *Runner) Invoke(ctx context.Context, request structs.ToolRequest) (string, error) {
	if refusal := r.closedToNew("invoke " + request.Name); refusal != nil {
		if request.Resent {
			refusal.Outcome = structs.OutcomeUnknown
		}
		return "", refusal
	}
	request.Program = ""
	setDefault(&request.Timeout, r.cfg.Program.ToolTimeout)
	if !request.NonRepeatable {
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
	r.duties.Go(func() {
		defer r.lessBusy()
		r.runAction(ctx, request, func(result string, err error) { ends <- end{result, err} })
	})
	select {
	case e := <-ends:
		return e.result, e.err
	case <-r.ctx.Done():
		return "", structs.Refusalf(structs.CodeNotReady, structs.OutcomeUnknown, "invoke "+request.Name, "the process ends")
	}
}

// lessBusy ends one piece of work that Drain waits for.
func (r *Runner) lessBusy() {
	if r.busy.Add(-1) > 0 {
		return
	}
	select {
	case r.idle <- struct{}{}:
	default:
	}
}

// UnresolvedActions lists actions whose end is not recorded, in key order from after on: those in
// doubt and those under way. Organisation restricts the list; empty gives all. It returns
// the key to go on after, empty at the end.
func (r *Runner) UnresolvedActions(
	ctx context.Context, organisation structs.OrganisationID, after string, limit int,
) ([]action.Row, string, error) {
	prefix := action.UnresolvedPrefix
	if organisation != "" {
		prefix = action.UnresolvedKey(organisation, "")
	}
	index, err := r.cfg.Table.Scan(ctx, prefix, after, limit)
	if err != nil {
		return nil, "", errors.Wrap(err, "list open actions")
	}
	var rows []action.Row
	for _, i := range index {
		at, err := r.cfg.Table.Get(ctx, action.RowKeyOfUnresolved(i.Key))
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, "", errors.Wrapf(err, "read the action of %q", i.Key)
		}
		row, err := action.DecodeRow(at.Value)
		if err != nil {
			return nil, "", errors.Wrapf(err, "action of %q", i.Key)
		}
		rows = append(rows, row)
	}
	next := ""
	if len(index) == limit {
		next = index[len(index)-1].Key
	}
	return rows, next, nil
}

// Settlement is an operator's word on an action in doubt.
type Settlement struct {
	Organisation structs.OrganisationID
	Key          string
	// Ran says that the service ran the request, with Result.
	Ran      bool
	Result   string
	Operator string
}

// Settle records an operator's word on an action in doubt. It refuses with not_found or
// conflict; after a lost answer it compares the row with the settlement.
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
	return r.settled(ctx, key, row, err)
}

// settled finds out whether a settlement without an answer took effect.
func (r *Runner) settled(ctx context.Context, key string, want action.Row, cause error) (action.Row, error) {
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
