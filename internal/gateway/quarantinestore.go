package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/quarantine"
)

const (
	// quarantinePrefix is the prefix of the table rows with the requests that are refused. They
	// lie in the common partition, as the document does, without which an entry serves nothing.
	quarantinePrefix = "quarantine//"
	// quarantineRetry is the wait after a read or write of these rows that failed.
	quarantineRetry = 300 * time.Millisecond
	// maxRecordsWait is the time that an entry which has started waits for the refused requests
	// before it serves callers without them.
	maxRecordsWait = 2 * time.Second
)

// quarantineRow is the value of a row: the record of a request that is refused, or was tried.
type quarantineRow struct {
	quarantine.CrashRecord
	// ExpiresAtMs is when the record expires, in Unix milliseconds by the clock of the writer.
	ExpiresAtMs int64 `json:"expires_at_ms"`
}

// quarantineStore keeps the records of refused requests in the table, so that they outlive all
// entries.
type quarantineStore struct {
	g *Gateway
	// wake receives a value when a request was added to changed.
	wake chan struct{}
	// known is closed once the refused requests are known, from the table or a peer.
	known     chan struct{}
	markKnown func()

	mu sync.Mutex
	// changed holds the requests whose rows have to be written or deleted.
	changed map[uint64]bool
}

func newQuarantineStore(g *Gateway) *quarantineStore {
	s := &quarantineStore{g: g, wake: make(chan struct{}, 1), known: make(chan struct{}), changed: map[uint64]bool{}}
	s.markKnown = sync.OnceFunc(func() { close(s.known) })
	return s
}

// awaitKnown waits until the refused requests are known, for maxRecordsWait or until ctx ends.
// Nothing is refused when the whole system starts for the first time.
func (s *quarantineStore) awaitKnown(ctx context.Context) {
	if s.g.cfg.FirstStart {
		return
	}
	t := time.NewTimer(maxRecordsWait)
	defer t.Stop()
	select {
	case <-s.known:
	case <-ctx.Done():
	case <-t.C:
		s.g.env.Requests.Warn("quarantine_not_read").Ms("after_ms", maxRecordsWait).End()
	}
}

// update has the row of a request written, or deleted if the request is not refused any more.
func (s *quarantineStore) update(request uint64) {
	s.mu.Lock()
	s.changed[request] = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run reads the stored records and then writes changed ones until ctx ends.
func (s *quarantineStore) run(ctx context.Context) {
	for ctx.Err() == nil && s.load(ctx) != nil {
		sleep(ctx, quarantineRetry)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for ctx.Err() == nil && !s.writeChanged(ctx) {
			sleep(ctx, quarantineRetry)
		}
	}
}

// load adds the stored records to those of this entry, and deletes the rows that have expired.
func (s *quarantineStore) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, _, err := s.g.table.Snapshot(ctx, quarantinePrefix)
	if err != nil {
		return err
	}
	now := time.Now()
	var records []quarantine.CrashRecord
	var expired []platformapi.Write
	for _, r := range rows {
		var row quarantineRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			s.g.env.Events.Emit(eventlog.GatewayRowMalformed, eventlog.Fields{Step: "quarantine", Detail: r.Key, Count: r.Version, Err: err})
			continue
		}
		if row.TTL = time.UnixMilli(row.ExpiresAtMs).Sub(now); row.TTL <= 0 {
			expired = append(expired, platformapi.Write{Key: r.Key, Delete: true})
			continue
		}
		records = append(records, row.CrashRecord)
	}
	s.g.env.Requests.Info("quarantine_read").Int("records", int64(len(records))).Int("expired", int64(len(expired))).End()
	s.g.importRecords("table", records)
	if len(expired) > 0 {
		if err := s.g.commits.apply(ctx, nil, expired[:min(len(expired), sweepRows)]); err != nil {
			s.g.metrics.rowsNotExpired.Inc(int64(len(expired)))
		}
	}
	return nil
}

// writeChanged writes or deletes the rows of all changed requests. It reports whether none is left.
func (s *quarantineStore) writeChanged(ctx context.Context) bool {
	s.mu.Lock()
	requests := make([]uint64, 0, len(s.changed))
	for request := range s.changed {
		requests = append(requests, request)
	}
	clear(s.changed)
	s.mu.Unlock()
	done := true
	for _, request := range requests {
		if err := s.writeRow(ctx, request); err != nil {
			s.g.env.Requests.Warn("quarantine_not_stored").Str("content", contentName(request)).Err(err).End()
			s.mu.Lock()
			s.changed[request] = true
			s.mu.Unlock()
			done = false
		}
	}
	return done
}

// writeRow writes the row of a request that is refused, and deletes that of any other.
func (s *quarantineStore) writeRow(ctx context.Context, request uint64) error {
	now := time.Now()
	s.g.mu.Lock()
	record, known := s.g.crashes.ExportOne(now, request)
	refused := s.g.crashes.Counted(now, request)
	s.g.mu.Unlock()
	w := platformapi.Write{Key: quarantinePrefix + strconv.FormatUint(request, 16), Delete: true}
	if known && refused {
		value, err := json.Marshal(quarantineRow{CrashRecord: record, ExpiresAtMs: now.Add(record.TTL).UnixMilli()})
		if err != nil {
			return errors.Wrap(err, "encode quarantined request")
		}
		w.Value, w.Delete = value, false
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := s.g.commits.apply(ctx, nil, []platformapi.Write{w}); err != nil {
		return err
	}
	if !w.Delete {
		s.g.expiry.add(w.Key, record.TTL)
	}
	return nil
}
