package entry

import (
	"container/list"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// base identifies the first messages of a conversation, which a side is known to hold.
type base struct {
	program structs.ProgramID
	count   int
	digest  structs.ConversationDigest
}

// maxBases bounds the conversations that are tracked for one side; the least recently
// used is dropped first.
const maxBases = 4096

// sideLink is the entry's connection to one side.
type sideLink struct {
	upstream structs.UpstreamID
	vm       structs.VMID
	address  string
	client   peerpb.UpstreamClient

	mu sync.Mutex
	// recent holds a base for each program, the most recently used first; bases maps a
	// program to its element of recent.
	recent *list.List
	bases  map[structs.ProgramID]*list.Element
}

func newSideLink(upstream structs.UpstreamID, vm structs.VMID, address string, conn *grpc.ClientConn) *sideLink {
	return &sideLink{
		upstream: upstream,
		vm:       vm,
		address:  address,
		client:   peerpb.NewUpstreamClient(conn),
		recent:   list.New(),
		bases:    map[structs.ProgramID]*list.Element{},
	}
}

// baseOf returns the messages that the side is known to hold of the program's conversation.
func (l *sideLink) baseOf(program structs.ProgramID) base {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.bases[program]
	if e == nil {
		return base{program: program}
	}
	l.recent.MoveToFront(e)
	return e.Value.(base)
}

// setBase records the messages that the side holds after a call.
func (l *sideLink) setBase(b base) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.bases[b.program]; e != nil {
		e.Value = b
		l.recent.MoveToFront(e)
		return
	}
	l.bases[b.program] = l.recent.PushFront(b)
	if l.recent.Len() > maxBases {
		l.drop(l.recent.Back())
	}
}

// forget drops the base of the program.
func (l *sideLink) forget(program structs.ProgramID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.bases[program]; e != nil {
		l.drop(e)
	}
}

func (l *sideLink) drop(e *list.Element) {
	l.recent.Remove(e)
	delete(l.bases, e.Value.(base).program)
}

// callOptions holds what the entry adds to a model call for the side.
type callOptions struct {
	log   structs.LogID
	alone bool
}

// call runs one attempt at the side. It sends only the messages that the side lacks, and
// sends the whole conversation when the side refuses the call because it lacks the base.
func (l *sideLink) call(ctx context.Context, call *structs.ModelCall, options callOptions, onChunk func(offset int, text string)) (structs.ModelAnswer, structs.Load, error) {
	known := l.baseOf(call.Program)
	if known.count > len(call.Messages) {
		known = base{program: call.Program}
	}
	answer, load, err := l.sendCall(ctx, call, known, options, onChunk)
	if known.count > 0 && historyMissing(err) {
		l.forget(call.Program)
		answer, load, err = l.sendCall(ctx, call, base{program: call.Program}, options, onChunk)
	}
	if err != nil {
		return structs.ModelAnswer{}, load, err
	}
	l.setBase(base{
		program: call.Program,
		count:   len(call.Messages) + 1,
		digest:  call.Digest.Append(answer.Message),
	})
	return answer, load, nil
}

// historyMissing reports whether the side refused the call because it lacks the base of the
// conversation or holds a different one. Both are refused at the step "history".
func historyMissing(err error) bool {
	var r *structs.Refusal
	return errors.As(err, &r) && r.Step == "history" && r.Outcome == structs.OutcomeNotRun
}

// sendCall sends the messages after the base known and receives the answer.
func (l *sideLink) sendCall(ctx context.Context, call *structs.ModelCall, known base, options callOptions, onChunk func(offset int, text string)) (structs.ModelAnswer, structs.Load, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := peer.CallToPB(call)
	req.BaseCount = uint32(known.count)
	req.BaseDigest = known.digest[:]
	req.Delta = peer.MessagesToPB(call.Messages[known.count:])
	req.Log = string(options.log)
	req.Alone = options.alone
	stream, err := l.client.CallModel(ctx, req)
	if err != nil {
		return structs.ModelAnswer{}, structs.Load{}, peer.FromStatus(err, "model call", string(l.upstream))
	}
	return l.receive(stream, call, onChunk)
}

// receive reads the stream up to the answer. A chunk of another call or attempt, or a
// chunk that does not start where the last one ended, ends the attempt: otherwise an answer
// could be assembled from parts of different streams.
func (l *sideLink) receive(stream grpc.ServerStreamingClient[peerpb.CallModelChunk], call *structs.ModelCall, onChunk func(offset int, text string)) (structs.ModelAnswer, structs.Load, error) {
	received := 0
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return structs.ModelAnswer{}, structs.Load{}, l.errBrokenStream(call, "the stream ended before the answer")
		}
		if err != nil {
			return structs.ModelAnswer{}, structs.Load{}, peer.FromStatus(err, "model call", string(l.upstream))
		}
		if structs.CallID(chunk.GetCall()) != call.Call || chunk.GetAttempt() != call.Attempt {
			return structs.ModelAnswer{}, structs.Load{}, l.errBrokenStream(call, "a chunk of call "+chunk.GetCall()+" arrived")
		}
		if a := chunk.GetAnswer(); a != nil {
			return l.answer(call, a), peer.LoadFromPB(chunk.GetLoad()), nil
		}
		offset := int(chunk.GetOffset())
		if offset != received {
			return structs.ModelAnswer{}, structs.Load{}, l.errBrokenStream(call, "a chunk is missing")
		}
		received += len(chunk.GetText())
		onChunk(offset, chunk.GetText())
	}
}

func (l *sideLink) answer(call *structs.ModelCall, a *peerpb.ModelAnswer) structs.ModelAnswer {
	return structs.ModelAnswer{
		Call:     call.Call,
		Attempt:  call.Attempt,
		Message:  peer.MessageFromPB(a.GetMessage()),
		Usage:    peer.UsageFromPB(a.GetUsage()),
		Upstream: l.upstream,
	}
}

// errBrokenStream returns the refusal of an attempt with unknown outcome.
func (l *sideLink) errBrokenStream(call *structs.ModelCall, reason string) error {
	return &structs.Refusal{
		Code:    structs.CodeUpstreamFailed,
		Outcome: structs.OutcomeUnknown,
		Step:    "model call",
		Peer:    string(l.upstream),
		Detail:  reason + " during call " + string(call.Call),
	}
}

// Backoff between two watch streams of a side.
const (
	watchBackoffMin = 50 * time.Millisecond
	watchBackoffMax = time.Second
)

// watch receives the side's load and cache events until ctx ends, and opens the stream
// again when it breaks.
func (l *sideLink) watch(ctx context.Context, node structs.NodeID, r *router) {
	wait := watchBackoffMin
	for ctx.Err() == nil {
		if l.watchOnce(ctx, node, r) {
			wait = watchBackoffMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(wait*2, watchBackoffMax)
	}
}

// watchOnce receives one stream to its end and reports whether any message arrived. When
// the cache view needs a snapshot, it closes the stream: the next one begins with it.
func (l *sideLink) watchOnce(ctx context.Context, node structs.NodeID, r *router) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := l.client.Watch(ctx, &peerpb.WatchRequest{Node: string(node)})
	if err != nil {
		return false
	}
	received := false
	for {
		reply, err := stream.Recv()
		if err != nil {
			return received
		}
		received = true
		if !l.apply(reply, r) {
			return received
		}
	}
}

// apply passes a message of the stream to the router. It returns false when the cache
// view needs a snapshot.
func (l *sideLink) apply(reply *peerpb.WatchReply, r *router) bool {
	now := time.Now()
	if reply.GetLoad() != nil {
		load := peer.LoadFromPB(reply.GetLoad())
		r.report(now, &load)
	}
	c := reply.GetCache()
	if c == nil {
		return true
	}
	if c.GetSnapshot() {
		r.cacheSnapshot(now, l.upstream, kvcache.Snapshot{Incarnation: c.GetIncarnation(), Sequence: c.GetSequence(), Blocks: c.GetStored()})
		return true
	}
	return !r.cacheEvent(now, l.upstream, kvcache.Event{
		Incarnation: c.GetIncarnation(),
		Sequence:    c.GetSequence(),
		Stored:      c.GetStored(),
		Removed:     c.GetRemoved(),
	})
}
