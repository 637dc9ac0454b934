package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
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
// entries and reach an entry that is cut off from the others. Trials are claimed in it.
type quarantineStore struct {
	g *Gateway
	// wake receives a value when a request was added to changed.
	wake chan struct{}
	// known is closed once the refused requests are known, from the table or a peer.
	known     chan struct{}
	markKnown func()

	mu sync.Mutex
	// changed holds the requests whose rows have to be written or deleted, rows those that are known
	// to have a row.
	changed, rows map[uint64]bool
}

func newQuarantineStore(g *Gateway) *quarantineStore {
	s := &quarantineStore{g: g, wake: make(chan struct{}, 1), known: make(chan struct{}), changed: map[uint64]bool{}, rows: map[uint64]bool{}}
	s.markKnown = sync.OnceFunc(func() { close(s.known) })
	return s
}

// hasRow reports whether the request is known to have a row.
func (s *quarantineStore) hasRow(request uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[request]
}

// setRow records whether a request has a row.
func (s *quarantineStore) setRow(request uint64, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present {
		s.rows[request] = true
	} else {
		delete(s.rows, request)
	}
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

// run writes the rows of changed requests until ctx ends.
func (s *quarantineStore) run(ctx context.Context) {
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

// follow keeps the records of this entry up to date with the table until ctx ends.
func (s *quarantineStore) follow(ctx context.Context) {
	s.g.follow(ctx, follower{
		prefix: quarantinePrefix,
		list: func(_ int64, rows []platformapi.Row) {
			s.importRows(ctx, rows, true)
		},
		change: func(_ int64, changes []platformapi.Change) {
			rows := make([]platformapi.Row, 0, len(changes))
			for _, c := range changes {
				if c.Deleted {
					s.forgetRow(c.Key)
					continue
				}
				rows = append(rows, c.Row)
			}
			s.importRows(ctx, rows, false)
		},
		confirmed: func(time.Time) {},
	})
}

// forgetRow records that the row with the key was deleted.
func (s *quarantineStore) forgetRow(key string) {
	if request, err := requestOfKey(key); err == nil {
		s.setRow(request, false)
	}
}

// importRows adds stored records to those of this entry. With listed set they are all there are, and
// the expired ones are deleted.
func (s *quarantineStore) importRows(ctx context.Context, rows []platformapi.Row, listed bool) {
	var records []quarantine.CrashRecord
	var expired []platformapi.Write
	for _, r := range rows {
		record, err := decodeQuarantineRow(r)
		switch {
		case err != nil:
			s.g.env.Events.Emit(eventlog.GatewayRowMalformed, eventlog.Fields{Step: "quarantine", Detail: r.Key, Count: r.Version, Err: err})
		case record.TTL <= 0:
			expired = append(expired, platformapi.Write{Key: r.Key, Delete: true})
		default:
			s.setRow(record.Request, true)
			records = append(records, record)
		}
	}
	if listed {
		s.g.env.Requests.Info("quarantine_read").Int("records", int64(len(records))).Int("expired", int64(len(expired))).End()
	}
	s.g.importRecords("table", records)
	if listed && len(expired) > 0 {
		s.deleteExpired(ctx, expired)
	}
}

// deleteExpired deletes rows that have expired.
func (s *quarantineStore) deleteExpired(ctx context.Context, expired []platformapi.Write) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := s.g.commits.apply(ctx, nil, expired[:min(len(expired), sweepRows)]); err != nil {
		s.g.metrics.rowsNotExpired.Inc(int64(len(expired)))
	}
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

// writeRow merges the record of a request with its row, or deletes the row of a request without
// crashes that count.
func (s *quarantineStore) writeRow(ctx context.Context, request uint64) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stored, version, err := s.readRow(ctx, request)
	if err != nil {
		return err
	}
	s.g.mu.Lock()
	record, _ := s.g.crashes.ExportOne(time.Now(), request)
	s.g.mu.Unlock()
	switch {
	case len(record.Crashes) == 0 && version == platformapi.Absent:
		return nil
	case len(record.Crashes) == 0:
		err := s.apply(ctx, platformapi.Write{Key: quarantineKey(request), Delete: true}, version)
		if err == nil {
			s.setRow(request, false)
		}
		return err
	case version != platformapi.Absent && stored.Covers(record):
		return nil
	}
	return s.putRow(ctx, record, version)
}

// readRow returns the stored record of a request with the row's version, and adds it to the records
// of this entry. The version is platformapi.Absent if there is none.
func (s *quarantineStore) readRow(ctx context.Context, request uint64) (quarantine.CrashRecord, int64, error) {
	row, err := s.g.table.Get(ctx, quarantineKey(request))
	if errors.Is(err, platformapi.ErrNotFound) {
		return quarantine.CrashRecord{}, platformapi.Absent, nil
	}
	if err != nil {
		return quarantine.CrashRecord{}, 0, err
	}
	record, err := decodeQuarantineRow(row)
	if err != nil {
		s.g.env.Events.Emit(eventlog.GatewayRowMalformed, eventlog.Fields{Step: "quarantine", Detail: row.Key, Count: row.Version, Err: err})
		return quarantine.CrashRecord{}, row.Version, nil // is written anew
	}
	s.g.importRecords("table", []quarantine.CrashRecord{record})
	return record, row.Version, nil
}

// putRow stores a record on condition that its row still has the version.
func (s *quarantineStore) putRow(ctx context.Context, record quarantine.CrashRecord, version int64) error {
	value, err := json.Marshal(quarantineRow{CrashRecord: record, ExpiresAtMs: time.Now().Add(record.TTL).UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encode quarantined request")
	}
	key := quarantineKey(record.Request)
	if err := s.apply(ctx, platformapi.Write{Key: key, Value: value}, version); err != nil {
		return err
	}
	s.setRow(record.Request, true)
	s.g.expiry.add(key, record.TTL)
	return nil
}

// apply writes a row on condition that it still has the version.
func (s *quarantineStore) apply(ctx context.Context, w platformapi.Write, version int64) error {
	return s.g.commits.apply(ctx, []platformapi.Condition{{Key: w.Key, Version: version}}, []platformapi.Write{w})
}

// quarantineKey returns the key of a request's row.
func quarantineKey(request uint64) string {
	return quarantinePrefix + strconv.FormatUint(request, 16)
}

// requestOfKey returns the request of a row.
func requestOfKey(key string) (uint64, error) {
	return strconv.ParseUint(strings.TrimPrefix(key, quarantinePrefix), 16, 64)
}

// decodeQuarantineRow returns the record of a row. Its TTL is negative if it has expired.
func decodeQuarantineRow(r platformapi.Row) (quarantine.CrashRecord, error) {
	var row quarantineRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return quarantine.CrashRecord{}, err
	}
	row.TTL = time.Until(time.UnixMilli(row.ExpiresAtMs))
	return row.CrashRecord, nil
}
