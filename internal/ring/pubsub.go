package ring

import (
	"context"
	"sync"

	"github.com/ThreeDotsLabs/watermill/message"
)

// PubSub delivers watermill messages inside one process. Each subscription has a
// ring of its own, and messages of one publisher arrive in the order published.
type PubSub struct {
	size int

	mu     sync.RWMutex
	closed bool
	topics map[string][]*subscription
	duties sync.WaitGroup
}

var (
	_ message.Publisher  = (*PubSub)(nil)
	_ message.Subscriber = (*PubSub)(nil)
)

// NewPubSub returns a PubSub whose subscriptions have rings of the given size.
func NewPubSub(size int) *PubSub {
	return &PubSub{size: size, topics: map[string][]*subscription{}}
}

type subscription struct {
	ring   *Ring[*message.Message]
	out    chan *message.Message
	cancel context.CancelFunc
}

// Publish implements message.Publisher. It waits while a subscriber's ring is
// full and returns ErrClosed after Close. A topic without subscribers accepts all.
func (p *PubSub) Publish(topic string, messages ...*message.Message) error {
	p.mu.RLock()
	if p.closed {
		p.mu.RUnlock()
		return ErrClosed
	}
	subscriptions := append([]*subscription(nil), p.topics[topic]...)
	p.mu.RUnlock()
	for _, m := range messages {
		for _, s := range subscriptions {
			if err := s.ring.Push(m.Context(), m.Copy()); err != nil {
				return err
			}
		}
	}
	return nil
}

// Subscribe implements message.Subscriber. The channel closes when ctx ends or the PubSub is closed.
func (p *PubSub) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &subscription{
		ring:   New[*message.Message](p.size),
		out:    make(chan *message.Message),
		cancel: cancel,
	}
	p.topics[topic] = append(p.topics[topic], s)
	p.duties.Go(func() {
		s.deliver(ctx)
		p.remove(topic, s)
	})
	return s.out, nil
}

// deliver hands messages over one at a time, each again until it is acknowledged.
func (s *subscription) deliver(ctx context.Context) {
	defer close(s.out)
	defer s.ring.Close()
	for {
		m, err := s.ring.Pop(ctx)
		if err != nil {
			return
		}
		for !s.offer(ctx, m.Copy()) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// offer reports whether the message was acknowledged.
func (s *subscription) offer(ctx context.Context, m *message.Message) bool {
	m.SetContext(ctx)
	select {
	case s.out <- m:
	case <-ctx.Done():
		return false
	}
	select {
	case <-m.Acked():
		return true
	case <-m.Nacked():
		return false
	case <-ctx.Done():
		return false
	}
}

func (p *PubSub) remove(topic string, gone *subscription) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []*subscription
	for _, s := range p.topics[topic] {
		if s != gone {
			kept = append(kept, s)
		}
	}
	p.topics[topic] = kept
}

// Close ends all subscriptions and waits for their goroutines.
func (p *PubSub) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, subscriptions := range p.topics {
		for _, s := range subscriptions {
			s.cancel()
		}
	}
	p.mu.Unlock()
	p.duties.Wait()
	return nil
}
