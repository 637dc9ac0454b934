package entry

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/membership"
	"github.com/buckthornroute/buckthornroute/structs"
)

// shutdown ends the process gracefully within the grace of the settings. It
// returns ErrSealed when the log was sealed by another entry before.
func (e *entry) shutdown(h *http.Server, g *grpc.Server) error {
	e.stopping.Store(true)
	e.env.Log.Emit(eventlog.EntryStopping, eventlog.Fields{})
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.ShutdownGrace.Std())
	defer cancel()
	e.peers.tell(ctx, membership.Leave{})
	var cause error
	select {
	case <-e.sealed:
		cause = ErrSealed
		e.committer.Stop()
	default:
		e.handOver(ctx)
	}
	// The listeners stay open until the programs have gone, so that calls that
	// arrive meanwhile follow them; then the requests in flight end.
	if err := h.Shutdown(ctx); err != nil {
		_ = h.Close()
		e.env.Log.Emit(eventlog.EntryShutdownBoundReached, eventlog.Fields{Step: "close API", Err: err})
	}
	e.runner.Close()
	e.local.followers.Wait()
	g.Stop()
	e.pool.Close()
	e.platform.Close()
	e.env.Log.Emit(eventlog.EntryStopped, eventlog.Fields{})
	return cause
}

// handOver lets turns under way finish, keeps the state of all programs in the
// log and asks another entry to take them over.
func (e *entry) handOver(ctx context.Context) {
	drain, cancel := context.WithTimeout(ctx, e.cfg.ShutdownGrace.Std()*3/4)
	defer cancel()
	if err := e.runner.Drain(drain); err != nil {
		e.env.Log.Emit(eventlog.EntryShutdownBoundReached, eventlog.Fields{Step: "drain", Err: err})
	}
	entries, err := e.runner.HandOver(ctx)
	if err == nil && len(entries) > 0 {
		_, err = e.committer.Append(ctx, entries...)
	}
	if err != nil && !errors.Is(err, homelog.ErrStopped) {
		e.env.Log.Emit(eventlog.LogTakeoverFailed, eventlog.Fields{Step: "hand over", Err: err})
	}
	if err := e.committer.Close(ctx, e.askAdoption); err != nil {
		e.env.Log.Emit(eventlog.LogTakeoverFailed, eventlog.Fields{Step: "hand over", Err: err})
		return
	}
	e.env.Log.Emit(eventlog.LogHandedOver, eventlog.Fields{Step: "hand over", Count: int64(len(entries))})
}

// ErrNoSuccessor reports that no other entry took the programs over.
var ErrNoSuccessor = errors.New("no entry takes the programs over")

// askAdoption asks the other entries, one after the other, to take over the log.
func (e *entry) askAdoption(ctx context.Context, log structs.LogID) error {
	last := ErrNoSuccessor
	for _, address := range e.peers.successors(log) {
		conn, err := e.pool.Conn(address)
		if err == nil {
			_, err = peerpb.NewHomeClient(conn).Adopt(ctx, &peerpb.AdoptRequest{Log: string(log)})
		}
		if err == nil {
			return nil
		}
		last = errors.Wrapf(err, "adopt log %q at %s", log, address)
	}
	return last
}
