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

// refusingHome refuses Open and Turn with refusal.
type refusingHome struct {
	peerpb.UnimplementedHomeServer
	refusal *structs.Refusal
}

func (h *refusingHome) Open(context.Context, *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	return nil, ToStatus(h.refusal)
}

// Turn ends the stream with the refusal and without an answer.
func (h *refusingHome) Turn(*peerpb.TurnRequest, grpc.ServerStreamingServer[peerpb.TurnEvent]) error {
	return ToStatus(h.refusal)
}

// serve starts a gRPC server for h on loopback and returns its address.
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

// A refusal has to arrive with all its fields; retries depend on its outcome.
func TestRefusalIsTransmittedUnchanged(t *testing.T) {
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
		t.Fatalf("received refusal = %+v, want %+v", got, want)
	}
}

// A call that was never sent must have outcome not run, for unary and streaming calls
// alike: the peer cannot have started it, so it is safe to repeat.
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
			t.Errorf("call to a closed port: %v, want outcome not_run", err)
		}
	}
}

// If the connection is lost after a call was sent, the peer may have run it. Its outcome
// must be unknown.
func TestConnectionLostAfterSendIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	g := NewServer(Options{})
	peerpb.RegisterHomeServer(g, &blockingHome{release: release})
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
	// Stop the server only after the request has arrived.
	release <- struct{}{}
	go g.Stop()
	err = <-failed
	close(release)
	pool.Close()
	<-served
	var r *structs.Refusal
	if !errors.As(FromStatus(err, "open", "e2"), &r) || r.Outcome != structs.OutcomeUnknown {
		t.Fatalf("call on a lost connection: %v, want outcome unknown", err)
	}
}

// blockingHome receives from release twice in Open: the first time to report that the
// request arrived, the second time to block until release is closed.
type blockingHome struct {
	peerpb.UnimplementedHomeServer
	release chan struct{}
}

func (h *blockingHome) Open(context.Context, *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	<-h.release
	<-h.release
	return &peerpb.OpenReply{}, nil
}

// A process that missed a preset switch has to notice it from any message: the
// client from the reply, and the server from the request.
func TestHigherPresetVersionIsReportedAtBothEnds(t *testing.T) {
	var server, client PresetVersions
	server.Set(7)
	client.Set(3)
	seen := make(chan uint64, 1)
	client.OnHigher(func(_ structs.NodeID, version uint64) { seen <- version })
	client.Node = "e1"
	server.OnHigher(func(from structs.NodeID, version uint64) {
		if from != "e1" {
			t.Errorf("sender of the version = %q, want e1", from)
		}
		seen <- 100 + version // tells the server's report from the client's
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
		t.Fatalf("version received by the client = %d, want 7", got)
	}
	client.Set(9)
	_, _ = home.Open(context.Background(), &peerpb.OpenRequest{})
	if got := <-seen; got != 109 {
		t.Fatalf("version received by the server = %d, want 9", got-100)
	}
}

// A closed pool must refuse connections with outcome not run, so that the call can be
// repeated elsewhere.
func TestClosedPoolMakesNoConnection(t *testing.T) {
	pool := NewPool(Options{})
	pool.Close()
	conn, err := pool.Conn("127.0.0.1:1")
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Outcome != structs.OutcomeNotRun {
		t.Fatalf("Conn of a closed pool = %v, %v; want a refusal with outcome not_run", conn, err)
	}
}
