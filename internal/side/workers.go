package side

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthornroute/buckthornroute/hold"
	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/platform"
)

// Run runs the background work of the side until ctx ends: it reports the load,
// forwards cache events, maintains leases and reads the VM's drain row. If vms is not
// nil, it also reads the platform's list of VMs at each vmInterval.
func (s *Server) Run(ctx context.Context, vms platform.VMList, vmInterval time.Duration) error {
	workers, ctx := errgroup.WithContext(ctx)
	defer s.cancel()
	workers.Go(func() error { return every(ctx, s.cfg.LoadInterval, s.reportLoad) })
	if s.cfg.Model != nil {
		workers.Go(func() error { return s.forwardCacheEvents(ctx) })
		workers.Go(func() error { return s.holds.run(s.ctx, s.cfg.Hold.LeaseTime) })
	}
	if s.cfg.Table != nil {
		workers.Go(func() error { return s.readDrain(ctx) })
	}
	if vms != nil {
		workers.Go(func() error {
			return every(ctx, vmInterval, func(ctx context.Context) { s.readVMs(ctx, vms) })
		})
	}
	// The hold driver and its requests run under s.ctx, which does not derive from ctx.
	// Cancel it when ctx ends: otherwise Wait would wait for the hold driver for ever.
	workers.Go(func() error {
		<-ctx.Done()
		s.cancel()
		return nil
	})
	return workers.Wait()
}

// every calls f now and at each interval until ctx ends. A call that takes longer
// than the interval delays the next one.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reportLoad reads the load of the upstream and broadcasts it when a report is due.
// If the upstream does not answer, the last known load stays in use; the failure shows
// in the calls to the upstream.
func (s *Server) reportLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	readLoad := s.serviceLoad
	if s.cfg.Model != nil {
		readLoad = s.cfg.Model.Load
	}
	if load, err := readLoad(ctx); err == nil {
		s.mu.Lock()
		s.engineLoad = load
		s.mu.Unlock()
	}
	if s.reportDue(time.Now()) {
		s.broadcastLoad()
	}
}

// reportIntervalPerWatcher times the number of watchers is the minimum time between two
// load reports: 1.4 s for 14 watchers. This keeps the report traffic of a side
// independent of their number. Replies to calls carry the exact load, and a change of the
// gate is broadcast at once.
const reportIntervalPerWatcher = 100 * time.Millisecond

// reportDue reports whether the next load report is due. If so, it records the report
// as sent.
func (s *Server) reportDue(now time.Time) bool {
	wait := time.Duration(s.watchers.len()) * reportIntervalPerWatcher
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastReport) < wait {
		return false
	}
	s.lastReport = now
	return true
}

// cachePollInterval is the interval between polls of the engine's cache events.
const cachePollInterval = 100 * time.Millisecond

// forwardCacheEvents polls the engine's cache events and broadcasts them. After a gap
// in the sequence or a restart of the engine it broadcasts a snapshot instead.
func (s *Server) forwardCacheEvents(ctx context.Context) error {
	incarnation, sequence := "", uint64(0)
	return every(ctx, cachePollInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		events, err := s.cfg.Model.CacheEvents(ctx, sequence)
		if err != nil {
			return
		}
		if incarnation != "" && events.Incarnation != incarnation {
			s.holds.step(ctx, hold.EngineRestarted{})
		}
		if events.Incarnation != incarnation || hasGap(events.Events, sequence) {
			incarnation, sequence = s.resync(ctx, incarnation, sequence)
			return
		}
		for _, e := range events.Events {
			s.watchers.send(&peerpb.WatchReply{Cache: &peerpb.CacheEvents{
				Incarnation: incarnation,
				Sequence:    e.Sequence,
				Stored:      e.Stored,
				Removed:     e.Removed,
			}})
			sequence = e.Sequence
		}
	})
}

// hasGap reports whether events are missing between the sequence number after and the
// first of events.
func hasGap(events []engine.CacheEvent, after uint64) bool {
	return len(events) > 0 && events[0].Sequence != after+1
}

// resync broadcasts a snapshot of the cache. It returns the incarnation and the sequence
// number after which the events continue, or its arguments if it could not read a
// snapshot: the next poll then resyncs again.
func (s *Server) resync(ctx context.Context, incarnation string, sequence uint64) (string, uint64) {
	snapshot, err := s.cfg.Model.CacheSnapshot(ctx)
	if err != nil {
		return incarnation, sequence
	}
	s.watchers.send(&peerpb.WatchReply{Cache: snapshotToPB(snapshot)})
	return snapshot.Incarnation, snapshot.Sequence
}

// readVMs reads the platform's list of VMs, counts the answer as contact, and closes the
// gate if this VM is listed as leaving or gone.
func (s *Server) readVMs(ctx context.Context, vms platform.VMList) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	list, err := vms.List(ctx)
	if err != nil {
		return
	}
	s.RecordContact()
	for _, vm := range list {
		if vm.ID == s.cfg.VM && vm.State != platform.VMLive {
			s.MarkLeaving()
		}
	}
}
