// Package structs defines the types that all packages and processes share: identifiers,
// programs, calls and their answers, conversation messages and digests, budgets, the load
// of an upstream, presets, and Refusal, the typed error of a failed step. It takes no
// decisions and does no I/O.
//
// Durations are time.Duration, lengths of text are bytes, and lengths of prompts and of
// cache are tokens. The JSON and TOML names of the fields are part of the stored and
// transmitted formats, and some differ from the Go names: TurnTimeout and TurnTimeouts are
// "patience", Irreversible is "non_repeatable", Durable is "kept", EvictionAge is "turnover" and
// HomeAttempt is "try".
package structs

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Identifiers. Only the functions of this file parse them; all other code treats them as
// opaque text. An entry is a process that accepts programs and runs them; the home of a
// program is the entry that owns it. A side is a process beside an upstream, which queues the
// calls to it.
type (
	// LogID names one home log, the write-ahead log of one incarnation of an entry. It is
	// the entry's name and its incarnation, such as "e1-5f0c2a".
	LogID string
	// ProgramID names one program and the home log in which it was opened, such as
	// "e1-5f0c2a.17".
	ProgramID string
	// CallID names one step of one turn of a program, such as "e1-5f0c2a.17/3/2" for
	// step 2 of turn 3.
	CallID string
	// OrganisationID names the organisation that the caller's token belongs to.
	OrganisationID string
	// UpstreamID names one model engine or application engine.
	UpstreamID string
	// VMID names one VM in the platform's list of VMs.
	VMID string
	// FailureDomain names one failure domain, as the settings define it.
	FailureDomain string
	// NodeID names one process of the system, an entry or a side. The name stays the same over
	// restarts.
	NodeID string
)

// ErrBadProgramID means that a text is not a program id.
var ErrBadProgramID = errors.New("malformed program id")

// NewProgramID returns the id of the n-th program that was opened in the log.
func NewProgramID(log LogID, n uint64) ProgramID {
	return ProgramID(string(log) + "." + strconv.FormatUint(n, 10))
}

// ParseProgramID parses a program id that came from outside the process. It returns
// ErrBadProgramID, wrapped with the text, if the text is malformed.
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

// maxIDBytes is the maximum length of a program id that comes from outside the process.
const maxIDBytes = 128

// Log returns the home log in which the program was opened.
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
