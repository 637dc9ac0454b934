package action

import "time"

// Config holds the timeouts and waits of an action. A zero field takes its default.
type Config struct {
	// RetryBackoff is the wait before the first repeated request to the table or the service. It
	// doubles with each further wait of the attempt, whatever the request, up to 16 times its value,
	// with a jitter of 1/8 either way.
	RetryBackoff time.Duration
	// ClaimTimeout bounds the time to claim the row. When it expires, the action is refused: as not
	// run, or with an unknown outcome for a resent request.
	ClaimTimeout time.Duration
	// MaxClaimAge is the age of a claim above which the row is read again before the request is sent.
	MaxClaimAge time.Duration
	// OwnerTimeout bounds, from the start of the attempt, the wait for another owner that may still be
	// running the action. ClaimTimeout bounds this wait too.
	OwnerTimeout time.Duration
	// QueryTimeout bounds the time for which the service is queried about an outcome that the owner
	// did not receive.
	QueryTimeout time.Duration
	// MaxAnswerDelay bounds how long the answer to the caller waits for the outcome to be stored in
	// the row.
	MaxAnswerDelay time.Duration
	// RecordTimeout bounds the time for which the machine attempts to store the outcome in the row.
	RecordTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultRetryBackoff   = 200 * time.Millisecond
	DefaultClaimTimeout   = 30 * time.Second
	DefaultMaxClaimAge    = 5 * time.Second
	DefaultOwnerTimeout   = 30 * time.Second
	DefaultQueryTimeout   = 10 * time.Second
	DefaultMaxAnswerDelay = 2 * time.Second
	DefaultRecordTimeout  = time.Hour
)

// WithDefaults returns c with each zero field replaced by its default.
func (c Config) WithDefaults() Config {
	setDefault(&c.RetryBackoff, DefaultRetryBackoff)
	setDefault(&c.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&c.MaxClaimAge, DefaultMaxClaimAge)
	setDefault(&c.OwnerTimeout, DefaultOwnerTimeout)
	setDefault(&c.QueryTimeout, DefaultQueryTimeout)
	setDefault(&c.MaxAnswerDelay, DefaultMaxAnswerDelay)
	setDefault(&c.RecordTimeout, DefaultRecordTimeout)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
