package side

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Gate decides whether the upstream takes new work. It is pure: time comes in as
// an argument. It closes at the first of: an operator's drain, the platform's
// list, the process's own signal, or silence of all entries and the platform.
type Gate struct {
	silence   time.Duration
	lastHeard time.Time

	operatorVersion uint64
	operatorDrain   bool
	leaving         bool
	stopping        bool
}

// NewGate returns an open gate that closes after silence without word from any
// entry or the platform; zero never closes for silence.
func NewGate(now time.Time, silence time.Duration) *Gate {
	return &Gate{silence: silence, lastHeard: now}
}

// Heard records word from an entry or the platform.
func (g *Gate) Heard(now time.Time) {
	if now.After(g.lastHeard) {
		g.lastHeard = now
	}
}

// Operator applies a drain order or its end. An order older than the newest
// applied is refused with CodeFenced.
func (g *Gate) Operator(version uint64, drain bool) error {
	if version < g.operatorVersion {
		return structs.Refusalf(structs.CodeFenced, structs.OutcomeNotRun, "drain order",
			"order %d is older than order %d", version, g.operatorVersion)
	}
	g.operatorVersion = version
	g.operatorDrain = drain
	return nil
}

// Leaving records that the platform's list has the VM as leaving or gone. A VM
// that leaves does not come back, so the gate stays closed.
func (g *Gate) Leaving() { g.leaving = true }

// Stop records the process's own signal to end.
func (g *Gate) Stop() { g.stopping = true }

// Closed returns why the gate is closed, or "" when it is open.
func (g *Gate) Closed(now time.Time) string {
	switch {
	case g.stopping:
		return "the process is stopping"
	case g.leaving:
		return "the platform lists the VM as leaving"
	case g.operatorDrain:
		return "an operator drains the VM"
	case g.silence > 0 && now.Sub(g.lastHeard) > g.silence:
		return "no entry and no platform was heard for " + now.Sub(g.lastHeard).Round(time.Millisecond).String()
	}
	return ""
}
