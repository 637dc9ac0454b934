package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type refusingHome struct {
	peerpb.UnimplementedHomeServer
	refusal *structs.Refusal
}

func (h *refusingHome) Open(context.Context, *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	return nil, ToStatus(h.refusal)
}

// Turn ends the connection without an answer.
func (h *refusingHome) Turn(*peerpb.TurnRequest, grpc.ServerStreamingServer[peerpb.TurnEvent]) error {
	return ToStatus(h.refusal)
}

// serve returns the address of a gRPC server on loopback.
func serve(t *testing.T, versions *PresetVersions, h peerpb.HomeServer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewServer(Options{Versions: versions})
	peerpb.RegisterHomeServer(g, h)
	done := make(chan error, 1)
	go func() { done <- g.Serve(l) }()
	t.Cleanup(func() {
		g.Stop()
		<-done
	})
	return l.Addr().String()
}

func TestRefusalCrossesUnchanged(t *testing.T) {
	want := structs.Refusal{
		Code:       structs.CodeOverloaded,
		Outcome:    structs.OutcomeNotRun,
		Step:       "queue",
		Peer:       "side-7",
		RetryAfter: 1500 * time.Millisecond,
		Detail:     "128 calls wait, the limit is 128",
	}
	address := serve(t, nil, &refusingHome{refusal: &want})
	pool := NewPool(Options{})
	defer pool.Close()
	conn, err := pool.Conn(address)
	if err != nil {
		t.Fatal(err)
	}
	_, err = peerpb.NewHomeClient(conn).Open(context.Background(), &peerpb.OpenRequest{})
	var got *structs.Refusal
	if !errors.As(FromStatus(err, "open", "e2"), &got) || *got != want {
		t.Fatalf("refusal arrived as %+v, want %+v", got, want)
	}
}

// A call that never left says not run; the peer cannot have started it.
func TestConnectionRefusedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	pool := NewPool(Options{})
	defer pool.Close()
	conn, err := pool.Conn(address)
	if err != nil {
		t.Fatal(err)
	}
	_, unary := peerpb.NewHomeClient(conn).Open(context.Background(), &peerpb.OpenRequest{})
	_, stream := peerpb.NewHomeClient(conn).Turn(context.Background(), &peerpb.TurnRequest{})
	for _, err := range []error{unary, stream} {
		var r *structs.Refusal
		if !errors.As(FromStatus(err, "open", "e2"), &r) || r.Outcome != structs.OutcomeNotRun {
			t.Errorf("error of a closed port is %v, want outcome not_run", err)
		}
	}
}

func TestConnectionLostAfterSendIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	g := NewServer(Options{})
	peerpb.RegisterHomeServer(g, &lostHome{release: release})
	served := make(chan error, 1)
	go func() { served <- g.Serve(l) }()
	pool := NewPool(Options{})
	conn, err := pool.Conn(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 1)
	go func() {
		_, err := peerpb.NewHomeClient(conn).Open(context.Background(), &peerpb.OpenRequest{})
		failed <- err
	}()
	release <- struct{}{}
	go g.Stop()
	err = <-failed
	close(release)
	pool.Close()
	<-served
	var r *structs.Refusal
	if !errors.As(FromStatus(err, "open", "e2"), &r) || r.Outcome != structs.OutcomeUnknown {
		t.Fatalf("error of a lost connection is %v, want outcome unknown", err)
	}
}

// lostHome tells that a request arrived and holds it until release is closed.
type lostHome struct {
	peerpb.UnimplementedHomeServer
	release chan struct{}
}

func (h *lostHome) Open(context.Context, *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	<-h.release
	<-h.release
	return &peerpb.OpenReply{}, nil
}

func TestHigherPresetVersionIsSeenBothWays(t *testing.T) {
	var server, client PresetVersions
	server.Set(7)
	client.Set(3)
	seen := make(chan uint64, 1)
	client.OnHigher(func(_ structs.NodeID, version uint64) { seen <- version })
	client.Node = "e1"
	server.OnHigher(func(from structs.NodeID, version uint64) {
		if from != "e1" {
			t.Errorf("the version came from %q, want e1", from)
		}
		seen <- 100 + version
	})
	address := serve(t, &server, &refusingHome{refusal: &structs.Refusal{Code: structs.CodeNotReady}})
	pool := NewPool(Options{Versions: &client})
	defer pool.Close()
	conn, err := pool.Conn(address)
	if err != nil {
		t.Fatal(err)
	}
	home := peerpb.NewHomeClient(conn)
	_, _ = home.Open(context.Background(), &peerpb.OpenRequest{})
	if got := <-seen; got != 7 {
		t.Fatalf("the client saw version %d, want 7", got)
	}
	client.Set(9)
	_, _ = home.Open(context.Background(), &peerpb.OpenRequest{})
	if got := <-seen; got != 109 {
		t.Fatalf("the server saw %d, want version 9", got-100)
	}
}

func TestClosedPoolMakesNoConnection(t *testing.T) {
	pool := NewPool(Options{})
	pool.Close()
	conn, err := pool.Conn("127.0.0.1:1")
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Outcome != structs.OutcomeNotRun {
		t.Fatalf("a closed pool gave %v, %v; want a refusal as not run", conn, err)
	}
}
