package quota

import "time"

// Question asks for tokens of an organisation. An entry has at most one unanswered question per
// organisation and numbers them, so a question that arrives twice is recognised by its number.
type Question struct {
	Organisation string
	// From is the incarnation of the entry that asks.
	From string
	Seq  uint64
	// Epoch identifies the bucket from which the entry has tokens, 0 if none. Used is the number
	// of tokens of that bucket that it has used in all, Held the number that it may still use.
	Epoch, Used, Held uint64
	// Returned is the number of tokens that it gives back since its last answered question: they
	// were used for requests that no upstream ran.
	Returned uint64
	// Requests and Programs count the requests served from local tokens, and the new programs among them,
	// since the last answered question.
	Requests, Programs uint64
	// Want is the number of tokens asked for. NewProgram says that the request which waits begins a program.
	Want       uint64
	NewProgram bool
	// Ahead says that tokens are asked for beyond the requests that wait.
	Ahead bool
	// PerProgram is the number of requests per program that the entry last heard of; 0 if none.
	PerProgram float64
}

// Outcome is the kind of an answer or a decision.
type Outcome uint8

const (
	// Unknown means that the asked entry can't tell; another may.
	Unknown Outcome = iota
	// Granted means that tokens were granted.
	Granted
	// OverLimit means that the limit is used up.
	OverLimit
	// ProgramsOverLimit means that the limit is used up by the programs that have started, so
	// that no further one is admitted.
	ProgramsOverLimit
	// Unlimited means that the organisation has no limit.
	Unlimited
	// Ask means that an answer is needed for the decision.
	Ask
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case OverLimit:
		return "over_limit"
	case ProgramsOverLimit:
		return "programs_over_limit"
	case Unlimited:
		return "unlimited"
	case Ask:
		return "ask"
	default:
		return "unknown"
	}
}

// Answer is the answer to a Question.
type Answer struct {
	Seq     uint64
	Outcome Outcome
	// Epoch identifies the bucket, 0 if the tokens come from a reserve. Count tokens are granted.
	Epoch, Count uint64
	// Retry is when there is probably room. Closed is how long no token can be had before.
	Retry, Closed time.Duration
	// AskPrograms says that the first request of a program needs a question of its own.
	AskPrograms bool
	PerProgram  float64
	// UsedPerSecond is the rate of granted requests, for log lines.
	UsedPerSecond float64
}
