package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/structs"
)

// OrderUpstream orders an upstream to load a model or to change its role.
type OrderUpstream struct {
	Upstream structs.UpstreamID
	// Order is "load_model" or "role"; Argument is the model or the role.
	Order    string
	Argument string
	Operator string
}

// Orderer sends orders to upstreams, each with a fencing number.
type Orderer interface {
	// OrderUpstream sends one order and returns once the upstream has carried it out.
	OrderUpstream(ctx context.Context, upstream structs.UpstreamID, order, argument, operator string) error
}

// OrderUpstreamHandler handles OrderUpstream.
type OrderUpstreamHandler struct {
	Orderer Orderer
}

// Handle returns once the upstream has carried out the order.
func (h OrderUpstreamHandler) Handle(ctx context.Context, c OrderUpstream) error {
	const step = "order upstream"
	if c.Order != "load_model" && c.Order != "role" {
		return badRequest(step, "order %q is neither load_model nor role", c.Order)
	}
	if c.Argument == "" {
		return badRequest(step, "order %q has no argument", c.Order)
	}
	return h.Orderer.OrderUpstream(ctx, c.Upstream, c.Order, c.Argument, c.Operator)
}
