package ring

import (
	"context"
	"strconv"
	"testing"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestFullRingBlocksAndClosedRingDrains guards against a ring that accepts more values than its
// size, and against losing values that were pushed before Close.
func TestFullRingBlocksAndClosedRingDrains(t *testing.T) {
	r := New[int](1)
	ctx, cancel := context.WithCancel(context.Background())
	if !r.TryPush(1) || r.TryPush(2) {
		t.Fatal("a ring of size 1 did not accept exactly 1 value")
	}
	cancel()
	if err := r.Push(ctx, 2); !errors.Is(err, context.Canceled) {
		t.Fatalf("Push to a full ring with a cancelled context = %v", err)
	}
	r.Close()
	if v, err := r.Pop(context.Background()); v != 1 || err != nil {
		t.Fatalf("Pop after Close = %d, %v, want 1, nil", v, err)
	}
	if _, err := r.Pop(context.Background()); !errors.Is(err, ErrClosed) {
		t.Fatalf("Pop from an empty closed ring = %v, want ErrClosed", err)
	}
	if err := r.Push(context.Background(), 3); !errors.Is(err, ErrClosed) {
		t.Fatalf("Push after Close = %v, want ErrClosed", err)
	}
}

// TestPubSubPreservesOrderAndRedelivers guards against messages that are lost or overtaken when
// a subscriber rejects one: message 7 is rejected once and must arrive again before 8.
func TestPubSubPreservesOrderAndRedelivers(t *testing.T) {
	p := NewPubSub(2)
	defer p.Close()
	in, err := p.Subscribe(context.Background(), "t")
	if err != nil {
		t.Fatal(err)
	}
	published := make(chan error, 1)
	go func() {
		for i := range 20 {
			m := message.NewMessage(strconv.Itoa(i), nil)
			if err := p.Publish("t", m); err != nil {
				published <- err
				return
			}
		}
		published <- nil
	}()
	rejected := false
	for i := 0; i < 20; {
		m := <-in
		if m.UUID != strconv.Itoa(i) {
			t.Fatalf("received message %s, want message %d", m.UUID, i)
		}
		if i == 7 && !rejected {
			rejected = true
			m.Nack()
			continue
		}
		m.Ack()
		i++
	}
	if err := <-published; err != nil {
		t.Fatal(err)
	}
}

// TestPublishAfterClose guards against a Publish after Close that waits or reports success.
func TestPublishAfterClose(t *testing.T) {
	p := NewPubSub(1)
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	if err := p.Publish("t", message.NewMessage("1", nil)); !errors.Is(err, ErrClosed) {
		t.Fatalf("Publish after Close = %v, want ErrClosed", err)
	}
}
