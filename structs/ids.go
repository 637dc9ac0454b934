// Package structs holds the types that cross package and process boundaries:
// identifiers, outcomes, refusals, conversation messages, budgets and presets.
// It decides nothing and does no I/O.
package structs

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Identifiers. Each is opaque text to everything but the functions of this file.
type (
	// LogID names one home log: the entry's name and its incarnation, "e1-5f0c2a".
	LogID string
	// ProgramID names one program and the log it was opened in, "e1-5f0c2a.17".
	ProgramID string
	// CallID names one step of one turn of one program, "e1-5f0c2a.17/3/2".
	CallID string
	// OrganisationID names the organisation whose token a caller showed.
	OrganisationID string
	// UpstreamID names one model engine or application engine.
	UpstreamID string
	// VMID names one VM of the platform's list.
	VMID string
	// FailureDomain names one failure domain, as the settings give it.
	FailureDomain string
	// NodeID names one process of the system, entry or side.
	NodeID string
)

// ErrBadProgramID reports text that is not a program id.
var ErrBadProgramID = errors.New("malformed program id")

// NewProgramID returns the id of the n-th program that the log opened.
func NewProgramID(log LogID, n uint64) ProgramID {
	return ProgramID(string(log) + "." + strconv.FormatUint(n, 10))
}

// ParseProgramID checks the form of text that came from outside.
// It returns ErrBadProgramID, wrapped with the text, when it is malformed.
func ParseProgramID(text string) (ProgramID, error) {
	log, n, found := strings.Cut(text, ".")
	if !found || log == "" || len(text) > maxIDBytes {
		return "", errors.Wrapf(ErrBadProgramID, "%.80q", text)
	}
	if _, err := strconv.ParseUint(n, 10, 64); err != nil {
		return "", errors.Wrapf(ErrBadProgramID, "%.80q", text)
	}
	return ProgramID(text), nil
}

// maxIDBytes bounds an identifier that comes from outside.
const maxIDBytes = 128

// Log returns the log in which the program was opened.
func (p ProgramID) Log() LogID {
	log, _, _ := strings.Cut(string(p), ".")
	return LogID(log)
}

// NewCallID returns the id of step number step of turn number turn.
func NewCallID(p ProgramID, turn, step uint32) CallID {
	return CallID(string(p) + "/" + strconv.FormatUint(uint64(turn), 10) + "/" + strconv.FormatUint(uint64(step), 10))
}

// Program returns the program that the call belongs to.
func (c CallID) Program() ProgramID {
	p, _, _ := strings.Cut(string(c), "/")
	return ProgramID(p)
}
