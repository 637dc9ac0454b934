package action

import "time"

// Config holds the waits of an action. A zero field takes its default.
type Config struct {
	// RetryBackoff is the first wait before the table or the service is asked again; it doubles up to 16 times itself.
	RetryBackoff time.Duration
	// ClaimTimeout bounds the time to claim the row; after it the action is refused as not run.
	ClaimTimeout time.Duration
	// MaxClaimAge is the age of a claim above which the row is read again before sending.
	MaxClaimAge time.Duration
	// OwnerTimeout bounds the wait for another owner that may still be at work.
	OwnerTimeout time.Duration
	// QueryTimeout bounds the time for which the service is asked about an unseen outcome.
	QueryTimeout time.Duration
	// AnswerDelay bounds how long the caller waits for the row to hold the outcome.
	AnswerDelay time.Duration
	// RecordTimeout bounds the time in which the row is brought to hold the outcome.
	RecordTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultRetryBackoff  = 200 * time.Millisecond
	DefaultClaimTimeout  = 30 * time.Second
	DefaultMaxClaimAge   = 5 * time.Second
	DefaultOwnerTimeout  = 30 * time.Second
	DefaultQueryTimeout  = 10 * time.Second
	DefaultAnswerDelay   = 2 * time.Second
	DefaultRecordTimeout = time.Hour
)

// WithDefaults returns c with each zero field replaced by its default.
func (c Config) WithDefaults() Config {
	setDefault(&c.RetryBackoff, DefaultRetryBackoff)
	setDefault(&c.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&c.MaxClaimAge, DefaultMaxClaimAge)
	setDefault(&c.OwnerTimeout, DefaultOwnerTimeout)
	setDefault(&c.QueryTimeout, DefaultQueryTimeout)
	setDefault(&c.AnswerDelay, DefaultAnswerDelay)
	setDefault(&c.RecordTimeout, DefaultRecordTimeout)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
