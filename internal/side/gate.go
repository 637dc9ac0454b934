package side

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Gate is the admission gate of an upstream: it is open while the upstream accepts new
// work. Any of these closes it: an operator's drain order, a VM listed as leaving or
// gone, the shutdown of the process, or no contact with an entry or the platform for
// longer than the silence limit. Gate performs no I/O; its methods take the time as an
// argument.
type Gate struct {
	silenceLimit time.Duration
	lastContact  time.Time

	// operatorVersion is the version of the newest drain order applied.
	operatorVersion uint64
	operatorDrain   bool
	leaving         bool
	stopping        bool
}

// NewGate returns an open gate. With a silenceLimit of zero, the gate does not close for
// lack of contact.
func NewGate(now time.Time, silenceLimit time.Duration) *Gate {
	return &Gate{silenceLimit: silenceLimit, lastContact: now}
}

// RecordContact records contact with an entry or the platform at now.
func (g *Gate) RecordContact(now time.Time) {
	if now.After(g.lastContact) {
		g.lastContact = now
	}
}

// ApplyOrder applies an operator's order to drain the VM or to end the drain. It
// refuses an order older than the newest one applied with CodeFenced.
func (g *Gate) ApplyOrder(version uint64, drain bool) error {
	if version < g.operatorVersion {
		return structs.Refusalf(structs.CodeFenced, structs.OutcomeNotRun, "drain order",
			"order %d is older than order %d", version, g.operatorVersion)
	}
	g.operatorVersion = version
	g.operatorDrain = drain
	return nil
}

// MarkLeaving records that the platform lists the VM as leaving or gone. Such a VM
// does not return, so the gate stays closed.
func (g *Gate) MarkLeaving() { g.leaving = true }

// MarkStopping records that the process is shutting down.
func (g *Gate) MarkStopping() { g.stopping = true }

// ClosedReason returns the reason why the gate is closed, or "" if it is open.
func (g *Gate) ClosedReason(now time.Time) string {
	switch {
	case g.stopping:
		return "the process is stopping"
	case g.leaving:
		return "the platform lists the VM as leaving"
	case g.operatorDrain:
		return "an operator drains the VM"
	case g.silenceLimit > 0 && now.Sub(g.lastContact) > g.silenceLimit:
		return "no entry and no platform was heard for " + now.Sub(g.lastContact).Round(time.Millisecond).String()
	}
	return ""
}
