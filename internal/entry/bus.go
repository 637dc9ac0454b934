package entry

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/ring"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Topics of the events between the duties of an entry.
const (
	// topicPreset carries structs.PresetInForce when a preset comes into force here.
	topicPreset = "preset.in_force"
	// topicOrphaned carries orphaned when the programs of a log need a new home.
	topicOrphaned = "log.orphaned"
	// topicReleased carries released when a program has ended.
	topicReleased = "program.released"
	// topicSuperseded carries superseded when others know this process's log as taken over.
	topicSuperseded = "log.superseded"
	// topicGate carries gateChange when a VM stops or resumes to take new work.
	topicGate = "vm.gate"
)

// orphaned is a log whose holder is gone, and why it is thought so.
type orphaned struct {
	Log    structs.LogID `json:"log"`
	Reason string        `json:"reason"`
}

// superseded is what others say of this process's own log.
type superseded struct {
	Successor structs.LogID `json:"successor"`
}

// gateChange says whether a VM takes new work.
type gateChange struct {
	VM     structs.VMID `json:"vm"`
	Closed bool         `json:"closed"`
}

// released is a program that has ended.
type released struct {
	Program structs.ProgramID `json:"program"`
}

// busRing is the number of events that may wait for one duty.
const busRing = 1024

// bus carries events between the duties of an entry: a watermill router over
// bounded rings, with one duty for each handler. A full ring makes publishers wait.
type bus struct {
	events *ring.PubSub
	router *message.Router
	log    *eventlog.Logger
}

func newBus(log *eventlog.Logger) (*bus, error) {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return nil, errors.Wrap(err, "router of events")
	}
	return &bus{events: ring.NewPubSub(busRing), router: router, log: log}, nil
}

// handle adds a duty that takes the events of a topic, one at a time and in order.
// An event that it fails is logged and not delivered again: what is lost by it is
// found again by the next event or tick.
func handle[T any](b *bus, duty, topic string, f func(ctx context.Context, event T) error) {
	b.router.AddConsumerHandler(duty, topic, b.events, func(m *message.Message) error {
		var event T
		err := json.Unmarshal(m.Payload, &event)
		if err == nil {
			err = f(m.Context(), event)
		}
		if err != nil {
			b.log.Emit(eventlog.WorkerFailed, eventlog.Fields{Step: duty, Err: err})
		}
		return nil
	})
}

// publish hands an event to the duties of its topic. It waits while a ring is full.
func publish[T any](b *bus, topic string, event T) {
	payload, err := json.Marshal(event)
	if err == nil {
		err = b.events.Publish(topic, message.NewMessage(watermill.NewShortUUID(), payload))
	}
	if err != nil && !errors.Is(err, ring.ErrClosed) {
		b.log.Emit(eventlog.WorkerFailed, eventlog.Fields{Step: "publish " + topic, Err: err})
	}
}

// run carries events until ctx ends.
func (b *bus) run(ctx context.Context) error {
	err := b.router.Run(ctx)
	return errors.CombineErrors(err, b.events.Close())
}

// awaitRunning waits until every duty takes events: one published before would be lost.
func (b *bus) awaitRunning(ctx context.Context) {
	select {
	case <-b.router.Running():
	case <-ctx.Done():
	}
}
