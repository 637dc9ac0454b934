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

func TestFullRingBlocksAndClosedRingDrains(t *testing.T) {
	r := New[int](1)
	ctx, cancel := context.WithCancel(context.Background())
	if !r.TryPush(1) || r.TryPush(2) {
		t.Fatal("a ring of one did not hold exactly one value")
	}
	cancel()
	if err := r.Push(ctx, 2); !errors.Is(err, context.Canceled) {
		t.Fatalf("push on a full ring = %v", err)
	}
	r.Close()
	if v, err := r.Pop(context.Background()); v != 1 || err != nil {
		t.Fatalf("pop after close = %d, %v", v, err)
	}
	if _, err := r.Pop(context.Background()); !errors.Is(err, ErrClosed) {
		t.Fatalf("pop of an empty closed ring = %v", err)
	}
	if err := r.Push(context.Background(), 3); !errors.Is(err, ErrClosed) {
		t.Fatalf("push after close = %v", err)
	}
}

func TestPubSubKeepsOrderAndRedelivers(t *testing.T) {
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
	refused := false
	for i := 0; i < 20; {
		m := <-in
		if m.UUID != strconv.Itoa(i) {
			t.Fatalf("message %s arrived at place %d", m.UUID, i)
		}
		if i == 7 && !refused {
			refused = true
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

func TestPublishAfterClose(t *testing.T) {
	p := NewPubSub(1)
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	if err := p.Publish("t", message.NewMessage("1", nil)); !errors.Is(err, ErrClosed) {
		t.Fatalf("publish after close = %v", err)
	}
}
