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

// shutdown stops the process gracefully within the ShutdownGrace of the settings. It
// returns ErrSealed if another entry has sealed the log.
func (e *entry) shutdown(h *http.Server, g *grpc.Server) error {
	e.stopping.Store(true)
	e.env.Log.Emit(eventlog.EntryStopping, eventlog.Fields{})
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.ShutdownGrace.Std())
	defer cancel()
	e.peers.notify(ctx, membership.Leave{})
	var cause error
	select {
	case <-e.sealed:
		cause = ErrSealed
		e.committer.Stop()
	default:
		e.handOver(ctx)
	}
	// The listeners stay open during the handover, so that calls that arrive meanwhile
	// can be forwarded to the new home. After it, the requests in flight are finished.
	if err := h.Shutdown(ctx); err != nil {
		_ = h.Close()
		e.env.Log.Emit(eventlog.EntryShutdownBoundReached, eventlog.Fields{Step: "close API", Err: err})
	}
	e.runner.Close()
	e.local.turnRuns.Wait()
	g.Stop()
	e.pool.Close()
	e.platform.Close()
	e.env.Log.Emit(eventlog.EntryStopped, eventlog.Fields{})
	return cause
}

// handOver waits for running turns, for up to 3/4 of ShutdownGrace, appends a checkpoint of
// each program to the log and asks another entry to take the log over.
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
	if err := e.committer.Close(ctx, e.requestTakeover); err != nil {
		e.env.Log.Emit(eventlog.LogTakeoverFailed, eventlog.Fields{Step: "hand over", Err: err})
		return
	}
	e.env.Log.Emit(eventlog.LogHandedOver, eventlog.Fields{Step: "hand over", Count: int64(len(entries))})
}

// ErrNoSuccessor reports that there is no other entry to take over the programs.
var ErrNoSuccessor = errors.New("no other entry is ready to take over the programs")

// requestTakeover asks the other entries, one after another, to take over the log.
func (e *entry) requestTakeover(ctx context.Context, log structs.LogID) error {
	last := ErrNoSuccessor
	for _, address := range e.peers.takeoverCandidates(log) {
		conn, err := e.pool.Conn(address)
		if err == nil {
			_, err = peerpb.NewHomeClient(conn).Adopt(ctx, &peerpb.AdoptRequest{Log: string(log)})
		}
		if err == nil {
			return nil
		}
		last = errors.Wrapf(err, "request takeover of log %q by %s", log, address)
	}
	return last
}
