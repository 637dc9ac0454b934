package structs

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what is known about the execution of a step.
type Outcome string

// Outcomes of a step.
const (
	// OutcomeNotRun means that no upstream started the step, and that what was sent so far
	// cannot start it later. Only a new attempt can.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan means that the step ran to its end.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that it is not known whether the step ran or will still run, for
	// example because it was sent and no result was received.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the stable code of a refusal. docs/API.md lists the codes.
type Code string

// Codes of refusals. Those whose name does not explain them:
//
//   - CodeUnauthorized: the request has no valid token.
//   - CodeForbidden: the token is valid but does not permit the request.
//   - CodeKeyReused: the idempotency key belongs to an earlier, different request.
//   - CodeLoopDetected: the program repeats a call without progress, or its turn has too many
//     steps or tool calls.
//   - CodeOverloaded: a limit of concurrent or waiting work is reached.
//   - CodeQuarantined: the call is blocked because equal calls have crashed upstreams.
//   - CodeActionInDoubt: it is not known whether an irreversible action ran.
//   - CodePlatformOutage: the platform's table cannot be read or written.
//   - CodeNotReady: the process starts, stops or lacks state that it needs.
//   - CodeDraining: the process or upstream accepts no new work.
//   - CodeFenced: a newer owner or order has taken the place of the sender.
//   - CodeHistoryMissing: the receiver lacks the earlier messages that the request refers to.
//   - CodeConflict: the state does not permit the request, or another request changed it first.
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

// Refusal is the typed error of a step that was refused or failed. It is passed between
// processes unchanged and becomes a problem document at the API.
type Refusal struct {
	// Code is stable; callers may branch on it.
	Code Code `json:"code"`
	// Outcome is what is known about the execution of the step.
	Outcome Outcome `json:"outcome"`
	// Step is the step that failed, such as "route" or "tool publish".
	Step string `json:"step,omitempty"`
	// Peer names the process, upstream or tool in which the error occurred.
	Peer string `json:"peer,omitempty"`
	// RetryAfter is how long to wait at least before a retry; zero means that the refusal names no
	// such time.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Detail describes the cause, with the name and the value concerned.
	Detail string `json:"detail,omitempty"`
	// Final reports whether the program's home has decided to make no further attempt at the
	// call, whatever the code.
	Final bool `json:"final,omitempty"`
}

// StepCrash is the Step of a refusal when the upstream crashed while it ran the call.
const StepCrash = "crash"

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s at step %q of peer %q (outcome %s): %s", r.Code, r.Step, r.Peer, r.Outcome, r.Detail)
}

// Refusalf returns a refusal with a formatted detail.
func Refusalf(code Code, outcome Outcome, step, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: outcome, Step: step, Detail: fmt.Sprintf(format, args...)}
}

// AsRefusal returns the first refusal in err's chain of wrapped errors. If there is none,
// it returns a refusal with CodeInternal, OutcomeUnknown and err's text as the detail.
// For a nil err it returns nil.
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
