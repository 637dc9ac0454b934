// Package ring has bounded queues that connect the goroutines of a process. Ring is a queue for
// values of one type that can be closed; PubSub is a watermill Publisher and Subscriber that
// delivers through rings. Push waits while the ring is full. No accepted value is dropped while
// its ring is open.
package ring

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned when a Ring or a PubSub is used after Close. Publish also returns it when
// a subscription has ended meanwhile.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded first-in, first-out queue; it never overwrites a value. It is safe for
// concurrent use.
type Ring[T any] struct {
	slots chan T
	// closed is closed by Close; slots is never closed, so that a concurrent Push does not panic.
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a ring with room for size values, or for 1 value if size is less than one.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{
		slots:  make(chan T, max(size, 1)),
		closed: make(chan struct{}),
	}
}

// Push appends v; it waits while the ring is full. If v was not appended, it returns the error
// of ctx or ErrClosed. A Push that runs while Close is called may still append v.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case <-r.closed:
		return ErrClosed
	default:
	}
	select {
	case r.slots <- v:
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPush appends v if there is room now, and reports whether v was appended.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case <-r.closed:
		return false
	default:
	}
	select {
	case r.slots <- v:
		return true
	default:
		return false
	}
}

// Pop removes and returns the oldest value, also when ctx has ended; it waits while the ring is
// empty. After Close, Pop returns the values that are left and then ErrClosed.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	select {
	case v := <-r.slots:
		return v, nil
	default:
	}
	select {
	case v := <-r.slots:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-r.closed:
	}
	// The ring is closed; a value may have been appended just before.
	select {
	case v := <-r.slots:
		return v, nil
	default:
		return zero, ErrClosed
	}
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Cap returns the number of values for which the ring has room.
func (r *Ring[T]) Cap() int { return cap(r.slots) }

// Close closes the ring. Push then returns ErrClosed, also a Push that waits, unless a slot
// becomes free at the same time. Pop returns the remaining values and then ErrClosed. If such a
// Push appends a value after Pop has returned ErrClosed, only a further Pop returns the value.
// Further calls of Close do nothing.
func (r *Ring[T]) Close() { r.closeOnce.Do(func() { close(r.closed) }) }
