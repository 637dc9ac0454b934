package homelog

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Config holds the settings of a Machine. A zero field takes its default.
type Config struct {
	// Log is the process's own log; it names the process's incarnation.
	Log structs.LogID
	// Owner says where the process runs.
	Owner Owner
	// Seed feeds the jitter of back-offs.
	Seed uint64
	// PlatformWrites is the rate that all processes together may write at, in writes a second.
	PlatformWrites float64
	// Share is the part of PlatformWrites that the journals may take.
	Share float64
	// MinInterval bounds the time that one write takes up from below.
	MinInterval time.Duration
	// Burst is the number of writes that an idle process may make at once.
	Burst int
	// InlineBytes bounds a record kept in its row; a larger one goes into an object.
	InlineBytes int
	// ObjectBytes bounds one object, but for a single entry that is larger.
	ObjectBytes int
	// BatchBytes bounds the entries of one record, but for one append that alone is larger.
	BatchBytes int
	// PendingBytes bounds the entries not yet committed; beyond it Full holds.
	PendingBytes int
	// CheckpointEvery is the number of records after which a checkpoint is taken.
	CheckpointEvery int
	// MaxParts is the number of a checkpoint's parts beyond which they are merged into one.
	MaxParts int
	// TxnWrites bounds the writes of one transaction.
	TxnWrites int
	// RedirectRetention is the time for which a redirect row is kept at least. It has to
	// exceed the longest time for which a request to the platform may be delayed on its way.
	RedirectRetention time.Duration
	// BackoffMin and BackoffMax bound the wait before a failed request is repeated.
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
