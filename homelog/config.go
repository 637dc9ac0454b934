package homelog

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Config holds the settings of a Machine. A zero field takes its default.
type Config struct {
	// Log is the id of the process's own log, one for each incarnation of the process.
	Log structs.LogID
	// Owner is where the process runs; it is stored in the open row.
	Owner Owner
	// Seed is the seed of the backoff jitter.
	Seed uint64
	// PlatformWrites is the limit of the platform's table for all processes together, in
	// writes a second.
	PlatformWrites float64
	// Share is the fraction of PlatformWrites that all home logs together may use.
	Share float64
	// MinInterval is the minimum average interval between two writes.
	MinInterval time.Duration
	// Burst is the number of commits that an idle process may make at once, beyond the first.
	Burst int
	// InlineBytes is the maximum size of the entries that a record holds in its row. A
	// larger record holds them in objects.
	InlineBytes int
	// ObjectBytes is the maximum size of one object, except that a single larger entry is
	// not divided.
	ObjectBytes int
	// BatchBytes is the maximum size of the entries in one record, except that a single
	// larger append is not divided.
	BatchBytes int
	// PendingBytes is the size of the entries not yet committed from which Full reports
	// true. It is also the maximum size of one append.
	PendingBytes int
	// CheckpointEvery is the number of records after which a checkpoint is taken.
	CheckpointEvery int
	// MaxParts is the number of parts that may be added to a checkpoint before all are merged.
	MaxParts int
	// TxnWrites is the maximum number of writes of one transaction.
	TxnWrites int
	// RedirectRetention is the minimum time for which a redirect row is retained. It has to
	// exceed the longest time for which a request may be delayed on its way to the platform.
	RedirectRetention time.Duration
	// BackoffMin and BackoffMax are the bounds of the wait before a failed request is repeated.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// Defaults of Config.
const (
	DefaultPlatformWrites    = 300.0
	DefaultShare             = 0.6
	DefaultMinInterval       = 5 * time.Millisecond
	DefaultBurst             = 4
	DefaultInlineBytes       = 32 << 10
	DefaultObjectBytes       = 8 << 20
	DefaultBatchBytes        = 4 << 20
	DefaultPendingBytes      = 16 << 20
	DefaultCheckpointEvery   = 64
	DefaultMaxParts          = 16
	DefaultTxnWrites         = 100
	DefaultRedirectRetention = time.Hour
	DefaultBackoffMin        = 20 * time.Millisecond
	DefaultBackoffMax        = 2 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.PlatformWrites, DefaultPlatformWrites)
	setDefault(&c.Share, DefaultShare)
	setDefault(&c.MinInterval, DefaultMinInterval)
	setDefault(&c.Burst, DefaultBurst)
	setDefault(&c.InlineBytes, DefaultInlineBytes)
	setDefault(&c.ObjectBytes, DefaultObjectBytes)
	setDefault(&c.BatchBytes, DefaultBatchBytes)
	setDefault(&c.PendingBytes, DefaultPendingBytes)
	setDefault(&c.CheckpointEvery, DefaultCheckpointEvery)
	setDefault(&c.MaxParts, DefaultMaxParts)
	setDefault(&c.TxnWrites, DefaultTxnWrites)
	setDefault(&c.RedirectRetention, DefaultRedirectRetention)
	setDefault(&c.BackoffMin, DefaultBackoffMin)
	setDefault(&c.BackoffMax, DefaultBackoffMax)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
