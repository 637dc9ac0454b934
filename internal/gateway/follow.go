package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/resume"
)

const (
	// feedWait is how long the table may hold a request for changes before it answers. A
	// request is given up after twice this time, so a connection that hangs is noticed by
	// then.
	feedWait = time.Second
	// feedRetry is the wait after a failed request.
	feedRetry = 150 * time.Millisecond
	// listTimeout bounds the read of all rows with a prefix.
	listTimeout = 2 * time.Second
)

// follower holds the callbacks that keep a local copy of the rows with a prefix up to date.
type follower struct {
	prefix string
	// list is called with all rows, change with the changes since the last call of either.
	// version is the table's version after them.
	list   func(version int64, rows []platformapi.Row)
	change func(version int64, changes []platformapi.Change)
	// confirmed is called after each successful read, with the time at which the read began.
	confirmed func(begun time.Time)
	// current, if set, is called instead, with a time for which the local copy is known to have been
	// up to date. A read with changes is then followed by one that does not wait: the copy would
	// otherwise count as older by the time that it took to apply them, until the next poll ends.
	current func(at time.Time)
}

// follow reads all rows with the follower's prefix and then their changes, until ctx
// ends. It reads all rows again when the table no longer has the changes since its
// version.
func (g *Gateway) follow(ctx context.Context, f follower) {
	version, listed, wait := int64(0), false, feedWait
	for ctx.Err() == nil {
		var err error
		begun, polled, changed := time.Now(), listed, false
		if !listed {
			version, err = g.listOnce(ctx, f)
			listed = err == nil
		} else {
			version, changed, err = g.changesOnce(ctx, f, version, wait)
			if errors.Is(err, platformapi.ErrHistoryGone) {
				g.env.Events.Emit(eventlog.GatewayHistoryGone, eventlog.Fields{Step: "follow", Detail: f.prefix, Count: version})
				listed = false
				continue
			}
		}
		if err != nil {
			sleep(ctx, feedRetry)
			continue
		}
		if f.current == nil {
			f.confirmed(begun)
			continue
		}
		f.current(currentAt(begun, time.Now(), wait, polled && !changed))
		if wait = feedWait; !polled || changed {
			wait = 0
		}
	}
}

// listOnce reads all rows and returns the table's version. The table's client bounds the direct read
// and the one through a peer; one timeout for both would leave none for the peer while the table is
// silent, and an entry that starts then would never learn of the upstreams.
func (g *Gateway) listOnce(ctx context.Context, f follower) (int64, error) {
	rows, version, err := g.table.Snapshot(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.list(version, rows)
	return version, nil
}

// currentAt returns a time for which the local copy is up to date after a read that took from begun
// to now. The table holds a poll that finds nothing new for wait; any other read may have been
// answered as soon as it began. The time between the answer and now does not count, since the process
// may have been frozen in it: an entry that was would reject keys that were added meanwhile.
func currentAt(begun, now time.Time, wait time.Duration, unchanged bool) time.Time {
	if until := begun.Add(wait); unchanged && until.Before(now) {
		return until
	} else if unchanged {
		return now
	}
	return begun
}

// changesOnce reads the changes after a version, for which the table may wait, and returns the table's
// version after them and whether there are any.
func (g *Gateway) changesOnce(ctx context.Context, f follower, after int64, wait time.Duration) (version int64, changed bool, err error) {
	changes, version, err := g.table.Changes(ctx, f.prefix, after, wait)
	if err != nil {
		return after, false, err
	}
	if len(changes) > 0 {
		f.change(version, changes)
	}
	return version, len(changes) > 0, nil
}

// followDocument follows the operator's document until ctx ends. The first document makes the
// entry ready, so the requests that must be refused are read before.
func (g *Gateway) followDocument(ctx context.Context) {
	g.quarantine.awaitKnown(ctx)
	close(g.documents.mayApply)
	g.follow(ctx, follower{
		prefix: platform.DocumentPrefix,
		list: func(_ int64, rows []platformapi.Row) {
			for _, r := range rows {
				g.applyDocument(r, documentFromTable)
			}
		},
		change: func(_ int64, changes []platformapi.Change) {
			for _, c := range changes {
				if !c.Deleted {
					g.applyDocument(c.Row, documentFromTable)
				}
			}
		},
		current: g.confirmDocument,
	})
}

// applyDocument replaces the document by a newer one. A malformed or older one changes
// nothing. from is the peer that sent it, or documentFromTable. It reports whether the row decodes.
func (g *Gateway) applyDocument(r platformapi.Row, from string) bool {
	if r.Key != platform.DocumentKey {
		return true
	}
	g.documentMu.Lock()
	defer g.documentMu.Unlock()
	held := g.documents.held.Load()
	if held != nil && bytes.Equal(held.row.Value, r.Value) {
		return true // spares the decoding of a row that a peer has sent before, or that is listed again
	}
	doc, err := platform.DecodeDocument(r.Value)
	if err != nil {
		g.env.Events.Emit(eventlog.GatewayRowMalformed, eventlog.Fields{Step: "document", Peer: from, Detail: r.Key, Count: r.Version, Err: err})
		return false
	}
	if held != nil && held.version >= doc.Version {
		return true
	}
	routes := relay.NewRouteTable(doc)
	g.mu.Lock()
	g.routes.Store(routes)
	g.origins.setRoutes(doc)
	g.quota.SetLimits(doc.Version, limitsOf(routes.Organisations()))
	g.storeFleet(g.fleet.Load().registry)
	g.mu.Unlock()
	g.documents.held.Store(&heldDocument{doc.Version, r})
	g.env.Requests.Warn("document_in_force").Int("version", int64(doc.Version)).Int("row_version", r.Version).Str("from", from).
		Int("routes", int64(len(doc.Routes))).Int("organisations", int64(len(doc.Organisations))).End()
	g.logOrganisations(doc.Version, routes.Organisations())
	return true
}

// followUpstreams follows the rows of the upstreams until ctx ends.
func (g *Gateway) followUpstreams(ctx context.Context) {
	// missing holds the upstreams whose rows disappeared during an outage of the table or soon
	// after it, and when they are removed unless they register again. Only this goroutine uses
	// it.
	missing := map[string]time.Time{}
	// settled holds the rows of the services until the first list of upstreams, after which they are read,
	// is in force.
	var settled map[string]resume.Row
	first := true
	apply := func(version int64, changes []relay.RegistryChange, snapshot bool, l resume.Listing) {
		g.updateUpstreams(version, changes, snapshot, missing, func(next *relay.Registry) { g.origins.listed(next, missing, l, settled) })
		settled = nil
	}
	g.follow(ctx, follower{
		prefix: platform.UpstreamsPrefix,
		list: func(version int64, rows []platformapi.Row) {
			if first {
				settled, first = g.origins.readSettled(ctx), false
			}
			out := g.decodeUpstreams(rows)
			apply(version, out, true, listingOf(out, true))
		},
		change: func(version int64, changes []platformapi.Change) {
			out := make([]relay.RegistryChange, 0, len(changes))
			known, unseen := g.fleet.Load().registry, false
			registered := map[string]bool{}
			for _, c := range changes {
				if c.Deleted {
					// Of an upstream that was registered and removed only the latter may be seen.
					unseen = unseen || known.Get(upstreamID(c.Key)) == nil && !registered[c.Key]
					out = append(out, relay.RegistryChange{ID: upstreamID(c.Key)})
					continue
				}
				registered[c.Key] = true
				out = append(out, g.decodeUpstream(c.Row))
			}
			apply(version, out, false, listingOf(out, unseen))
		},
		confirmed: func(begun time.Time) {
			g.origins.confirm(begun)
			g.expireMissing(missing)
			g.checkEndedSends(begun)
		},
	})
}

// upstreamID returns the id of an upstream from the key of its row.
func upstreamID(key string) string { return key[len(platform.UpstreamsPrefix):] }

func (g *Gateway) decodeUpstreams(rows []platformapi.Row) []relay.RegistryChange {
	out := make([]relay.RegistryChange, 0, len(rows))
	for _, r := range rows {
		out = append(out, g.decodeUpstream(r))
	}
	return out
}

// decodeUpstream decodes the row of an upstream. A malformed row counts as a removal.
func (g *Gateway) decodeUpstream(r platformapi.Row) relay.RegistryChange {
	id := upstreamID(r.Key)
	u, err := platform.DecodeUpstream(id, r.Value)
	if err != nil {
		g.env.Requests.Info("upstream_row_malformed").Str("upstream", id).Int("version", r.Version).Err(err).End()
		return relay.RegistryChange{ID: id}
	}
	return relay.RegistryChange{ID: id, Upstream: u}
}

// updateUpstreams applies changes to the registry; snapshot is set when they list all
// upstreams. During an outage of the table and for OutageListGrace after it, removals are
// deferred, so that live upstreams can register again first.
// listed is called with the registry that results.
func (g *Gateway) updateUpstreams(version int64, changes []relay.RegistryChange, snapshot bool, missing map[string]time.Time, listed func(*relay.Registry)) {
	now := time.Now()
	old := g.fleet.Load().registry
	until := g.removalsDeferredUntil()
	if snapshot {
		changes = append(changes, unlisted(old, changes)...)
	}
	applied := changes[:0]
	for _, c := range changes {
		if c.Upstream != nil {
			delete(missing, c.ID)
		} else if old.Get(c.ID) != nil && now.Before(until) {
			missing[c.ID] = until
			continue
		}
		applied = append(applied, c)
	}
	g.applyUpstreams(version, applied, listed)
}

// listingOf returns what changes of the upstreams show beside the registry that results: the versions that had
// an upstream, and whether others may have passed unseen.
func listingOf(changes []relay.RegistryChange, unseen bool) resume.Listing {
	l := resume.Listing{Passed: map[string]map[string]bool{}, Interrupted: unseen}
	for _, c := range changes {
		if c.Upstream != nil {
			addVersion(l.Passed, c.Upstream)
		}
	}
	return l
}

// removalsDeferredUntil returns the time until which removals of upstreams are deferred because of
// the last outage of the table.
func (g *Gateway) removalsDeferredUntil() time.Time {
	return g.table.LastRecovery().Add(time.Duration(g.cfg.OutageListGrace) + recoveryNoticeMargin)
}

// recoveryNoticeMargin covers the time between the table's recovery and the moment when
// this entry notices it.
const recoveryNoticeMargin = 200 * time.Millisecond

// unlisted returns a removal for each upstream of the registry that is not in a complete
// list.
func unlisted(r *relay.Registry, listed []relay.RegistryChange) []relay.RegistryChange {
	inList := make(map[string]bool, len(listed))
	for _, c := range listed {
		inList[c.ID] = true
	}
	var out []relay.RegistryChange
	for _, id := range r.IDs() {
		if !inList[id] {
			out = append(out, relay.RegistryChange{ID: id})
		}
	}
	return out
}

// expireMissing removes the missing upstreams that have not registered again in time.
func (g *Gateway) expireMissing(missing map[string]time.Time) {
	now := time.Now()
	var gone []relay.RegistryChange
	for id, at := range missing {
		if now.After(at) {
			gone = append(gone, relay.RegistryChange{ID: id})
			delete(missing, id)
		}
	}
	if len(gone) > 0 {
		// 0: the registry keeps its version. The versions of missing upstreams do not count already.
		g.applyUpstreams(0, gone, func(*relay.Registry) {})
	}
}

// applyUpstreams replaces the registry by one with the changes applied, which it passes to listed.
func (g *Gateway) applyUpstreams(version int64, changes []relay.RegistryChange, listed func(*relay.Registry)) {
	g.mu.Lock()
	old := g.fleet.Load().registry
	next := old.Apply(uint64(version), changes)
	var reports []quarantine.CrashReport
	for _, c := range changes {
		reports = append(reports, g.handleUpstreamChange(version, old.Get(c.ID), next.Get(c.ID), c.ID)...)
	}
	g.storeFleet(next)
	listed(next)
	g.balancer.Retain(func(id string) bool { return next.Get(id) != nil })
	g.mu.Unlock()
	g.limits.retain(time.Now(), g.fleet.Load())
	g.publish(time.Now(), reports)
}

// handleUpstreamChange logs the change of one upstream. When the upstream was removed or
// restarted, it drops what the balancer knows of the old incarnation and returns the crash
// reports that follow from its end. g.mu must be held.
func (g *Gateway) handleUpstreamChange(version int64, old, current *relay.Upstream, id string) []quarantine.CrashReport {
	switch {
	case old == nil && current == nil: // the removal of an unknown upstream
		return nil
	case current == nil:
		g.env.Requests.Warn("upstream_gone").Str("upstream", id).Int("version", version).End()
	case old == nil || old.StartedAtMs != current.StartedAtMs || old.Version != current.Version:
		if old != nil && old.Version != current.Version {
			g.origins.upstreamReplaced(old, current)
		}
		g.env.Requests.Warn("upstream_joined").Str("upstream", id).Str("service", current.Service).Str("address", current.Address).Str("software", current.Version).
			Int("born", current.StartedAtMs).Int("seq", current.Seq).Int("version", version).End()
	case old.Draining != current.Draining:
		g.env.Requests.Warn("upstream_draining").Str("upstream", id).Int("seq", current.Seq).Int("version", version).End()
		return nil
	default:
		return nil
	}
	g.balancer.ResetUpstream(id)
	if old == nil {
		return nil
	}
	incarnation := incarnationHash(old)
	return g.sends.UpstreamEnded(time.Now(), incarnation, old.Draining || g.leaving.has(incarnation))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
