package side

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// blockingService is an application engine that reports the start of each call and
// blocks the call until release is closed.
type blockingService struct {
	started chan struct{}
	release chan struct{}
}

func (s *blockingService) Invoke(context.Context, structs.ToolRequest) (string, error) {
	s.started <- struct{}{}
	<-s.release
	return "result", nil
}

func (s *blockingService) Status(context.Context, string, string) (engine.StatusResponse, error) {
	return engine.StatusResponse{State: engine.ServiceNeverRan}, nil
}

func (s *blockingService) Load(context.Context) (structs.Load, error) { return structs.Load{}, nil }

// newTestSide returns the side of an application engine and a client connected to it.
func newTestSide(t *testing.T, service Service) (*Server, peerpb.UpstreamClient) {
	t.Helper()
	s, err := New(Config{Node: "side-a1", Upstream: "a1", VM: "vm-a1", Kind: structs.KindApplication, BatchLimit: 4, QueueLimit: 4, Service: service})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := peer.NewServer(peer.Options{})
	s.Register(g)
	served := make(chan error, 1)
	go func() { served <- g.Serve(l) }()
	pool := peer.NewPool(peer.Options{})
	conn, err := pool.Conn(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		pool.Close()
		g.Stop()
		<-served
	})
	return s, peerpb.NewUpstreamClient(conn)
}

func invoke(c peerpb.UpstreamClient, call string) error {
	_, err := c.Invoke(context.Background(), &peerpb.InvokeRequest{Call: call, Attempt: 1, Name: "lookup"})
	return peer.FromStatus(err, "invoke", "side-a1")
}

// While a side drains, it has to refuse new calls as not run and let running calls
// finish. Drain must not return before they have ended.
func TestClosedGateRefusesNewCallsAndFinishesRunningOnes(t *testing.T) {
	service := &blockingService{started: make(chan struct{}, 8), release: make(chan struct{})}
	s, client := newTestSide(t, service)
	running := make(chan error, 1)
	go func() { running <- invoke(client, "before") }()
	<-service.started

	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		drained <- s.Drain(ctx)
	}()
	var r *structs.Refusal
	for {
		err := invokeWithTimeout(client)
		if errors.As(err, &r) && r.Code == structs.CodeDraining {
			break
		}
	}
	if r.Outcome != structs.OutcomeNotRun || r.Peer != "side-a1" {
		t.Fatalf("refusal of a closed gate = %+v, want outcome not_run of side-a1", r)
	}
	select {
	case err := <-drained:
		t.Fatalf("Drain returned %v while a call was running", err)
	default:
	}
	close(service.release)
	if err := errors.CombineErrors(<-running, <-drained); err != nil {
		t.Fatalf("running call or Drain: %v", err)
	}
}

// invokeWithTimeout sends a call and gives it up after 20 ms.
func invokeWithTimeout(c peerpb.UpstreamClient) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Invoke(ctx, &peerpb.InvokeRequest{Call: "after", Attempt: 1, Name: "lookup"})
	return peer.FromStatus(err, "invoke", "side-a1")
}

// The side of an application engine has to refuse the orders and renewals for a model
// engine, and every side has to refuse unknown orders.
func TestUnsupportedOrdersAreRefused(t *testing.T) {
	_, client := newTestSide(t, &blockingService{})
	for _, order := range []string{"load_model", "role", "unknown"} {
		_, err := client.Order(context.Background(), &peerpb.OrderRequest{Order: order, Fencing: 1, Id: "o1"})
		var r *structs.Refusal
		if !errors.As(peer.FromStatus(err, "order", "side-a1"), &r) || r.Code != structs.CodeBadRequest || r.Outcome != structs.OutcomeNotRun {
			t.Errorf("order %q: %v, want bad_request as not run", order, err)
		}
	}
	if _, err := client.Renew(context.Background(), &peerpb.RenewRequest{}); err == nil {
		t.Error("Renew at the side of an application engine succeeded, want a refusal")
	}
}
