package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/relay"
)

const (
	// feedWait is how long a question for changes waits at the table. A connection that
	// went silent is noticed that long after at most.
	feedWait = time.Second
	// feedRetry is the wait after a failed question.
	feedRetry = 150 * time.Millisecond
	// listTimeout bounds the reading of a whole table.
	listTimeout = 2 * time.Second
)

// follower keeps one prefix of the table up to date.
type follower struct {
	prefix string
	// list takes all rows, change the changes since; both get the version they show.
	list   func(version int64, rows []platformapi.Row)
	change func(version int64, changes []platformapi.Change)
	// confirmed is called when the state is known to be the newest.
	confirmed func()
}

// follow runs until ctx ends.
func (g *Gateway) follow(ctx context.Context, f follower) {
	version, listed := int64(0), false
	for ctx.Err() == nil {
		var err error
		if !listed {
			version, err = g.listOnce(ctx, f)
			listed = err == nil
		} else {
			version, err = g.changesOnce(ctx, f, version)
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
		f.confirmed()
	}
}

func (g *Gateway) listOnce(ctx context.Context, f follower) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, version, err := g.table.Snapshot(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.list(version, rows)
	return version, nil
}

func (g *Gateway) changesOnce(ctx context.Context, f follower, after int64) (int64, error) {
	changes, version, err := g.table.Changes(ctx, f.prefix, after, feedWait)
	if err != nil {
		return after, err
	}
	if len(changes) > 0 {
		f.change(version, changes)
	}
	return version, nil
}

func (g *Gateway) followDocument(ctx context.Context) {
	g.follow(ctx, follower{
		prefix: platform.DocumentPrefix,
		list: func(_ int64, rows []platformapi.Row) {
			for _, r := range rows {
				g.takeDocument(r)
			}
		},
		change: func(_ int64, changes []platformapi.Change) {
			for _, c := range changes {
				if !c.Deleted {
					g.takeDocument(c.Row)
				}
			}
		},
		confirmed: func() { g.documentConfirmedAt.Store(time.Now().UnixNano()) },
	})
}

// takeDocument puts a newer document in force. A malformed one changes nothing.
func (g *Gateway) takeDocument(r platformapi.Row) {
	if r.Key != platform.DocumentKey {
		return
	}
	doc, err := platform.DecodeDocument(r.Value)
	if err != nil {
		g.env.Events.Emit(eventlog.GatewayRowMalformed, eventlog.Fields{Step: "document", Detail: r.Key, Count: r.Version, Err: err})
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.routes.Load()
	if old != nil && old.Document().Version >= doc.Version {
		return
	}
	g.routes.Store(relay.NewRouteTable(doc))
	g.fleet.Store(newFleet(g.fleet.Load().registry, doc.Services))
	g.env.Requests.Warn("document_in_force").Int("version", int64(doc.Version)).Int("row_version", r.Version).
		Int("routes", int64(len(doc.Routes))).End()
}

func (g *Gateway) followUpstreams(ctx context.Context) {
	// missing are upstreams whose rows vanished around an outage of the table, and when
	// they are taken for gone.
	missing := map[string]time.Time{}
	g.follow(ctx, follower{
		prefix: platform.UpstreamsPrefix,
		list: func(version int64, rows []platformapi.Row) {
			g.takeUpstreams(version, g.decodeUpstreams(rows), true, missing)
		},
		change: func(version int64, changes []platformapi.Change) {
			out := make([]relay.RegistryChange, 0, len(changes))
			for _, c := range changes {
				if c.Deleted {
					out = append(out, relay.RegistryChange{ID: upstreamID(c.Key)})
					continue
				}
				out = append(out, g.decodeUpstream(c.Row))
			}
			g.takeUpstreams(version, out, false, missing)
		},
		confirmed: func() { g.expireMissing(missing) },
	})
}

func upstreamID(key string) string { return key[len(platform.UpstreamsPrefix):] }

func (g *Gateway) decodeUpstreams(rows []platformapi.Row) []relay.RegistryChange {
	out := make([]relay.RegistryChange, 0, len(rows))
	for _, r := range rows {
		out = append(out, g.decodeUpstream(r))
	}
	return out
}

func (g *Gateway) decodeUpstream(r platformapi.Row) relay.RegistryChange {
	id := upstreamID(r.Key)
	u, err := platform.DecodeUpstream(id, r.Value)
	if err != nil {
		g.env.Requests.Info("upstream_row_malformed").Str("upstream", id).Int("version", r.Version).Err(err).End()
		return relay.RegistryChange{ID: id}
	}
	return relay.RegistryChange{ID: id, Upstream: u}
}

// takeUpstreams brings the registry up to date. Around the table's return from an
// outage a vanished row is believed only later: live upstreams register again first.
func (g *Gateway) takeUpstreams(version int64, changes []relay.RegistryChange, whole bool, missing map[string]time.Time) {
	now := time.Now()
	old := g.fleet.Load().registry
	until := g.table.lastRecovery().Add(time.Duration(g.cfg.OutageListGrace) + missingMargin)
	if whole {
		changes = append(changes, vanished(old, changes)...)
	}
	kept := changes[:0]
	for _, c := range changes {
		if c.Upstream != nil {
			delete(missing, c.ID)
		} else if old.Get(c.ID) != nil && now.Before(until) {
			missing[c.ID] = until
			continue
		}
		kept = append(kept, c)
	}
	g.applyUpstreams(version, kept)
}

// missingMargin covers the time between the table's return and this entry's notice of it.
const missingMargin = 200 * time.Millisecond

// vanished lists the upstreams of the registry that a whole list lacks.
func vanished(r *relay.Registry, listed []relay.RegistryChange) []relay.RegistryChange {
	there := make(map[string]bool, len(listed))
	for _, c := range listed {
		there[c.ID] = true
	}
	var out []relay.RegistryChange
	for _, id := range r.IDs() {
		if !there[id] {
			out = append(out, relay.RegistryChange{ID: id})
		}
	}
	return out
}

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
		g.applyUpstreams(0, gone)
	}
}

func (g *Gateway) applyUpstreams(version int64, changes []relay.RegistryChange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.fleet.Load().registry
	next := old.Apply(uint64(version), changes)
	for _, c := range changes {
		g.noteUpstream(version, old.Get(c.ID), next.Get(c.ID), c.ID)
	}
	var services map[string]relay.Service
	if t := g.routes.Load(); t != nil {
		services = t.Document().Services
	}
	g.fleet.Store(newFleet(next, services))
	g.balancer.Retain(func(id string) bool { return next.Get(id) != nil })
}

// noteUpstream logs what changed of one upstream and forgets what a new life makes void.
func (g *Gateway) noteUpstream(version int64, old, now *relay.Upstream, id string) {
	switch {
	case old == nil && now == nil:
	case now == nil:
		g.env.Requests.Warn("upstream_gone").Str("upstream", id).Int("version", version).End()
		g.balancer.ResetUpstream(id)
	case old == nil || old.StartedAtMs != now.StartedAtMs:
		g.env.Requests.Warn("upstream_joined").Str("upstream", id).Str("service", now.Service).Str("address", now.Address).
			Int("born", now.StartedAtMs).Int("seq", now.Seq).Int("version", version).End()
		g.balancer.ResetUpstream(id)
	case old.Draining != now.Draining:
		g.env.Requests.Warn("upstream_draining").Str("upstream", id).Int("seq", now.Seq).Int("version", version).End()
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
