package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// NodeState is the state of a node of the network.
type NodeState string

// States of a node.
const (
	NodeLive   NodeState = "live"
	NodePaused NodeState = "paused"
	NodeKilled NodeState = "killed"
)

// Envelope is a message from one node to another.
type Envelope struct {
	From, To string
	Message  any
	due      time.Time // earliest time of delivery
}

// Network simulates a network between named nodes, with the faults that a script sets.
// Messages to a paused node wait. Deliver drops messages to a killed node and messages whose
// link is cut at that time.
type Network struct {
	clock *Clock
	rng   *rand.Rand

	nodes          map[string]NodeState
	cuts           map[[2]string]bool // cut links by linkKey
	inFlight       []Envelope         // messages not delivered yet, in the order in which they were sent
	delay          time.Duration      // of messages sent from now on
	duplicatesLeft int                // number of next messages that are sent twice
	reorder        bool               // deliver in random order

	outage        bool
	answersToLose int // number of next platform writes whose answers are lost
}

// NewNetwork returns a network without nodes and registers its verbs with the script:
//
//	start NODE…, kill NODE…, pause NODE…, resume NODE…: set the state of nodes; start and
//	  resume both make a node live
//	cut A B: cut the link in both directions
//	heal [A B]: restore the link, or every link
//	late DURATION: delay the messages sent from now on
//	duplicate [N]: send the next N messages twice (default 0, which ends duplication)
//	reorder on|off: deliver messages in random order
//	outage on|off: start or end a platform outage
//	lose-answer [N]: lose the answers to the next N platform writes (default 1)
//
// The seed determines the order of messages while reorder is on.
func NewNetwork(s *Script, seed uint64) *Network {
	n := &Network{
		clock: &s.Clock,
		rng:   rand.New(rand.NewPCG(seed, seed)),
		nodes: make(map[string]NodeState),
		cuts:  make(map[[2]string]bool),
	}
	n.handleNodes(s)
	n.handleLinks(s)
	n.handlePlatform(s)
	return n
}

// handleNodes registers the verbs that set the state of nodes.
func (n *Network) handleNodes(s *Script) {
	for verb, state := range map[string]NodeState{
		"start": NodeLive, "kill": NodeKilled, "pause": NodePaused, "resume": NodeLive,
	} {
		s.Handle(verb, func(a Args) string {
			for _, node := range a.Words() {
				n.SetState(node, state)
			}
			return ""
		})
	}
}

// handleLinks registers the verbs that change links and the delivery of messages.
func (n *Network) handleLinks(s *Script) {
	s.Handle("cut", func(a Args) string {
		n.cuts[linkKey(a.Word(0), a.Word(1))] = true
		return ""
	})
	s.Handle("heal", func(a Args) string {
		if len(a.Words()) == 0 {
			clear(n.cuts)
			return ""
		}
		delete(n.cuts, linkKey(a.Word(0), a.Word(1)))
		return ""
	})
	s.Handle("late", func(a Args) string {
		d, err := time.ParseDuration(a.Word(0))
		if err != nil {
			a.Fatalf("late %q: not a duration", a.Word(0))
		}
		n.delay = d
		return ""
	})
	s.Handle("duplicate", func(a Args) string {
		n.duplicatesLeft = parseCount(a, 0)
		return ""
	})
	s.Handle("reorder", func(a Args) string {
		n.reorder = parseOnOff(a)
		return ""
	})
}

// handlePlatform registers the verbs for faults of the platform.
func (n *Network) handlePlatform(s *Script) {
	s.Handle("outage", func(a Args) string {
		n.outage = parseOnOff(a)
		return ""
	})
	s.Handle("lose-answer", func(a Args) string {
		n.answersToLose = parseCount(a, 1)
		return ""
	})
}

// parseOnOff returns whether the first word of the directive is "on"; any word but "on" and
// "off" fails the test.
func parseOnOff(a Args) bool {
	word := a.Word(0)
	if word != "on" && word != "off" {
		a.Fatalf("%s %q: want on or off", a.Verb(), word)
	}
	return word == "on"
}

// parseCount returns the first word of the directive as a count, or fallback without one.
func parseCount(a Args, fallback int) int {
	if len(a.Words()) == 0 {
		return fallback
	}
	var value int
	if _, err := fmt.Sscan(a.Word(0), &value); err != nil || value < 0 {
		a.Fatalf("%s %q: want a count of at least 0", a.Verb(), a.Word(0))
	}
	return value
}

// linkKey returns the key of the link between two nodes, the same for both directions.
func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// SetState changes the state of a node. Messages in flight to a node that is killed are
// lost.
func (n *Network) SetState(node string, state NodeState) {
	n.nodes[node] = state
	if state == NodeKilled {
		n.inFlight = slices.DeleteFunc(n.inFlight, func(e Envelope) bool { return e.To == node })
	}
}

// State returns the state of a node; a node that was never started counts as killed.
func (n *Network) State(node string) NodeState {
	if state, exists := n.nodes[node]; exists {
		return state
	}
	return NodeKilled
}

// Outage reports whether the script has set a platform outage.
func (n *Network) Outage() bool { return n.outage }

// LoseAnswer reports whether the answer to the current platform write is lost. It counts
// down the answers that lose-answer set.
func (n *Network) LoseAnswer() bool {
	if n.answersToLose == 0 {
		return false
	}
	n.answersToLose--
	return true
}

// Send queues a message, twice while the count set by duplicate is not used up.
func (n *Network) Send(from, to string, message any) {
	e := Envelope{From: from, To: to, Message: message, due: n.clock.Now().Add(n.delay)}
	n.inFlight = append(n.inFlight, e)
	if n.duplicatesLeft > 0 {
		n.duplicatesLeft--
		n.inFlight = append(n.inFlight, e)
	}
}

// Deliver removes and returns the next message that is due; ok is false when there is none.
// It first drops the messages to killed nodes and those whose link is cut at this time.
func (n *Network) Deliver() (e Envelope, ok bool) {
	n.inFlight = slices.DeleteFunc(n.inFlight, func(e Envelope) bool {
		return n.cuts[linkKey(e.From, e.To)] || n.State(e.To) == NodeKilled
	})
	var ready []int
	for i, e := range n.inFlight {
		if !e.due.After(n.clock.Now()) && n.State(e.To) == NodeLive {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return Envelope{}, false
	}
	i := ready[0]
	if n.reorder {
		i = ready[n.rng.IntN(len(ready))]
	}
	e = n.inFlight[i]
	n.inFlight = slices.Delete(n.inFlight, i, i+1)
	return e, true
}

// String lists the messages in flight, for the output of a script.
func (n *Network) String() string {
	var out strings.Builder
	for _, e := range n.inFlight {
		fmt.Fprintf(&out, "%s -> %s: %v\n", e.From, e.To, e.Message)
	}
	return out.String()
}
