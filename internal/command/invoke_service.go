package command

import (
	"context"
	"encoding/json"

	"github.com/buckthornroute/buckthornroute/structs"
)

// InvokeService calls a service on behalf of an organisation, outside a program.
type InvokeService struct {
	Organisation structs.OrganisationID
	Name         string
	// Arguments is a JSON object.
	Arguments json.RawMessage
	// Key is the idempotency key. It is required for a non-repeatable service.
	Key string
}

// Invoker runs calls to services.
type Invoker interface {
	// Invoke returns the service's result. A call to a non-repeatable service runs at most once for its key.
	Invoke(ctx context.Context, request structs.ToolRequest) (string, error)
	// NonRepeatable reports whether the service is non-repeatable, and whether it exists.
	NonRepeatable(name string) (nonRepeatable, exists bool)
}

// InvokeServiceHandler handles InvokeService.
type InvokeServiceHandler struct {
	Services Invoker
	Limits   Limits
}

// Handle returns the service's result.
func (h InvokeServiceHandler) Handle(ctx context.Context, c InvokeService) (string, error) {
	const step = "invoke service"
	nonRepeatable, exists := h.Services.NonRepeatable(c.Name)
	if !exists {
		return "", structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, step, "service %q does not exist", c.Name)
	}
	if nonRepeatable && c.Key == "" {
		return "", badRequest(step, "service %q may not be repeated and needs an Idempotency-Key header", c.Name)
	}
	if err := h.Limits.checkContent(step, "the arguments", string(c.Arguments)); err != nil {
		return "", err
	}
	if err := h.Limits.checkKey(step, c.Key); err != nil {
		return "", err
	}
	return h.Services.Invoke(ctx, structs.ToolRequest{
		Organisation: c.Organisation,
		Name:         c.Name,
		Arguments:    string(c.Arguments),
		Key:          c.Key,
		Irreversible: nonRepeatable,
	})
}
