package runner

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// sweepRows is the number of rows that one transaction deletes at most.
const sweepRows = 64

// forgetSteps deletes the action rows of a program that has ended: no step of it can be
// asked for again. Rows in doubt stay for operators. What a fault leaves is deleted by Sweep.
func (r *Runner) forgetSteps(organisation structs.OrganisationID, id structs.ProgramID) {
	prefix, after := action.StepPrefix(organisation, id), ""
	for {
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.RequestTimeout)
		_, next, err := r.sweep(ctx, prefix, after, now().Add(time.Second), sweepRows)
		cancel()
		if err != nil || next == "" {
			return
		}
		after = next
	}
}

// Sweep deletes action rows whose action ended before the time given, and with it the
// memory of their idempotency keys. It looks at up to limit rows behind after, and returns
// the number deleted and where to go on, empty at the end.
func (r *Runner) Sweep(ctx context.Context, before time.Time, after string, limit int) (int, string, error) {
	return r.sweep(ctx, action.RowPrefix, after, before, min(limit, sweepRows))
}

func (r *Runner) sweep(
	ctx context.Context, prefix, after string, before time.Time, limit int,
) (deleted int, next string, err error) {
	rows, err := r.cfg.Table.Scan(ctx, prefix, after, limit)
	if err != nil {
		return 0, after, errors.Wrapf(err, "scan action rows %q", prefix)
	}
	txn, deleted, err := action.DeleteResolved(rows, before)
	if err != nil {
		return 0, after, err
	}
	if deleted > 0 {
		if err := r.cfg.Table.Apply(ctx, txn); err != nil {
			return 0, after, errors.Wrapf(err, "delete %d action rows", deleted)
		}
	}
	if len(rows) == limit {
		next = rows[len(rows)-1].Key
	}
	return deleted, next, nil
}
