package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/structs"
)

// DrainVM drains the upstreams of a VM, so that they get no new work, or ends the drain.
type DrainVM struct {
	VM structs.VMID
	// Undrain ends the drain of the VM.
	Undrain  bool
	Operator string
}

// Drainer stores drains and propagates them.
type Drainer interface {
	// Drain drains the VM's upstreams, or ends their drain if drain is false.
	Drain(ctx context.Context, vm structs.VMID, drain bool, operator string) error
}

// DrainVMHandler handles DrainVM.
type DrainVMHandler struct {
	Drainer Drainer
}

// Handle returns once the drain, or its end, is stored and the VM's sides have closed or opened
// their admission gates. It does not wait for running calls to end. After an error the drain may
// be stored, and some of the sides may have carried it out.
func (h DrainVMHandler) Handle(ctx context.Context, c DrainVM) error {
	if c.VM == "" {
		return badRequest("drain VM", "the VM's id is empty")
	}
	return h.Drainer.Drain(ctx, c.VM, !c.Undrain, c.Operator)
}
