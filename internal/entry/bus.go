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

// Topics of the events between the components of an entry.
const (
	// topicPreset carries structs.PresetInForce when a preset comes into force at this entry.
	topicPreset = "preset.in_force"
	// topicOrphaned carries orphaned when the owner of a log is gone and its programs
	// need a new home.
	topicOrphaned = "log.orphaned"
	// topicProgramEnded carries programEnded when the end of a program is committed and its
	// resources can be freed.
	topicProgramEnded = "program.released"
	// topicSuperseded carries superseded when other entries report that the log of this
	// process was taken over.
	topicSuperseded = "log.superseded"
	// topicGate carries gateChange when a VM stops or resumes taking new work.
	topicGate = "vm.gate"
)

// orphaned names a log whose owner is gone, and the reason why the membership decided so.
type orphaned struct {
	Log    structs.LogID `json:"log"`
	Reason string        `json:"reason"`
}

// superseded names the log that, as other entries report, took over the log of this process.
type superseded struct {
	Successor structs.LogID `json:"successor"`
}

// gateChange is a change of a VM's admission gate; a closed one takes no new work.
type gateChange struct {
	VM     structs.VMID `json:"vm"`
	Closed bool         `json:"closed"`
}

// programEnded names a program that has ended.
type programEnded struct {
	Program structs.ProgramID `json:"program"`
}

// busRingSize is the number of events that may wait for one handler.
const busRingSize = 1024

// bus carries events between the components of an entry. It is a watermill router
// over bounded rings; each handler has its own goroutine. A full ring blocks publishers.
type bus struct {
	events *ring.PubSub
	router *message.Router
	logger *eventlog.Logger
}

func newBus(log *eventlog.Logger) (*bus, error) {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return nil, errors.Wrap(err, "create the event router")
	}
	return &bus{events: ring.NewPubSub(busRingSize), router: router, logger: log}, nil
}

// handle registers a handler that receives the events of a topic, one at a time and in
// order. When it fails, the error is logged and the event is not delivered again:
// recovery relies on a later event or tick.
func handle[T any](b *bus, handler, topic string, f func(ctx context.Context, event T) error) {
	b.router.AddConsumerHandler(handler, topic, b.events, func(m *message.Message) error {
		var event T
		err := json.Unmarshal(m.Payload, &event)
		if err == nil {
			err = f(m.Context(), event)
		}
		if err != nil {
			b.logger.Emit(eventlog.WorkerFailed, eventlog.Fields{Step: handler, Err: err})
		}
		return nil
	})
}

// publish sends an event to the handlers of its topic. It blocks while a ring is full.
func publish[T any](b *bus, topic string, event T) {
	payload, err := json.Marshal(event)
	if err == nil {
		err = b.events.Publish(topic, message.NewMessage(watermill.NewShortUUID(), payload))
	}
	if err != nil && !errors.Is(err, ring.ErrClosed) {
		b.logger.Emit(eventlog.WorkerFailed, eventlog.Fields{Step: "publish " + topic, Err: err})
	}
}

// run delivers events until ctx ends.
func (b *bus) run(ctx context.Context) error {
	err := b.router.Run(ctx)
	return errors.CombineErrors(err, b.events.Close())
}

// awaitRunning waits until every handler receives events: one published earlier would be lost.
func (b *bus) awaitRunning(ctx context.Context) {
	select {
	case <-b.router.Running():
	case <-ctx.Done():
	}
}
