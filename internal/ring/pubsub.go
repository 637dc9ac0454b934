package ring

import (
	"context"
	"sync"

	"github.com/ThreeDotsLabs/watermill/message"
)

// PubSub delivers watermill messages inside one process. Each subscription has its own ring.
// The messages of one publisher arrive in the order in which they were published.
type PubSub struct {
	// size is the size of the ring of each subscription.
	size int

	mu     sync.RWMutex
	closed bool
	topics map[string][]*subscription
	// deliveries counts the goroutines that deliver to subscriptions.
	deliveries sync.WaitGroup
}

var (
	_ message.Publisher  = (*PubSub)(nil)
	_ message.Subscriber = (*PubSub)(nil)
)

// NewPubSub returns a PubSub whose subscriptions have rings for size messages each.
func NewPubSub(size int) *PubSub {
	return &PubSub{size: size, topics: map[string][]*subscription{}}
}

// subscription is one channel returned by Subscribe, with the ring that feeds it.
type subscription struct {
	ring   *Ring[*message.Message]
	out    chan *message.Message
	cancel context.CancelFunc
}

// Publish implements message.Publisher. It waits while the ring of a subscription is full.
// Messages to a topic without subscriptions are discarded. It returns ErrClosed after Close or
// when a subscription ends meanwhile. It returns the error of a message's context when that
// context ends. On an error it stops: later messages, and the later subscriptions of the
// message that failed, get nothing.
func (p *PubSub) Publish(topic string, messages ...*message.Message) error {
	p.mu.RLock()
	if p.closed {
		p.mu.RUnlock()
		return ErrClosed
	}
	// The copy lets Publish wait without the lock.
	subscriptions := append([]*subscription(nil), p.topics[topic]...)
	p.mu.RUnlock()
	for _, m := range messages {
		// Each subscription gets a copy, because a message is acknowledged or rejected only once.
		for _, s := range subscriptions {
			if err := s.ring.Push(m.Context(), m.Copy()); err != nil {
				return err
			}
		}
	}
	return nil
}

// Subscribe implements message.Subscriber. The channel is closed when ctx ends or the PubSub is
// closed.
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
	p.deliveries.Go(func() {
		s.deliver(ctx)
		p.remove(topic, s)
	})
	return s.out, nil
}

// deliver sends the messages of the ring one at a time, and each one repeatedly until it is
// acknowledged.
func (s *subscription) deliver(ctx context.Context) {
	defer close(s.out)
	defer s.ring.Close()
	for {
		m, err := s.ring.Pop(ctx)
		if err != nil {
			return
		}
		// A rejected message can't be sent again, so each attempt sends a copy.
		for !s.offer(ctx, m.Copy()) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// offer sends a message once and reports whether it was acknowledged. It returns false when the
// message is rejected or ctx ends.
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

// remove deletes an ended subscription from its topic.
func (p *PubSub) remove(topic string, ended *subscription) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var remaining []*subscription
	for _, s := range p.topics[topic] {
		if s != ended {
			remaining = append(remaining, s)
		}
	}
	p.topics[topic] = remaining
}

// Close ends all subscriptions and waits until their goroutines have ended.
func (p *PubSub) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, subscriptions := range p.topics {
		for _, s := range subscriptions {
			s.cancel()
		}
	}
	p.mu.Unlock()
	p.deliveries.Wait()
	return nil
}
