package entry

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/ring"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Names of the state machines that exchange messages with other entries.
const (
	machineMembership = "membership"
	machinePreset     = "preset"
	machineQuarantine = "quarantine"
)

// Limits of messages between state machines.
const (
	// outboxSize bounds the messages that wait for one peer. Further ones are dropped;
	// the machines send again.
	outboxSize = 256
	// deliverBatch bounds the messages of one call.
	deliverBatch = 64
	// deliverTimeout bounds one call, so that a paused peer does not block its outbox.
	deliverTimeout = time.Second
)

// ErrUnknownMessage reports an envelope of a machine or kind that this version does not know.
var ErrUnknownMessage = errors.New("unknown message between machines")

// envelope returns the wire form of a machine's message.
func envelope(machine, kind string, message any) (*peerpb.Envelope, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(err, "encode message %q of machine %q", kind, machine)
	}
	return &peerpb.Envelope{Machine: machine, Kind: kind, Body: body}, nil
}

// sender sends the messages of state machines to other entries. Each peer address has its
// own outbox, a bounded ring, and a goroutine that delivers it, so that a slow peer does
// not delay the others.
type sender struct {
	node    structs.NodeID
	pool    *peer.Pool
	dropped atomic.Int64

	mu       sync.Mutex
	ctx      context.Context
	outboxes map[string]*ring.Ring[*peerpb.Envelope]
	workers  sync.WaitGroup
	closed   bool
}

func newSender(ctx context.Context, node structs.NodeID, pool *peer.Pool) *sender {
	return &sender{node: node, pool: pool, ctx: ctx, outboxes: map[string]*ring.Ring[*peerpb.Envelope]{}}
}

// send queues a message for the peer at the address. It drops the message if the outbox is
// full or the sender is closed.
func (s *sender) send(address string, e *peerpb.Envelope) {
	if o := s.outbox(address); o != nil && o.TryPush(e) {
		return
	}
	s.dropped.Add(1)
}

// outbox returns the outbox of the address, or nil if the sender is closed. The first call
// for an address creates the outbox and starts its goroutine.
func (s *sender) outbox(address string) *ring.Ring[*peerpb.Envelope] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	o := s.outboxes[address]
	if o == nil {
		o = ring.New[*peerpb.Envelope](outboxSize)
		s.outboxes[address] = o
		s.workers.Go(func() { s.deliver(address, o) })
	}
	return o
}

// deliver sends the messages of an outbox, in batches, until the outbox is closed and empty
// or the context of the sender ends.
func (s *sender) deliver(address string, o *ring.Ring[*peerpb.Envelope]) {
	for {
		first, err := o.Pop(s.ctx)
		if err != nil {
			return
		}
		batch := []*peerpb.Envelope{first}
		for len(batch) < deliverBatch && o.Len() > 0 {
			next, err := o.Pop(s.ctx)
			if err != nil {
				break
			}
			batch = append(batch, next)
		}
		if err := s.call(address, batch); err != nil {
			s.dropped.Add(int64(len(batch)))
		}
	}
}

// call sends one batch to the entry at the address.
func (s *sender) call(address string, batch []*peerpb.Envelope) error {
	conn, err := s.pool.Conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, deliverTimeout)
	defer cancel()
	_, err = peerpb.NewHomeClient(conn).Deliver(ctx, &peerpb.DeliverRequest{From: string(s.node), Messages: batch})
	return err
}

// close stops all workers and waits for them. Unless the context of the sender has ended,
// it waits for the messages that are queued.
func (s *sender) close() {
	s.mu.Lock()
	s.closed = true
	for address, o := range s.outboxes {
		o.Close()
		delete(s.outboxes, address)
	}
	s.mu.Unlock()
	s.workers.Wait()
}
