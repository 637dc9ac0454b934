// Package command holds the operations that change state, on behalf of callers and
// operators: one file for each command and its handler. A handler validates the
// command and passes it to the component that carries it out.
package command

import (
	"github.com/buckthornroute/buckthornroute/structs"
)

// Limits bounds the sizes of a command's fields. A field above its limit is refused with
// CodeTooLarge.
type Limits struct {
	// ContentBytes bounds the content of one turn, the system prompt of a program and the
	// arguments of a service.
	ContentBytes int
	// KeyBytes bounds an idempotency key.
	KeyBytes int
}

// DefaultLimits are the limits of each entry that runs programs; no setting changes them.
var DefaultLimits = Limits{ContentBytes: 1 << 20, KeyBytes: 200}

// checkContent refuses content above ContentBytes; name names the field in the refusal.
func (l Limits) checkContent(step, name, content string) error {
	if len(content) > l.ContentBytes {
		return structs.Refusalf(structs.CodeTooLarge, structs.OutcomeNotRun, step,
			"%s has %d bytes, the limit is %d", name, len(content), l.ContentBytes)
	}
	return nil
}

// checkKey refuses an idempotency key above KeyBytes.
func (l Limits) checkKey(step, key string) error {
	if len(key) > l.KeyBytes {
		return structs.Refusalf(structs.CodeTooLarge, structs.OutcomeNotRun, step,
			"the idempotency key has %d bytes, the limit is %d", len(key), l.KeyBytes)
	}
	return nil
}

// badRequest returns a refusal of an invalid command, with OutcomeNotRun.
func badRequest(step, format string, args ...any) error {
	return structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, step, format, args...)
}
