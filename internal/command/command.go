// Package command holds what changes state: one file for each command and its
// handler. A handler checks the command and hands it to the part that decides.
package command

import (
	"github.com/buckthornroute/buckthornroute/structs"
)

// Limits bounds what a command may carry. Each bound gives CodeTooLarge.
type Limits struct {
	// ContentBytes bounds the content of one turn, and the system text of a program.
	ContentBytes int
	// KeyBytes bounds an idempotency key.
	KeyBytes int
}

// DefaultLimits are the limits that apply when the settings name none.
var DefaultLimits = Limits{ContentBytes: 1 << 20, KeyBytes: 200}

func (l Limits) checkContent(step, name, content string) error {
	if len(content) > l.ContentBytes {
		return structs.Refusalf(structs.CodeTooLarge, structs.OutcomeNotRun, step,
			"%s has %d bytes, the limit is %d", name, len(content), l.ContentBytes)
	}
	return nil
}

func (l Limits) checkKey(step, key string) error {
	if len(key) > l.KeyBytes {
		return structs.Refusalf(structs.CodeTooLarge, structs.OutcomeNotRun, step,
			"the idempotency key has %d bytes, the limit is %d", len(key), l.KeyBytes)
	}
	return nil
}

func badRequest(step, format string, args ...any) error {
	return structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, step, format, args...)
}
