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

// Run carries the side's duties until ctx ends: load reports, cache events, holds
// and, when vms is not nil, the platform's list.
func (s *Server) Run(ctx context.Context, vms platform.VMList, vmInterval time.Duration) error {
	duties, ctx := errgroup.WithContext(ctx)
	defer s.endLife()
	duties.Go(func() error { return every(ctx, s.cfg.LoadInterval, s.reportLoad) })
	if s.cfg.Model != nil {
		duties.Go(func() error { return s.followCache(ctx) })
		duties.Go(func() error { return s.holds.run(s.life, s.cfg.Hold.LeaseTime) })
	}
	if s.cfg.Table != nil {
		duties.Go(func() error { return s.readDrain(ctx) })
	}
	if vms != nil {
		duties.Go(func() error {
			return every(ctx, vmInterval, func(ctx context.Context) { s.readVMs(ctx, vms) })
		})
	}
	duties.Go(func() error {
		<-ctx.Done()
		s.endLife()
		return nil
	})
	return duties.Wait()
}

// every calls f now and at each interval until ctx ends. A call that outlasts
// the interval delays the next one.
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

// reportLoad asks the upstream for its load and sends it to all entries. An
// upstream that does not answer keeps its last figures; calls there tell.
func (s *Server) reportLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	ask := s.askService
	if s.cfg.Model != nil {
		ask = s.cfg.Model.Load
	}
	if load, err := ask(ctx); err == nil {
		s.mu.Lock()
		s.engine = load
		s.mu.Unlock()
	}
	if s.reportDue(time.Now()) {
		s.announce()
	}
}

// reportShare is the time between two load reports for each entry that reads them: 14
// entries get one every 1.4 s. Replies carry the exact load in between, and a change
// of the gate goes out at once.
const reportShare = 100 * time.Millisecond

// reportDue reports whether the next load report is due, and counts it as sent.
func (s *Server) reportDue(now time.Time) bool {
	wait := time.Duration(s.watchers.len()) * reportShare
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.reported) < wait {
		return false
	}
	s.reported = now
	return true
}

// cachePoll is the time between two polls of the engine's cache events.
const cachePoll = 100 * time.Millisecond

// followCache polls the engine's cache events and passes them on. After a gap or
// a restart of the engine the entries get a snapshot.
func (s *Server) followCache(ctx context.Context) error {
	incarnation, sequence := "", uint64(0)
	return every(ctx, cachePoll, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, engineTimeout)
		defer cancel()
		events, err := s.cfg.Model.CacheEvents(ctx, sequence)
		if err != nil {
			return
		}
		if incarnation != "" && events.Incarnation != incarnation {
			s.holds.step(ctx, hold.EngineRestarted{})
		}
		if events.Incarnation != incarnation || gap(events.Events, sequence) {
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

func gap(events []engine.CacheEvent, after uint64) bool {
	return len(events) > 0 && events[0].Sequence != after+1
}

// resync sends a snapshot to all entries and returns where the events go on.
func (s *Server) resync(ctx context.Context, incarnation string, sequence uint64) (string, uint64) {
	snapshot, err := s.cfg.Model.CacheSnapshot(ctx)
	if err != nil {
		return incarnation, sequence
	}
	s.watchers.send(&peerpb.WatchReply{Cache: snapshotToPB(snapshot)})
	return snapshot.Incarnation, snapshot.Sequence
}

// readVMs closes the gate when the platform lists the VM as leaving or gone.
func (s *Server) readVMs(ctx context.Context, vms platform.VMList) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	list, err := vms.List(ctx)
	if err != nil {
		return
	}
	s.Heard()
	for _, vm := range list {
		if vm.ID == s.cfg.VM && vm.State != platform.VMLive {
			s.Leaving()
		}
	}
}
