package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/structs"
)

// DrainVM closes the upstreams of a VM to new work, or opens them again.
type DrainVM struct {
	VM structs.VMID
	// Undrain opens the VM again.
	Undrain  bool
	Operator string
}

// Drainer records and spreads drains.
type Drainer interface {
	Drain(ctx context.Context, vm structs.VMID, drain bool, operator string) error
}

// DrainVMHandler handles DrainVM.
type DrainVMHandler struct {
	Drainer Drainer
}

// Handle returns once the drain is recorded and sent to the VM's side.
func (h DrainVMHandler) Handle(ctx context.Context, c DrainVM) error {
	if c.VM == "" {
		return badRequest("drain VM", "the VM's id is empty")
	}
	return h.Drainer.Drain(ctx, c.VM, !c.Undrain, c.Operator)
}
