// Package ring joins the duties of a process: a bounded ring for values of one
// type, and a watermill Publisher and Subscriber that deliver over such rings.
// A full ring blocks the sender until there is room; nothing is ever dropped.
package ring

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrClosed reports use of a ring after Close.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded first-in first-out queue between goroutines.
// All methods may be called from any goroutine.
type Ring[T any] struct {
	slots  chan T
	closed chan struct{}
	once   sync.Once
}

// New returns a ring with room for size values; a size below one gives room for one.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{
		slots:  make(chan T, max(size, 1)),
		closed: make(chan struct{}),
	}
}

// Push appends v, waiting for room. It returns ctx's error or ErrClosed when v was not appended.
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

// TryPush appends v if there is room now and reports whether it did.
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

// Pop removes the oldest value, waiting for one. Values pushed before Close are
// still returned; then Pop returns ErrClosed.
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
	select {
	case v := <-r.slots:
		return v, nil
	default:
		return zero, ErrClosed
	}
}

// Len returns the number of values in the ring, Cap its size.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Cap returns the number of values the ring has room for.
func (r *Ring[T]) Cap() int { return cap(r.slots) }

// Close ends the ring. Blocked senders return ErrClosed.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.closed) }) }
