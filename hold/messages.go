package hold

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Message is what a machine is stepped with.
type Message interface{ isMessage() }

// Tick lets time pass; the shell sends one at least each quarter of the lease time.
type Tick struct{}

// Hold asks to hold a program's cache. It is answered by Granted or Denied.
type Hold struct {
	Program structs.ProgramID
	Home    structs.LogID
	Fence   uint64
	// Tokens is the length of the history whose cache is held.
	Tokens int64
}

// Renew renews a home's leases. It is answered by Renewed.
type Renew struct {
	Home     structs.LogID
	Programs []Renewal
}

// Renewal is one lease of a Renew.
type Renewal struct {
	Program structs.ProgramID
	Fence   uint64
	Tokens  int64
}

// Release ends a program's lease. It needs no answer: a lost one lapses.
type Release struct {
	Program structs.ProgramID
	Fence   uint64
}

// EngineAnswered is the answer to PinAtEngine or ReleaseAtEngine with the same number.
type EngineAnswered struct {
	RequestID uint64
	// Failed says that the engine refused or did not answer.
	Failed bool
}

// EngineList is the answer to ListHolds with the same number.
type EngineList struct {
	RequestID uint64
	Failed    bool
	Holds     []EngineHold
}

// EngineHold is one line of the engine's list.
type EngineHold struct {
	Program structs.ProgramID
	Tokens  int64
}

// EngineRestarted says that the engine has lost its cache, or was replaced.
type EngineRestarted struct{}

func (Tick) isMessage()            {}
func (Hold) isMessage()            {}
func (Renew) isMessage()           {}
func (Release) isMessage()         {}
func (EngineAnswered) isMessage()  {}
func (EngineList) isMessage()      {}
func (EngineRestarted) isMessage() {}

// Effect is what the shell carries out.
type Effect interface{ isEffect() }

// PinAtEngine asks the engine to hold the program's cache.
type PinAtEngine struct {
	RequestID uint64
	Program   structs.ProgramID
	Fence     uint64
}

// ReleaseAtEngine asks the engine to release the program's cache.
type ReleaseAtEngine struct {
	RequestID uint64
	Program   structs.ProgramID
}

// ListHolds asks for the engine's list of holds.
type ListHolds struct{ RequestID uint64 }

// Granted answers a Hold.
type Granted struct {
	Program structs.ProgramID
	Home    structs.LogID
	// For is how long the lease lasts from now without renewal.
	For time.Duration
}

// Denied answers a Hold.
type Denied struct {
	Program structs.ProgramID
	Home    structs.LogID
	Refusal *structs.Refusal
}

// Renewed answers a Renew. Programs not held have lost their cache here; the home of
// a fenced one is no longer its home.
type Renewed struct {
	Home    structs.LogID
	Held    []structs.ProgramID
	NotHeld []structs.ProgramID
	Fenced  []structs.ProgramID
}

// Expired says that a lease was not renewed in time.
type Expired struct {
	Program structs.ProgramID
	Home    structs.LogID
}

// Lost says that the engine no longer holds a lease's cache.
type Lost struct {
	Program structs.ProgramID
	Home    structs.LogID
}

// Reclaimed says that a hold of the engine's list, which no home renewed, is released.
type Reclaimed struct{ Program structs.ProgramID }

func (PinAtEngine) isEffect()     {}
func (ReleaseAtEngine) isEffect() {}
func (ListHolds) isEffect()       {}
func (Granted) isEffect()         {}
func (Denied) isEffect()          {}
func (Renewed) isEffect()         {}
func (Expired) isEffect()         {}
func (Lost) isEffect()            {}
func (Reclaimed) isEffect()       {}
