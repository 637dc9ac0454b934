package gateway

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/resume"
)

const (
	// settledPrefix is the prefix of the rows that state which version of a service is the only one.
	settledPrefix = "software//"
	// settledInterval is the time between two looks at what is due for these rows, settledPending that
	// while a version waits to be cleared. A look calls the table only if something is due.
	settledInterval = time.Second
	settledPending  = 10 * time.Millisecond
	// settledTimeout bounds a call to the table for these rows.
	settledTimeout = time.Second
	// minTurnDelay and turnDelaySpread give the time that an entry leaves a withdrawal to the row's owner,
	// which needs three calls to the table of about 4 ms. The spread keeps about 30 entries apart.
	minTurnDelay    = 40 * time.Millisecond
	turnDelaySpread = 160 * time.Millisecond
	// withdrawalWait bounds the wait of a stream that has no other upstream to go to: the longest turn
	// delay and three calls to a table that is several times slower than usual.
	withdrawalWait = 500 * time.Millisecond
	// resumeTimeout bounds the read of a row for a stream that a caller resumes.
	resumeTimeout = 500 * time.Millisecond
)

// The reasons of the gateway, beside those of package resume, for which a stream of unknown origin is not
// resumed.
const (
	refusedAmbiguous = "route_has_several_services"
	refusedUnread    = "row_not_read"
)

// errExcluded is returned for a stream whose service has upstreams only of versions at which no stream may
// begin yet.
var errExcluded = errors.New("no stream may begin yet at the versions that are available")

// readSettled reads the rows of all services, so that streams need not wait at the start. It returns nil if
// the table does not answer; the rows are read one by one then.
func (o *streamOrigins) readSettled(ctx context.Context) map[string]resume.Row {
	ctx, cancel := context.WithTimeout(ctx, settledTimeout)
	defer cancel()
	rows, _, err := o.g.table.Snapshot(ctx, settledPrefix)
	if err != nil {
		o.g.env.Requests.Warn("software_not_read").Err(err).End()
		return nil
	}
	settled := make(map[string]resume.Row, len(rows))
	for _, r := range rows {
		settled[r.Key[len(settledPrefix):]] = resume.DecodeRow(r.Value, r.Version)
	}
	return settled
}

// listed records the versions of the upstreams after a list of them or a change. rows holds the rows of the
// services if they were read since; else it is nil. Upstreams that are only kept since their rows are missing
// after an outage of the table are left out.
func (o *streamOrigins) listed(r *relay.Registry, missing map[string]time.Time, l resume.Listing, rows map[string]resume.Row) {
	l.Registered = map[string]map[string]bool{}
	for _, id := range r.IDs() {
		if _, isMissing := missing[id]; !isMissing {
			addVersion(l.Registered, r.Get(id))
		}
	}
	now := time.Now()
	o.mu.Lock()
	o.rows.Update(now, l)
	if rows != nil {
		o.rows.ReadAll(now, now, rows)
	}
	o.mu.Unlock()
	o.wakeUp()
}

// addVersion adds the version of an upstream to versions by service.
func addVersion(versions map[string]map[string]bool, u *relay.Upstream) {
	if versions[u.Service] == nil {
		versions[u.Service] = map[string]bool{}
	}
	versions[u.Service][u.Version] = true
}

// confirm records that the list of upstreams is complete as of a time.
func (o *streamOrigins) confirm(begun time.Time) {
	o.confirmedAt.Store(&begun)
	o.mu.Lock()
	o.rows.Confirm(begun)
	o.mu.Unlock()
}

// setRoutes records which routes of the document lead streams to which services.
func (o *streamOrigins) setRoutes(doc *relay.Document) {
	names := map[string][]string{}
	for i := range doc.Routes {
		route := &doc.Routes[i]
		if route.Kind != relay.Stream {
			continue
		}
		for _, s := range route.Services {
			names[s.Service] = append(names[s.Service], route.Name+"\n"+route.Host+"\n"+route.Prefix+"\n")
		}
	}
	routes := make(map[string]string, len(names))
	for service, of := range names {
		sort.Strings(of)
		routes[service] = strconv.FormatUint(xxhash.Sum64String(strings.Join(of, "\n")), 16)
	}
	o.mu.Lock()
	o.routes = routes
	o.rows.SetRoutes(time.Now(), routes)
	o.mu.Unlock()
	o.wakeUp()
}

func (o *streamOrigins) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// excluded returns the versions of a service at which no stream may begin; nil if there are none.
func (o *streamOrigins) excluded(now time.Time, service string) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rows.Excluded(now, service)
}

// mayBegin reports whether the first event of a stream at a version may reach a caller.
func (o *streamOrigins) mayBegin(now time.Time, service, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rows.MayBegin(now, service, version)
}

// resumeByRow reads the row of a service and returns the version at which a stream of unknown origin may be
// resumed, or the reason why it may not.
func (o *streamOrigins) resumeByRow(ctx context.Context, service string) (version, refused string, err error) {
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	row, err := o.readRow(ctx, service)
	if err != nil {
		return "", refusedUnread, err
	}
	// An upstream whose row is older may have started again with other software, under its id.
	if ageOf(o.rowsConfirmed()) > maxRegistryAge {
		return "", resume.RefusedListOld, nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	version, refused = o.rows.Resume(time.Now(), service, o.routes[service], row)
	return version, refused, nil
}

// readRow reads the row of a service from the table.
func (o *streamOrigins) readRow(ctx context.Context, service string) (resume.Row, error) {
	row, err := o.g.table.Get(ctx, settledPrefix+service)
	switch {
	case errors.Is(err, platformapi.ErrNotFound):
		return resume.Row{}, nil
	case err != nil:
		return resume.Row{}, err
	}
	return resume.DecodeRow(row.Value, row.Version), nil
}

// recordSettled reads and writes the rows of the services until ctx ends. The row of a service is owned by the
// entry that would own the budget of a program of that name.
func (o *streamOrigins) recordSettled(ctx context.Context) {
	timer := time.NewTimer(settledInterval)
	defer timer.Stop()
	logged := map[versionOf]bool{} // the excluded versions as of the last look
	for ctx.Err() == nil {
		next := settledInterval
		o.mu.Lock()
		services := make([]string, 0, len(o.routes))
		now, pending := time.Now(), map[versionOf]bool{}
		for service := range o.routes {
			services = append(services, service)
			for _, version := range o.rows.Pending(service) {
				pending[versionOf{service, version}] = true
			}
		}
		o.mu.Unlock()
		for _, service := range services {
			o.operate(ctx, service)
		}
		for v := range pending {
			next = settledPending
			if !logged[v] {
				o.g.metrics.softwareExcluded.Inc(1)
				o.g.env.Requests.Warn("software_excluded").Str("service", v.service).Str("software", v.version).
					Ms("rows_age_ms", now.Sub(o.rowsConfirmed())).End()
			}
		}
		logged = pending
		timer.Reset(next)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-o.wake:
		}
	}
}

// versionOf is a version of a service.
type versionOf struct{ service, version string }

// operate starts the operation that is due on the row of a service, if any.
func (o *streamOrigins) operate(ctx context.Context, service string) {
	owner := o.g.mesh.CanOwn() && o.g.mesh.Owner(service) == nil
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[service] {
		return
	}
	a := o.rows.Next(time.Now(), service, owner)
	if a.Operation == resume.Nothing {
		return
	}
	o.busy[service] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, settledTimeout)
		defer cancel()
		var err error
		if a.Operation == resume.ReadRow {
			err = o.read(ctx, service)
		} else {
			err = o.write(ctx, service, a)
		}
		o.mu.Lock()
		delete(o.busy, service)
		if err != nil {
			o.rows.Failed(time.Now(), service)
		}
		o.mu.Unlock()
		o.wakeUp()
	}()
}

// read reads the row of a service and logs what follows from it.
func (o *streamOrigins) read(ctx context.Context, service string) error {
	begun := time.Now()
	row, err := o.readRow(ctx, service)
	o.g.metrics.softwareRowsRead.Inc(1)
	if err != nil {
		o.g.env.Requests.Info("software_not_read").Str("service", service).Err(err).End()
		return err
	}
	o.mu.Lock()
	now := time.Now()
	cleared := o.rows.Read(begun, now, service, row)
	o.mu.Unlock()
	for _, version := range cleared {
		o.g.env.Requests.Warn("software_cleared").Str("service", service).Str("software", version).Str("named", row.Named).
			Int("row_version", row.Version).Ms("rows_age_ms", now.Sub(o.rowsConfirmed())).End()
	}
	return nil
}

// write writes the row of a service. A row that has changed meanwhile is no failure: it is read again.
func (o *streamOrigins) write(ctx context.Context, service string, a resume.Action) error {
	key := settledPrefix + service
	value, err := a.Row.Encode()
	if err == nil {
		err = o.g.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: a.Row.Version}}, []platformapi.Write{{Key: key, Value: value}})
	}
	o.mu.Lock()
	o.rows.Written(service, a.Row, err == nil)
	o.mu.Unlock()
	event, counter := "software_row_withdrawn", o.g.metrics.softwareRowsWithdrawn
	if a.Row.Named != "" || a.Row.Prepared != "" {
		event, counter = "software_row_written", o.g.metrics.softwareRowsWritten
	}
	if err != nil {
		event, counter = "software_row_not_written", o.g.metrics.softwareRowsNotWritten
	}
	counter.Inc(1)
	o.g.env.Requests.Warn(event).Str("service", service).Str("named", a.Row.Named).Str("prepared", a.Row.Prepared).
		Str("named_before", a.Before.Named).Str("prepared_before", a.Before.Prepared).Str("because_of", a.Version).
		Int("row_version", a.Row.Version).Ms("rows_age_ms", time.Since(o.rowsConfirmed())).Err(err).End()
	if errors.Is(err, platformapi.ErrConditionFailed) {
		return nil
	}
	return err
}

// awaitCleared waits until a stream that found no upstream may begin at one that was excluded. It returns
// false if there is none or the bound of the wait has passed.
func (g *Gateway) awaitCleared(ctx context.Context, j *job) bool {
	if j.route.Kind != relay.Stream || j.origin != nil {
		return false
	}
	until := earlier(time.Now().Add(withdrawalWait-j.withdrawalWait), j.deadline)
	begun := time.Now()
	defer func() { j.withdrawalWait += time.Since(begun) }()
	before := g.excludedUpstreams(j)
	for n := before; n > 0 && n >= before; n = g.excludedUpstreams(j) {
		if ctx.Err() != nil || !time.Now().Before(until) {
			return false
		}
		sleep(ctx, settledPending)
	}
	return before > 0
}

// excludedUpstreams counts the upstreams of the call's service at which no stream may begin.
func (g *Gateway) excludedUpstreams(j *job) int {
	excluded := g.origins.excluded(time.Now(), j.service)
	n := 0
	for _, u := range g.fleet.Load().byService[j.service] {
		if excluded[u.Version] {
			n++
		}
	}
	return n
}
