package gateway

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/quarantine"
)

const (
	// recordsInterval is the least time between two requests for the crash records of peers.
	recordsInterval = time.Second
	// firstRecordsInterval is recordsInterval until the first request of an entry that has started
	// has been answered.
	firstRecordsInterval = 50 * time.Millisecond
	// recordsTimeout is the timeout of a request for the crash records of one peer.
	recordsTimeout = 500 * time.Millisecond
	// maxQueuedReports is the maximum number of crash reports that are queued; the oldest is
	// dropped first. An entry sends it in about 2 s.
	maxQueuedReports = 256
	// reportRepeats is the number of digests that carry a crash report, since a datagram may be
	// lost.
	reportRepeats = 3
	// maxTrialNumber is the largest number of a trial that is accepted.
	maxTrialNumber = 1 << 16
	// maxReportBytes is the part of a digest in bytes that crash reports may use. Other items may
	// use what they leave.
	maxReportBytes = 500
)

// crashReports exchanges crash reports and records with other entries. It is safe for concurrent use.
type crashReports struct {
	g *Gateway
	// quarantineDigest is the digest of the requests that this entry refuses.
	quarantineDigest atomic.Uint64
	// recordsWanted receives the names of peers whose quarantineDigest differs.
	recordsWanted chan string

	mu sync.Mutex
	// queued are the crash reports that the next digests carry.
	queued []queuedReport
}

// queuedReport is a crash report with the number of digests that are still to carry it.
type queuedReport struct {
	quarantine.CrashReport
	repeats int
}

func newCrashReports(g *Gateway) *crashReports {
	return &crashReports{g: g, recordsWanted: make(chan string, 1)}
}

// itemsOfReports maps the kinds of crash reports to those of digest items.
var itemsOfReports = map[quarantine.ReportKind]byte{quarantine.Crash: 'x', quarantine.Withdrawn: 'o', quarantine.Trial: 't'}

// join registers the items of crash reports, which one field appends, and the message for records.
func (c *crashReports) join() {
	m := c.g.mesh
	m.AddField(mesh.Field{
		Kind: 'q', Append: c.takeReports, Early: true, Reserve: maxReportBytes,
		Apply: func(from string, r *mesh.Reader) {
			if digest := r.Uvarint(); !r.Malformed() && digest != c.quarantineDigest.Load() {
				c.requestRecords(from)
			}
		},
	})
	for kind, item := range itemsOfReports {
		m.AddField(mesh.Field{Kind: item, Apply: func(from string, r *mesh.Reader) {
			if report := readReport(r, kind); !r.Malformed() {
				c.g.receiveCrashReport(time.Now(), from, report)
			}
		}})
	}
	m.HandleMessage("/crashes", c.serveRecords)
}

// queue queues a crash report for the next digests.
func (c *crashReports) queue(report quarantine.CrashReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queued) >= maxQueuedReports {
		c.g.metrics.crashReportsDropped.Inc(1)
		c.queued = c.queued[1:]
	}
	c.queued = append(c.queued, queuedReport{report, reportRepeats})
}

// takeReports appends the queued crash reports that fit in a digest, and the digest of the
// refused requests. Reports that were sent reportRepeats times leave the queue; those sent now go
// behind the others.
func (c *crashReports) takeReports(b []byte, room int) []byte {
	end := len(b) + room
	c.mu.Lock()
	defer c.mu.Unlock()
	var again []queuedReport
	sent := 0
	for _, r := range c.queued {
		if len(b)+maxDigestItem > end {
			break
		}
		b = append(b, itemsOfReports[r.Kind])
		detail := r.Upstream
		if r.Kind == quarantine.Trial {
			detail = uint64(max(0, r.Trial))
		}
		b = binary.AppendUvarint(binary.AppendUvarint(b, r.Request), detail)
		sent++
		if r.repeats--; r.repeats > 0 {
			again = append(again, r)
		}
	}
	c.queued = append(c.queued[sent:], again...)
	return binary.AppendUvarint(append(b, 'q'), c.quarantineDigest.Load())
}

// readReport reads a crash report.
func readReport(r *mesh.Reader, kind quarantine.ReportKind) quarantine.CrashReport {
	report := quarantine.CrashReport{Kind: kind, Request: r.Uvarint(), Upstream: r.Uvarint()}
	if kind == quarantine.Trial {
		if report.Upstream > maxTrialNumber {
			r.Fail()
		}
		report.Trial, report.Upstream = int(report.Upstream), 0
	}
	return report
}

// requestRecords asks for the crash records of a peer whose digest of them differs, unless others
// are being asked for.
func (c *crashReports) requestRecords(peer string) {
	select {
	case c.recordsWanted <- peer:
	default:
	}
}

// synchronise fetches the crash records of one peer at the start, and later those of peers
// whose digests differ: one of the two has missed reports, because it was paused, cut off or not
// started yet. It returns when ctx ends.
func (c *crashReports) synchronise(ctx context.Context) {
	fetched := c.g.cfg.FirstStart
	for ctx.Err() == nil && !fetched {
		for _, p := range c.g.mesh.LivePeers() {
			fetched = fetched || c.fetchRecords(ctx, p)
		}
		sleep(ctx, firstRecordsInterval)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case name := <-c.recordsWanted:
			c.fetchRecords(ctx, c.g.mesh.Named(name))
		}
		sleep(ctx, recordsInterval)
	}
}

// fetchRecords merges the crash records of the peer with those of this entry; p is nil if it is not
// listed. It reports whether the peer has answered.
func (c *crashReports) fetchRecords(ctx context.Context, p *mesh.Peer) bool {
	if p == nil || p.HTTPAddress == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var records []quarantine.CrashRecord
	if err := c.g.mesh.Post(ctx, p.HTTPAddress, "/crashes", struct{}{}, &records); err != nil {
		c.g.env.Requests.Info("crash_records_not_fetched").Str("peer", p.HTTPAddress).Err(err).End()
		return false
	}
	c.g.importRecords(p.HTTPAddress, records)
	return true
}

// serveRecords answers a peer with the crash records of this entry.
func (c *crashReports) serveRecords(w http.ResponseWriter, r *http.Request) {
	c.g.mu.Lock()
	records := c.g.crashes.Export(time.Now())
	c.g.mu.Unlock()
	c.g.mesh.WriteAnswer(w, r, records)
}

// importRecords merges crash records from a peer or the table with those of this entry.
func (g *Gateway) importRecords(from string, records []quarantine.CrashRecord) {
	now := time.Now()
	g.mu.Lock()
	changed := g.crashes.Import(now, records)
	g.mu.Unlock()
	g.updateQuarantineDigest()
	g.quarantine.markKnown()
	if changed > 0 {
		g.env.Requests.Warn("crash_records_merged").Str("from", from).Int("records", int64(len(records))).Int("changed", int64(changed)).End()
	}
}

// updateQuarantineDigest recomputes the digest that entries compare. g.mu must not be held.
func (g *Gateway) updateQuarantineDigest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports.quarantineDigest.Store(g.crashes.Digest(time.Now()))
}
