package entry

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedSide answers each call by the function that the test sets.
type scriptedSide struct {
	peerpb.UnimplementedUpstreamServer
	requests []*peerpb.CallModelRequest
	answer   func(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error
}

func (s *scriptedSide) CallModel(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error {
	s.requests = append(s.requests, req)
	return s.answer(req, stream)
}

// linkTo returns a link to the side, served on loopback.
func linkTo(t *testing.T, s *scriptedSide) *sideLink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := peer.NewServer(peer.Options{})
	peerpb.RegisterUpstreamServer(g, s)
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
	return newSideLink("m1", "vm1", l.Addr().String(), conn)
}

func modelCall(messages ...string) *structs.ModelCall {
	call := &structs.ModelCall{Call: "e1-a.1/1/1", Attempt: 3, Program: "e1-a.1"}
	for _, content := range messages {
		call.Messages = append(call.Messages, structs.Message{Role: structs.RoleUser, Content: content})
	}
	call.Digest = structs.Digest{}.AppendAll(call.Messages)
	return call
}

// chunk returns a chunk that echoes the call.
func chunk(req *peerpb.CallModelRequest, offset int32, text string) *peerpb.CallModelChunk {
	return &peerpb.CallModelChunk{Call: req.GetCall(), Attempt: req.GetAttempt(), Offset: offset, Text: text}
}

func finish(req *peerpb.CallModelRequest, content string) *peerpb.CallModelChunk {
	c := chunk(req, 0, "")
	c.Answer = &peerpb.ModelAnswer{Message: &peerpb.Message{Role: "assistant", Content: content}}
	return c
}

// Streams that are crossed, gappy, repeated or cut end the attempt with outcome
// unknown; no answer is ever put together from them.
func TestBrokenStreamEndsAttempt(t *testing.T) {
	for name, send := range map[string]func(*peerpb.CallModelRequest) []*peerpb.CallModelChunk{
		"crossed call": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			other := finish(r, "another caller's answer")
			other.Call = "e1-a.2/1/1"
			return []*peerpb.CallModelChunk{other}
		},
		"answer of an earlier attempt": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			late := finish(r, "late")
			late.Attempt--
			return []*peerpb.CallModelChunk{late}
		},
		"gap": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			return []*peerpb.CallModelChunk{chunk(r, 0, "abc"), chunk(r, 5, "fg"), finish(r, "abcdefg")}
		},
		"duplicate chunk": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			return []*peerpb.CallModelChunk{chunk(r, 0, "abc"), chunk(r, 0, "abc"), finish(r, "abc")}
		},
		"cut": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			return []*peerpb.CallModelChunk{chunk(r, 0, "abc")}
		},
	} {
		side := &scriptedSide{answer: func(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error {
			for _, c := range send(req) {
				if err := stream.Send(c); err != nil {
					return err
				}
			}
			return nil
		}}
		_, _, err := linkTo(t, side).call(context.Background(), modelCall("hello"), callOptions{}, func(int, string) {})
		var r *structs.Refusal
		if !errors.As(err, &r) || r.Outcome != structs.OutcomeUnknown || r.Code != structs.CodeUpstreamFailed || r.Peer != "m1" {
			t.Errorf("%s: %v, want an unknown outcome of m1", name, err)
		}
	}
}

// The link sends what the side lacks, and the whole when the side has lost it.
func TestLinkSendsDeltaOrWholeHistory(t *testing.T) {
	lost := false
	side := &scriptedSide{}
	side.answer = func(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error {
		if lost && req.GetBaseCount() > 0 {
			return peer.ToStatus(structs.Refusalf(structs.CodeHistoryMissing, structs.OutcomeNotRun, "history", "not held"))
		}
		return stream.Send(finish(req, "answer"))
	}
	link := linkTo(t, side)
	run := func(messages ...string) {
		t.Helper()
		if _, _, err := link.call(context.Background(), modelCall(messages...), callOptions{}, func(int, string) {}); err != nil {
			t.Fatal(err)
		}
	}
	run("one")
	run("one", "answer", "two")
	if r := side.requests[1]; r.GetBaseCount() != 2 || len(r.GetDelta()) != 1 {
		t.Fatalf("the second call sent base %d and %d messages, want 2 and 1", r.GetBaseCount(), len(r.GetDelta()))
	}
	lost = true
	run("one", "answer", "two", "answer", "three")
	if len(side.requests) != 4 {
		t.Fatalf("%d requests, want a refused delta and the whole", len(side.requests))
	}
	if r := side.requests[3]; r.GetBaseCount() != 0 || len(r.GetDelta()) != 5 {
		t.Fatalf("the last call sent base %d and %d messages, want the whole", r.GetBaseCount(), len(r.GetDelta()))
	}
}
