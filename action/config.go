package action

import "time"

// Config holds the waits of an action. A zero field takes its default.
type Config struct {
	// Retry is the first wait before the table or the service is asked again; it doubles up to 16 times itself.
	Retry time.Duration
	// ClaimTimeout bounds the time to claim the row; after it the action is refused as not run.
	ClaimTimeout time.Duration
	// SendWithin is the age of a claim above which the row is read again before sending.
	SendWithin time.Duration
	// OwnerWait bounds the wait for another owner that may still be at work.
	OwnerWait time.Duration
	// AskFor bounds the time for which the service is asked about an unseen outcome.
	AskFor time.Duration
	// RecordWait bounds how long the caller waits for the row to hold the outcome.
	RecordWait time.Duration
	// RecordFor bounds the time in which the row is brought to hold the outcome.
	RecordFor time.Duration
}

// Defaults of Config.
const (
	DefaultRetry      = 200 * time.Millisecond
	DefaultClaimWait  = 30 * time.Second
	DefaultSendWithin = 5 * time.Second
	DefaultOwnerWait  = 30 * time.Second
	DefaultAskFor     = 10 * time.Second
	DefaultRecordWait = 2 * time.Second
	DefaultRecordFor  = time.Hour
)

// WithDefaults returns c with each zero field replaced by its default.
func (c Config) WithDefaults() Config {
	setDefault(&c.Retry, DefaultRetry)
	setDefault(&c.ClaimTimeout, DefaultClaimWait)
	setDefault(&c.SendWithin, DefaultSendWithin)
	setDefault(&c.OwnerWait, DefaultOwnerWait)
	setDefault(&c.AskFor, DefaultAskFor)
	setDefault(&c.RecordWait, DefaultRecordWait)
	setDefault(&c.RecordFor, DefaultRecordFor)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
