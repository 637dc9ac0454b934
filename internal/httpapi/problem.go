package httpapi

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Problem is the JSON form of every error, as defined by RFC 9457.
type Problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Code    structs.Code    `json:"code"`
	Outcome structs.Outcome `json:"outcome"`
	Step    string          `json:"step,omitempty"`
	Peer    string          `json:"peer,omitempty"`
	// RetryAfterSeconds is the delay before a retry; absent if the refusal gives none
	// because a retry does not help.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// problemType is the prefix of a problem's type URI; the code is appended.
const problemType = "urn:buckthornroute:problem:"

// statuses maps refusal codes to HTTP status codes. Any other code, such as CodeInternal, gives
// 500.
var statuses = map[structs.Code]int{
	structs.CodeBadRequest:       http.StatusBadRequest,
	structs.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	structs.CodeUnauthorized:     http.StatusUnauthorized,
	structs.CodeForbidden:        http.StatusForbidden,
	structs.CodeNotFound:         http.StatusNotFound,
	structs.CodeTurnOutOfOrder:   http.StatusConflict,
	structs.CodeTurnInProgress:   http.StatusConflict,
	structs.CodeKeyReused:        http.StatusUnprocessableEntity,
	structs.CodeProgramEnded:     http.StatusGone,
	structs.CodeBudgetExhausted:  http.StatusForbidden,
	structs.CodeLoopDetected:     http.StatusUnprocessableEntity,
	structs.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	structs.CodeCancelled:        http.StatusConflict,
	structs.CodeOverloaded:       http.StatusServiceUnavailable,
	structs.CodeQuarantined:      http.StatusUnprocessableEntity,
	structs.CodeUpstreamFailed:   http.StatusBadGateway,
	structs.CodeToolTimeout:      http.StatusGatewayTimeout,
	structs.CodeActionInDoubt:    http.StatusConflict,
	structs.CodePlatformOutage:   http.StatusServiceUnavailable,
	structs.CodeNotReady:         http.StatusServiceUnavailable,
	structs.CodeDraining:         http.StatusServiceUnavailable,
	structs.CodeFenced:           http.StatusServiceUnavailable,
	structs.CodeHomeUnreachable:  http.StatusServiceUnavailable,
	structs.CodeConflict:         http.StatusConflict,
}

// NewProblem returns the problem document for err.
func NewProblem(err error) Problem {
	r := refusalOf(err)
	status, known := statuses[r.Code]
	if !known {
		status = http.StatusInternalServerError
	}
	return Problem{
		Type:              problemType + string(r.Code),
		Title:             http.StatusText(status),
		Status:            status,
		Detail:            r.Detail,
		Code:              r.Code,
		Outcome:           r.Outcome,
		Step:              r.Step,
		Peer:              r.Peer,
		RetryAfterSeconds: r.RetryAfter.Seconds(),
	}
}

// refusalOf returns the refusal in the chain of err, or a refusal made from err. It differs
// from structs.AsRefusal in that a deadline that has passed is not an internal error.
func refusalOf(err error) *structs.Refusal {
	var r *structs.Refusal
	if !errors.As(err, &r) && errors.Is(err, context.DeadlineExceeded) {
		return structs.Refusalf(structs.CodeDeadlineExceeded, structs.OutcomeUnknown, "", "%s", err)
	}
	return structs.AsRefusal(err)
}

// writeProblem responds with the problem document for err.
func writeProblem(w http.ResponseWriter, err error) {
	p := NewProblem(err)
	if p.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfterSeconds))))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // an error means that the caller has disconnected
}

// writeJSON responds with v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}

// decodeBody decodes a JSON body of at most limit bytes into v. It refuses unknown fields.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	body := http.MaxBytesReader(w, r.Body, limit)
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("more follows the JSON value")
	}
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return structs.Refusalf(structs.CodeTooLarge, structs.OutcomeNotRun, "read body", "the body exceeds %d bytes", limit)
	}
	return structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "read body", "the body is not the JSON expected: %s", err)
}

// Refusal returns the refusal that the problem document describes, the reverse of NewProblem.
func (p Problem) Refusal() *structs.Refusal {
	return &structs.Refusal{
		Code:       p.Code,
		Outcome:    p.Outcome,
		Step:       p.Step,
		Peer:       p.Peer,
		RetryAfter: time.Duration(p.RetryAfterSeconds * float64(time.Second)),
		Detail:     p.Detail,
	}
}
