// Package preset keeps exactly one preset in force on all nodes.
//
// The preset in force is one row of the platform's table, changed by
// compare-and-swap; each change raises its version. Machine follows that row for
// one node: it polls the row where the node is one of the few pollers, pushes a new
// version along a tree of the nodes, asks its parent in the tree for newer ones and
// ignores lower versions, so that a preset never reverts.
//
// A node takes new work only while it is fresh: while it has evidence, no older
// than a bound, that it knows every accepted switch. Evidence is a read of the row,
// or a majority of the voters asked during an outage, and travels between nodes
// with its age. A switch is accepted once a majority of the voters has it in force,
// so each later majority contains a node that knows it.
package preset

import (
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// InForceKey is the key of the row of the preset in force.
const InForceKey = "preset/in-force"

// definitionPrefix begins the keys of stored presets.
const definitionPrefix = "preset/definition/"

// DefinitionKey returns the key of the row that stores the preset's definition.
func DefinitionKey(name string) string { return definitionPrefix + name }

// DefinitionPrefix begins the keys of all stored presets.
func DefinitionPrefix() string { return definitionPrefix }

// Config sets one node's machine.
type Config struct {
	Node structs.NodeID
	// Incarnation differs between any two starts of the node's process, in its lowest
	// 32 bits.
	Incarnation uint64
	// PollInterval is the time between two reads of the row by one poller.
	PollInterval time.Duration
	// AskInterval is the time between two questions to a peer.
	AskInterval time.Duration
	// Pollers is the number of entries that poll the row; they are the voters too.
	Pollers int
	// Entries is the number of entries of the deployment by the settings. Members that
	// are out of sight still count, so that no part of the entries takes itself for the
	// whole. 0 takes the members as they are.
	Entries int
	// MaxProofAge is the age of evidence above which a node takes no new work.
	MaxProofAge time.Duration
	// SwitchTimeout bounds the time to the answer to an operator's switch.
	SwitchTimeout time.Duration
	// Initial is put in force when there is no row; nil leaves it to operators.
	Initial *structs.Preset
	// Seed seeds the choice of peers.
	Seed uint64
}

// DefaultConfig returns the defaults: polls and questions each 250 ms, 3 pollers, a
// bound of 2 s and 5 s for a switch.
func DefaultConfig(node structs.NodeID, incarnation uint64) Config {
	return Config{
		Node:          node,
		Incarnation:   incarnation,
		Seed:          incarnation,
		PollInterval:  250 * time.Millisecond,
		AskInterval:   250 * time.Millisecond,
		Pollers:       3,
		MaxProofAge:   2 * time.Second,
		SwitchTimeout: 5 * time.Second,
	}
}

// Machine is the state of one node. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	effects []Effect
	// number is the last number given to a read, a write or a question.
	number  uint64
	started time.Time

	inForce structs.PresetInForce
	tree    tree

	evidence time.Time
	informed bool
	fresh    bool

	poll  poll
	asks  map[structs.NodeID][]question
	votes map[structs.NodeID]time.Time
	// askDue is when the next questions go out; target is whom a node asks while its
	// parent is silent.
	askDue time.Time
	target structs.NodeID

	switches map[uint64]*pendingSwitch
}

// numberBits is the size of the numbers of one life. Numbers of different lives
// differ, so that an answer to a question of the former life is not taken for one of
// this life's: the asker has forgotten what it knew when it asked.
const numberBits = 32

// New returns the machine of a process that has just started at time now.
func New(cfg Config, now time.Time) *Machine {
	return &Machine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, hashOf(cfg.Node))),
		now:      now,
		number:   cfg.Incarnation << numberBits,
		started:  now,
		tree:     newTree(cfg, nil),
		asks:     make(map[structs.NodeID][]question),
		votes:    make(map[structs.NodeID]time.Time),
		switches: make(map[uint64]*pendingSwitch),
	}
}

// InForce returns the preset in force on this node; its version is 0 when none is known.
func (m *Machine) InForce() structs.PresetInForce { return m.inForce }

// Version returns the version in force, which each message to a peer carries.
func (m *Machine) Version() uint64 { return m.inForce.Version }

// Fresh reports whether the node may take new work at time now. A process that was
// paused finds its evidence too old here before it takes any.
func (m *Machine) Fresh(now time.Time) bool {
	return m.informed && m.inForce.Version > 0 && now.Sub(m.evidence) <= m.cfg.MaxProofAge
}

// Step takes one message at time now and returns the effects in the order in which
// the shell carries them out.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	m.now = now
	m.handle(msg)
	m.noteFreshness()
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) handle(msg Message) {
	switch msg := msg.(type) {
	case Tick:
		m.tick()
	case Members:
		m.setMembers(msg.Nodes)
	case ReadDone:
		m.readDone(msg)
	case WriteDone:
		m.writeDone(msg)
	case Switch:
		m.beginSwitch(msg)
	case Received:
		m.received(msg.From, msg.Message)
	case VersionReceived:
		m.heardVersion(msg.From, msg.Version)
	}
}

func (m *Machine) tick() {
	m.tickPoll()
	m.tickAsks()
	m.tickSwitches()
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) send(to structs.NodeID, w PeerMessage) { m.emit(Send{To: to, Message: w}) }

func (m *Machine) nextNumber() uint64 {
	m.number++
	return m.number
}

// learn puts p in force here unless this version or a higher one is already; it
// reports whether it did.
func (m *Machine) learn(p structs.PresetInForce) bool {
	if p.Version <= m.inForce.Version {
		return false
	}
	m.inForce = p
	m.emit(Apply{InForce: p})
	return true
}

// prove records evidence that every switch accepted before at is known here.
// Evidence from before the start does not inform a process: in its former life it
// may have taken part in accepting a later switch.
func (m *Machine) prove(at time.Time) {
	if at.After(m.evidence) {
		m.evidence = at
	}
	if !at.Before(m.started) {
		m.informed = true
	}
}

// noteFreshness tells the shell when the node becomes fresh or ceases to be.
func (m *Machine) noteFreshness() {
	fresh := m.Fresh(m.now)
	if fresh == m.fresh {
		return
	}
	m.fresh = fresh
	m.emit(Freshness{Fresh: fresh, ProvenAt: m.evidence})
}
