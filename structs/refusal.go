package structs

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known of a step's execution.
type Outcome string

// The three outcomes.
const (
	// OutcomeNotRun: no upstream started the step and none can start it later.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan: the step ran to its end.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown: the step was sent and its end was not seen.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the stable code of a refusal, as docs/API.md lists them.
type Code string

// Codes of refusals.
const (
	CodeBadRequest       Code = "bad_request"
	CodeTooLarge         Code = "too_large"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeTurnOutOfOrder   Code = "turn_out_of_order"
	CodeTurnInProgress   Code = "turn_in_progress"
	CodeKeyReused        Code = "key_reused"
	CodeProgramEnded     Code = "program_ended"
	CodeBudgetExhausted  Code = "budget_exhausted"
	CodeLoopDetected     Code = "loop_detected"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeCancelled        Code = "cancelled"
	CodeOverloaded       Code = "overloaded"
	CodeQuarantined      Code = "quarantined"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeToolTimeout      Code = "tool_timeout"
	CodeActionInDoubt    Code = "action_in_doubt"
	CodePlatformOutage   Code = "platform_outage"
	CodeNotReady         Code = "not_ready"
	CodeDraining         Code = "draining"
	CodeFenced           Code = "fenced"
	CodeHistoryMissing   Code = "history_missing"
	CodeHomeUnreachable  Code = "home_unreachable"
	CodeConflict         Code = "conflict"
	CodeInternal         Code = "internal"
)

// Refusal is the typed error of every step that did not give its result.
// It travels between processes unchanged and becomes a problem document at the API.
type Refusal struct {
	// Code is stable; callers may branch on it.
	Code Code `json:"code"`
	// Outcome is what is known of the step's execution.
	Outcome Outcome `json:"outcome"`
	// Step is the step at which the error arose, such as "route" or "tool publish".
	Step string `json:"step,omitempty"`
	// Peer is the process or service at which the error arose.
	Peer string `json:"peer,omitempty"`
	// RetryAfter is when to come back; zero says that coming back does not help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Detail names the thing and its value.
	Detail string `json:"detail,omitempty"`
	// Final says that the step is given up: no further attempt is made at it.
	Final bool `json:"final,omitempty"`
}

// StepCrash is the step of a refusal of an upstream that crashed while it ran the call.
const StepCrash = "crash"

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s at step %q of peer %q (outcome %s): %s", r.Code, r.Step, r.Peer, r.Outcome, r.Detail)
}

// Refusalf returns a refusal with a formatted detail.
func Refusalf(code Code, outcome Outcome, step, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: outcome, Step: step, Detail: fmt.Sprintf(format, args...)}
}

// AsRefusal returns the refusal in the chain of err, or one with CodeInternal and
// OutcomeUnknown that carries err's text. A nil err gives nil.
func AsRefusal(err error) *Refusal {
	if err == nil {
		return nil
	}
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Code: CodeInternal, Outcome: OutcomeUnknown, Detail: err.Error()}
}
