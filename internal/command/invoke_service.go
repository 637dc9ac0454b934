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
	// Key is the idempotency key. It is required if calls of the service are irreversible.
	Key string
}

// Invoker runs calls to services.
type Invoker interface {
	// Invoke returns the service's result. An irreversible call runs at most once for its key.
	Invoke(ctx context.Context, request structs.ToolRequest) (string, error)
	// Irreversible reports whether calls of the service are irreversible, and whether it exists.
	Irreversible(name string) (irreversible, exists bool)
}

// InvokeServiceHandler handles InvokeService.
type InvokeServiceHandler struct {
	Services Invoker
	Limits   Limits
}

// Handle returns the service's result.
func (h InvokeServiceHandler) Handle(ctx context.Context, c InvokeService) (string, error) {
	const step = "invoke service"
	irreversible, exists := h.Services.Irreversible(c.Name)
	if !exists {
		return "", structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, step, "service %q does not exist", c.Name)
	}
	if irreversible && c.Key == "" {
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
		Irreversible: irreversible,
	})
}
