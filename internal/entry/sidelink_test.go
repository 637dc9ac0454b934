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

// scriptedSide is a side that answers each call with the function set by the test and
// records the requests.
type scriptedSide struct {
	peerpb.UnimplementedUpstreamServer
	requests []*peerpb.CallModelRequest
	answer   func(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error
}

func (s *scriptedSide) CallModel(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error {
	s.requests = append(s.requests, req)
	return s.answer(req, stream)
}

// linkTo serves the side on a loopback address and returns a link to it.
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
	call.Digest = structs.ConversationDigest{}.AppendAll(call.Messages)
	return call
}

// chunk returns a chunk that carries the ids of the request.
func chunk(req *peerpb.CallModelRequest, offset int32, text string) *peerpb.CallModelChunk {
	return &peerpb.CallModelChunk{Call: req.GetCall(), Attempt: req.GetAttempt(), Offset: offset, Text: text}
}

// finalChunk returns the last chunk of an answer.
func finalChunk(req *peerpb.CallModelRequest, content string) *peerpb.CallModelChunk {
	c := chunk(req, 0, "")
	c.Answer = &peerpb.ModelAnswer{Message: &peerpb.Message{Role: "assistant", Content: content}}
	return c
}

// A stream with a chunk of another call or attempt, a gap, a duplicate chunk or an early
// end must end the attempt with outcome unknown. Otherwise a caller could receive an
// answer that mixes several calls or lacks text.
func TestBrokenStreamEndsAttempt(t *testing.T) {
	for name, send := range map[string]func(*peerpb.CallModelRequest) []*peerpb.CallModelChunk{
		"answer of another call": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			other := finalChunk(r, "another caller's answer")
			other.Call = "e1-a.2/1/1"
			return []*peerpb.CallModelChunk{other}
		},
		"answer of an earlier attempt": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			late := finalChunk(r, "late")
			late.Attempt--
			return []*peerpb.CallModelChunk{late}
		},
		"gap": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			return []*peerpb.CallModelChunk{chunk(r, 0, "abc"), chunk(r, 5, "fg"), finalChunk(r, "abcdefg")}
		},
		"duplicate chunk": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
			return []*peerpb.CallModelChunk{chunk(r, 0, "abc"), chunk(r, 0, "abc"), finalChunk(r, "abc")}
		},
		"stream that ends early": func(r *peerpb.CallModelRequest) []*peerpb.CallModelChunk {
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
			t.Errorf("%s: got %v, want the upstream m1 failed with outcome unknown", name, err)
		}
	}
}

// The link sends only the messages that the side lacks. When the side has lost its copy
// of the conversation and refuses the delta, the link sends the whole conversation.
// Otherwise a side that restarted would refuse every later call of the program.
func TestLinkSendsDeltaOrWholeHistory(t *testing.T) {
	lost := false
	side := &scriptedSide{}
	side.answer = func(req *peerpb.CallModelRequest, stream grpc.ServerStreamingServer[peerpb.CallModelChunk]) error {
		if lost && req.GetBaseCount() > 0 {
			return peer.ToStatus(structs.Refusalf(structs.CodeHistoryMissing, structs.OutcomeNotRun, "history", "not held"))
		}
		return stream.Send(finalChunk(req, "answer"))
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
		t.Fatalf("the second call sent base count %d and %d messages, want 2 and 1", r.GetBaseCount(), len(r.GetDelta()))
	}
	lost = true
	run("one", "answer", "two", "answer", "three")
	if len(side.requests) != 4 {
		t.Fatalf("%d requests in all, want 4: the last two a refused delta and the whole conversation", len(side.requests))
	}
	if r := side.requests[3]; r.GetBaseCount() != 0 || len(r.GetDelta()) != 5 {
		t.Fatalf("the last call sent base count %d and %d messages, want 0 and 5 (the whole conversation)", r.GetBaseCount(), len(r.GetDelta()))
	}
}
