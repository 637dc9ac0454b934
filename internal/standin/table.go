package standin

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/cockroachdb/errors"
)

const (
	// maxRows bounds the rows of the table, maxRowBytes the value of one row.
	maxRows     = 1 << 20
	maxRowBytes = 1 << 20
	// maxTxnOperations bounds the conditions and writes of one transaction together.
	maxTxnOperations = 1024
	// maxScanRows bounds the rows of one scan.
	maxScanRows = 1000
)

// Table is an in-memory transactional table. It implements platform.Table, so that tests can
// use it without HTTP. The platform's faults and rate limits apply to it.
type Table struct {
	faults *Faults
	limits *rateLimits

	mu           sync.Mutex
	rows         map[string]platform.Row
	sortedKeys   []string // keys of rows
	transactions uint64   // number of applied transactions
	reads        uint64
	feed         feed
}

var _ platform.Table = (*Table)(nil)

func newTable(faults *Faults, limits *rateLimits) *Table {
	return &Table{faults: faults, limits: limits, rows: make(map[string]platform.Row)}
}

// Counts returns the numbers of applied transactions and of reads that reached the table,
// also those that found nothing.
func (t *Table) Counts() (transactions, reads uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.transactions, t.reads
}

// Apply implements platform.Table.
func (t *Table) Apply(ctx context.Context, txn platform.Txn) error {
	const subject = "/table/apply"
	if err := checkFaults(ctx, t.faults, subject); err != nil {
		return err
	}
	if err := checkTxn(txn); err != nil {
		return err
	}
	if !t.limits.write() {
		return errors.Wrap(platform.ErrNotApplied, "table write rate")
	}
	if late, hit := t.faults.take(FaultLateWrite, subject); hit {
		time.AfterFunc(time.Duration(late.Delay), func() { _ = t.apply(txn) }) // the client has received an error already
		return errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	err := t.apply(txn)
	if t.faults.afterEffect(ctx, subject) {
		return errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	return err
}

// checkTxn refuses a transaction with too many operations, an empty key or a row that is too
// large.
func checkTxn(txn platform.Txn) error {
	if n := len(txn.Conditions) + len(txn.Writes); n > maxTxnOperations {
		return errors.Wrapf(platform.ErrNotApplied, "transaction of %d operations exceeds %d", n, maxTxnOperations)
	}
	for _, w := range txn.Writes {
		if w.Key == "" || len(w.Value) > maxRowBytes {
			return errors.Wrapf(platform.ErrNotApplied, "row %q of %d bytes", w.Key, len(w.Value))
		}
	}
	return nil
}

func (t *Table) apply(txn platform.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		version := t.rows[c.Key].Version
		if c.Version != platform.AnyVersion && c.Version != version {
			return t.conflict(txn)
		}
	}
	if len(t.rows)+len(txn.Writes) > maxRows {
		return errors.Wrapf(platform.ErrNotApplied, "table of %d rows is full", len(t.rows))
	}
	for _, w := range txn.Writes {
		t.put(w)
	}
	t.transactions++
	t.feed.publish(t.transactions, txn.Writes, t.rows)
	return nil
}

// conflict returns a platform.Conflict with the current rows of the transaction's
// conditions.
func (t *Table) conflict(txn platform.Txn) error {
	c := &platform.Conflict{}
	for _, cond := range txn.Conditions {
		if row, exists := t.rows[cond.Key]; exists {
			c.Rows = append(c.Rows, row)
		}
	}
	return c
}

// put applies one write to the rows. The version of a key begins at 1 again after a deletion.
func (t *Table) put(w platform.Write) {
	old, exists := t.rows[w.Key]
	at := sort.SearchStrings(t.sortedKeys, w.Key)
	if w.Delete {
		if exists {
			delete(t.rows, w.Key)
			t.sortedKeys = slices.Delete(t.sortedKeys, at, at+1)
		}
		return
	}
	if !exists {
		t.sortedKeys = slices.Insert(t.sortedKeys, at, w.Key)
	}
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: old.Version + 1}
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.beforeRead(ctx, "/table/row"); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, exists := t.rows[key]
	if !exists {
		return platform.Row{}, errors.Wrapf(platform.ErrNotFound, "row %q", key)
	}
	return row, nil
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.beforeRead(ctx, "/table/scan"); err != nil {
		return nil, err
	}
	if limit <= 0 || limit > maxScanRows {
		limit = maxScanRows
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var out []platform.Row
	for _, key := range t.sortedKeys[t.firstAfter(prefix, after):] {
		if !strings.HasPrefix(key, prefix) || len(out) == limit {
			break
		}
		out = append(out, t.rows[key])
	}
	return out, nil
}

// firstAfter returns the index in t.sortedKeys of the first key that is greater than after
// and at least prefix.
func (t *Table) firstAfter(prefix, after string) int {
	if after < prefix {
		return sort.SearchStrings(t.sortedKeys, prefix)
	}
	at, found := slices.BinarySearch(t.sortedKeys, after)
	if found {
		at++
	}
	return at
}

// beforeRead applies the faults and the rate limit to a read. Since a read has no effect, the
// faults that act after the effect apply here too.
func (t *Table) beforeRead(ctx context.Context, subject string) error {
	if err := checkFaults(ctx, t.faults, subject); err != nil {
		return err
	}
	if !t.limits.read() {
		return errors.Wrap(platform.ErrNotApplied, "table read rate")
	}
	if t.faults.afterEffect(ctx, subject) {
		return errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	return nil
}

// checkFaults applies the faults that act before a request takes effect and returns them as
// the platform's errors.
func checkFaults(ctx context.Context, faults *Faults, subject string) error {
	switch faults.beforeEffect(ctx, subject) {
	case dropped:
		return errors.Wrapf(platform.ErrUnavailable, "%s is down", subject)
	case refused:
		return errors.Wrapf(platform.ErrNotApplied, "%s refuses", subject)
	case rateLimited:
		return errors.Wrapf(platform.ErrNotApplied, "%s is over its rate", subject)
	}
	if ctx.Err() != nil {
		return errors.Wrapf(platform.ErrUnavailable, "%s: %v", subject, ctx.Err())
	}
	return nil
}
