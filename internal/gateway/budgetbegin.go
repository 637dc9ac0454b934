package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// errNotBegun reports that the row does not show that a turn begins, so that its tokens must not be handed out.
var errNotBegun = errors.New("the budget's row does not show that the turn has begun")

// Values of an answer to callBegin. beginUnknown sends the caller to the row.
const (
	beginUnknown uint64 = iota
	beginDone
)

// begin makes the budget's row show that the turn hands out tokens, before its first event is sent to the caller: a
// reservation that has not begun is dropped once its process has ended. It returns an error that wraps errNotBegun
// unless the row shows it.
func (r *reservation) begin(ctx context.Context) error {
	if r == nil || !r.pending {
		return nil
	}
	var err error
	if r.owner == nil {
		err = r.b.beginLocal(ctx, r.call.Program, r.call.ID)
	} else {
		err = r.b.owners.beginAt(ctx, r.owner, r.call.Program, r.call.ID)
	}
	if err != nil && ctx.Err() == nil { // the owner may have ended or been replaced; the row decides
		err = r.b.beginInRow(ctx, r.call, r.standIn)
	}
	if err != nil {
		r.b.commits.metrics.turnsNotBegun.Inc(1)
		return errors.Mark(errors.Wrapf(err, "turn %q of program %q", r.call.ID, r.call.Program), errNotBegun)
	}
	r.pending = false
	return nil
}

// beginLocal records the beginning of a turn that this entry granted. It tries until ctx ends.
func (b *budgets) beginLocal(ctx context.Context, program, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		pb := b.programs[program]
		if pb == nil {
			return errNotBegun
		}
		switch pb.ledger.Begin(id) {
		case ledger.BeginDone:
			b.flushLocked(program, pb) // the claim of a turn that begins
			return nil
		case ledger.BeginLost:
			return errNotBegun
		case ledger.BeginPending:
		}
		w := b.startWriteLocked(pb, reserveCall{Program: program, Total: pb.ledger.Total()})
		err := b.awaitWriteLocked(ctx, w, drawTimeout)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !errors.Is(err, errBudgetSpent) {
			b.mu.Unlock()
			sleep(ctx, reachablePoll)
			b.mu.Lock()
		}
	}
}

// beginInRow records the beginning of a turn whose owner can't be asked. It tries until ctx ends.
func (b *budgets) beginInRow(ctx context.Context, call reserveCall, standIn bool) error {
	for {
		change := ledger.BeginOf(call.ID, standIn, call.MaxTokens)
		attempt, cancel := context.WithTimeout(ctx, drawTimeout)
		res, _, err := b.changeRow(attempt, call, &change, &heldRow{exists: true})
		cancel()
		b.log.Info("budget_begun_in_row").Str("request", call.ID).Str("program", call.Program).Int("begun", int64(len(res.Begun))).
			Int("remaining", int64(res.Row.Remaining())).Err(err).End()
		switch {
		case err == nil && len(res.Begun) > 0:
			return nil
		case err == nil:
			return errNotBegun
		case ctx.Err() != nil:
			return err
		}
		sleep(ctx, reachablePoll)
	}
}

// beginAt implements budgetOwners. It asks again as long as the owner is responsive, which may wait for a slow table.
func (o *budgetPeers) beginAt(ctx context.Context, p *mesh.Peer, program, id string) error {
	body := mesh.AppendText(mesh.AppendText(make([]byte, 0, 64), program), id)
	for {
		v, err := o.g.mesh.Ask(ctx, p, peerCallTimeout, callBegin, body)
		switch now := o.g.mesh.ByIncarnation(p.Incarnation); {
		case err == nil && v.Value == beginDone:
			return nil
		case err == nil:
			return errors.Wrapf(errNotBegun, "owner %q", p.Node)
		case ctx.Err() != nil || now == nil || !o.g.mesh.Responsive(now, time.Now()):
			return err
		}
	}
}

// handleBegin answers a beginAt of another entry.
func (o *budgetPeers) handleBegin(program, id string, reply func(mesh.Answer)) {
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	switch err := o.g.budgets.beginLocal(ctx, program, id); {
	case err == nil:
		reply(mesh.Answer{Value: beginDone})
	case ctx.Err() == nil:
		reply(mesh.Answer{Value: beginUnknown})
	}
}

// gone implements budgetOwners. The name of a process is NODE/INCARNATION.
func (o *budgetPeers) gone(processes []string) []string {
	now := time.Now()
	var gone []string
	for _, process := range processes {
		incarnation := process[strings.LastIndexByte(process, '/')+1:]
		if incarnation == o.g.incarnation {
			continue
		}
		if p := o.g.mesh.ByIncarnation(incarnation); p == nil || !o.g.mesh.Responsive(p, now) {
			gone = append(gone, process)
		}
	}
	return gone
}

// processName returns the name of the process with an incarnation, NODE/INCARNATION; the node is empty if it is not listed.
func (o *budgetPeers) processName(incarnation string) string {
	node := ""
	if p := o.g.mesh.ByIncarnation(incarnation); p != nil {
		node = p.Node
	}
	return node + "/" + incarnation
}
