// Package preset puts presets in force on all nodes, one at a time. It decides which version of the
// preset is in force on a node, whether the node may take new work under it, and when an operator's
// switch to another preset is accepted. A node is a process that runs a Machine: an entry, which
// accepts and runs programs, or another process, which follows the preset but is neither a poller nor
// a part of the tree.
//
// Machine is a pure state machine for one node. Its inputs are the current time and messages (ticks,
// the visible entries, answers of the platform's table, operators' orders, messages of peers); its
// outputs are effects, which the driver of the machine carries out. All times are time.Time and all
// intervals time.Duration. The version of a preset is an integer that rises by one with each switch;
// it is not the version that the platform's table gives the row (RowVersion).
//
// The preset in force is one row of the platform's table, which is changed by compare-and-swap. A few
// of the entries, the pollers, read the row at an interval. An entry pushes a new version along a tree
// of the entries. A voter also pulls newer versions from the other voters, any other node from its
// parent in the tree or from a random entry (see tickPulls). A node ignores lower versions, so that a
// running node never reverts to an earlier preset.
//
// The pollers are also the voters: the first entries in the order of a hash of their names. A switch
// is accepted once a majority of the voters has it in force, so that each later majority contains a
// node that knows it.
//
// A node takes new work only while it is fresh: while it has a freshness proof, no older than
// Config.MaxProofAge, that it knows every accepted switch. Otherwise it is stale. A freshness proof is a
// read of the row or, during an outage, the replies of a majority of the voters. Nodes pass proofs on
// to each other with their age.
package preset

import (
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// InForceKey is the key of the row of the preset in force.
const InForceKey = "preset/in-force"

// definitionPrefix is the prefix of the keys of preset definitions.
const definitionPrefix = "preset/definition/"

// DefinitionKey returns the key of the row that stores the definition of the named preset.
func DefinitionKey(name string) string { return definitionPrefix + name }

// DefinitionPrefix returns the prefix of the keys of all preset definitions.
func DefinitionPrefix() string { return definitionPrefix }

// Config configures the machine of one node.
type Config struct {
	Node structs.NodeID
	// Incarnation identifies one run of the node's process. Its lowest 32 bits must differ
	// between any two runs.
	Incarnation uint64
	// PollInterval is the time between two reads of the row by one poller. A pending switch repeats
	// its reads at the same interval.
	PollInterval time.Duration
	// PullInterval is the time between two pulls from a peer.
	PullInterval time.Duration
	// Pollers is the number of entries that poll the row. The same entries are the voters.
	Pollers int
	// Entries is the number of entries of the deployment in the settings. Entries that are not
	// visible still count, so that entries cut off from the others do not consider
	// themselves the whole deployment. With 0 only the visible entries count.
	Entries int
	// MaxProofAge is the age of the freshness proof above which a node takes no new work.
	MaxProofAge time.Duration
	// SwitchTimeout bounds the time until an operator's switch is answered.
	SwitchTimeout time.Duration
	// Initial is put in force if the row does not exist. If it is nil, an operator puts the first
	// preset in force.
	Initial *structs.Preset
	// Seed seeds the random choice of peers and the jitter.
	Seed uint64
}

// DefaultConfig returns the defaults: polls and pulls every 250 ms, 3 pollers, a maximum proof age
// of 2 s and a timeout of 5 s for a switch.
func DefaultConfig(node structs.NodeID, incarnation uint64) Config {
	return Config{
		Node:          node,
		Incarnation:   incarnation,
		Seed:          incarnation,
		PollInterval:  250 * time.Millisecond,
		PullInterval:  250 * time.Millisecond,
		Pollers:       3,
		MaxProofAge:   2 * time.Second,
		SwitchTimeout: 5 * time.Second,
	}
}

// Machine is the state machine of one node. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	effects []Effect
	// lastNumber is the last message number assigned. Each read, write and pull, and each push that
	// requests a PushAck, has a number.
	lastNumber uint64
	started    time.Time

	inForce structs.PresetInForce
	tree    tree

	// provenAt is the time of the newest freshness proof. caughtUp reports whether the node
	// knows every switch that was accepted before its start; fresh is the state last emitted as
	// Freshness.
	provenAt time.Time
	caughtUp bool
	fresh    bool

	poll  poll
	pulls map[structs.NodeID][]openPull
	// voterReplies holds, by voter, the time at which the latest pull was sent that the voter
	// answered as a node that has caught up.
	voterReplies map[structs.NodeID]time.Time
	// pullDue is the time of the next pulls. fallback is the entry from which the node pulls
	// while its parent does not answer.
	pullDue  time.Time
	fallback structs.NodeID

	switches map[uint64]*pendingSwitch
}

// numberBits is the number of low bits of a message number that count within one incarnation; the
// higher bits hold the incarnation. Otherwise a reply to a pull of the previous incarnation could
// match a pull of this one, although the node has lost what it knew at the time of the earlier pull.
const numberBits = 32

// New returns the machine of a process that starts at time now.
func New(cfg Config, now time.Time) *Machine {
	return &Machine{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, voterHash(cfg.Node))),
		now:          now,
		lastNumber:   cfg.Incarnation << numberBits,
		started:      now,
		tree:         newTree(cfg, nil),
		pulls:        make(map[structs.NodeID][]openPull),
		voterReplies: make(map[structs.NodeID]time.Time),
		switches:     make(map[uint64]*pendingSwitch),
	}
}

// InForce returns the preset in force on this node. Its version is 0 if none is known.
func (m *Machine) InForce() structs.PresetInForce { return m.inForce }

// Version returns the version in force. The driver adds it to each message to a peer.
func (m *Machine) Version() uint64 { return m.inForce.Version }

// Fresh reports whether the node may take new work at time now. It checks the age of the freshness
// proof, so that a process that was paused takes no work under a stale preset when it resumes.
func (m *Machine) Fresh(now time.Time) bool {
	return m.caughtUp && m.inForce.Version > 0 && now.Sub(m.provenAt) <= m.cfg.MaxProofAge
}

// Step takes one message at time now and returns the effects in the order in which the driver must
// carry them out.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	m.now = now
	m.handle(msg)
	m.emitFreshnessChange()
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
		m.versionReceived(msg.From, msg.Version)
	}
}

func (m *Machine) tick() {
	m.tickPoll()
	m.tickPulls()
	m.tickSwitches()
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) send(to structs.NodeID, w PeerMessage) { m.emit(Send{To: to, Message: w}) }

func (m *Machine) nextNumber() uint64 {
	m.lastNumber++
	return m.lastNumber
}

// putInForce puts p in force on this node unless the same or a higher version already is. It
// reports whether it did so.
func (m *Machine) putInForce(p structs.PresetInForce) bool {
	if p.Version <= m.inForce.Version {
		return false
	}
	m.inForce = p
	m.emit(Apply{InForce: p})
	return true
}

// recordProof records a freshness proof: every switch accepted before at is known on this node. The
// node has caught up only with a proof from after its start, since its previous incarnation may have
// voted for a switch that is later than an older proof.
func (m *Machine) recordProof(at time.Time) {
	if at.After(m.provenAt) {
		m.provenAt = at
	}
	if !at.Before(m.started) {
		m.caughtUp = true
	}
}

// emitFreshnessChange emits Freshness when the node becomes fresh or stale.
func (m *Machine) emitFreshnessChange() {
	fresh := m.Fresh(m.now)
	if fresh == m.fresh {
		return
	}
	m.fresh = fresh
	m.emit(Freshness{Fresh: fresh, ProvenAt: m.provenAt})
}
