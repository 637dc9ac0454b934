package runner

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// sweepRows is the maximum number of rows that one transaction deletes.
const sweepRows = 64

// deleteActionRows deletes the action rows of a program that has ended, since none of its
// steps can be repeated. The rows of unresolved actions stay for operators. Rows that remain
// after an error are deleted by Sweep. The time limit is 1 s ahead of now, so that the rows of
// actions that have just ended are deleted too.
func (r *Runner) deleteActionRows(organisation structs.OrganisationID, id structs.ProgramID) {
	prefix, after := action.StepPrefix(organisation, id), ""
	for {
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.RequestTimeout)
		_, next, err := r.deleteRows(ctx, prefix, after, now().Add(time.Second), sweepRows)
		cancel()
		if err != nil || next == "" {
			return
		}
		after = next
	}
}

// Sweep deletes the rows of actions that ended before the given time. Their idempotency keys
// are unknown after that. It scans up to limit rows, and at most sweepRows, that follow the key
// after. It returns the number of rows deleted and the key to continue after, which is empty at
// the end.
func (r *Runner) Sweep(ctx context.Context, before time.Time, after string, limit int) (int, string, error) {
	return r.deleteRows(ctx, action.RowPrefix, after, before, min(limit, sweepRows))
}

// deleteRows deletes the rows with the prefix whose action ended before the given time, like Sweep.
func (r *Runner) deleteRows(
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
