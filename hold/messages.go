package hold

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Message is an input of Machine.Step.
type Message interface{ isMessage() }

// Tick makes the machine check its timeouts, which take effect only then. The driver sends
// one at least every quarter of the lease time.
type Tick struct{}

// Hold requests a lease on a program's cache. The answer is Granted or Denied. Granted
// follows when the engine has confirmed the hold; a Hold that is repeated before that, with a
// fencing number that is not older, gets no answer of its own.
type Hold struct {
	Program structs.ProgramID
	// HomeLog is the home log of the entry that owns the program.
	HomeLog structs.LogID
	// Fence is the fencing number of the program, which each takeover increases. It is
	// counted apart from Order.OrderFence.
	Fence uint64
	// Tokens is the length of the cached history in tokens.
	Tokens int64
}

// Renew renews the leases of a home. The answer is Renewed.
type Renew struct {
	HomeLog  structs.LogID
	Programs []Renewal
}

// Renewal is one lease in a Renew. Its fields are as in Hold.
type Renewal struct {
	Program structs.ProgramID
	Fence   uint64
	Tokens  int64
}

// Release ends the lease of a program. It has no answer: if it is lost, the lease expires.
// Fence is as in Hold.
type Release struct {
	Program structs.ProgramID
	Fence   uint64
}

// EngineAnswered is the answer to the AcquireAtEngine or ReleaseAtEngine with the same request
// id.
type EngineAnswered struct {
	RequestID uint64
	// Failed reports whether the engine refused or did not answer.
	Failed bool
}

// EngineList is the answer to the ListHolds with the same request id.
type EngineList struct {
	RequestID uint64
	// Failed reports whether the engine refused or did not answer.
	Failed bool
	Holds  []EngineHold
}

// EngineHold is one hold in the engine's list.
type EngineHold struct {
	Program structs.ProgramID
	Tokens  int64
}

// EngineRestarted reports that the engine lost its cache or was replaced.
type EngineRestarted struct{}

func (Tick) isMessage()            {}
func (Hold) isMessage()            {}
func (Renew) isMessage()           {}
func (Release) isMessage()         {}
func (EngineAnswered) isMessage()  {}
func (EngineList) isMessage()      {}
func (EngineRestarted) isMessage() {}

// Effect is an output of Machine.Step, which the driver carries out.
type Effect interface{ isEffect() }

// AcquireAtEngine asks the engine to hold the program's cache.
type AcquireAtEngine struct {
	RequestID uint64
	Program   structs.ProgramID
	Fence     uint64
}

// ReleaseAtEngine asks the engine to release the program's cache.
type ReleaseAtEngine struct {
	RequestID uint64
	Program   structs.ProgramID
}

// ListHolds requests the engine's list of holds.
type ListHolds struct{ RequestID uint64 }

// Granted answers a Hold: the lease has begun or is renewed.
type Granted struct {
	Program structs.ProgramID
	HomeLog structs.LogID
	// For is the time until the lease expires without renewal.
	For time.Duration
}

// Denied answers a Hold that is refused. There is no lease, or one of a newer home.
type Denied struct {
	Program structs.ProgramID
	HomeLog structs.LogID
	Refusal *structs.Refusal
}

// Renewed answers a Renew. Held are the programs with a lease; a lease that the engine has not
// confirmed yet is not extended. NotHeld are the programs without a lease and without a hold
// in the engine's list. Fenced are the programs that another entry has taken over since.
type Renewed struct {
	HomeLog structs.LogID
	Held    []structs.ProgramID
	NotHeld []structs.ProgramID
	Fenced  []structs.ProgramID
}

// Expired reports that a lease ended because it was not renewed in time.
type Expired struct {
	Program structs.ProgramID
	HomeLog structs.LogID
}

// Lost reports that a lease ended because the engine no longer holds the cache.
type Lost struct {
	Program structs.ProgramID
	HomeLog structs.LogID
}

// Reclaimed reports that a hold in the engine's list is released because no home renewed it.
type Reclaimed struct{ Program structs.ProgramID }

func (AcquireAtEngine) isEffect() {}
func (ReleaseAtEngine) isEffect() {}
func (ListHolds) isEffect()       {}
func (Granted) isEffect()         {}
func (Denied) isEffect()          {}
func (Renewed) isEffect()         {}
func (Expired) isEffect()         {}
func (Lost) isEffect()            {}
func (Reclaimed) isEffect()       {}
