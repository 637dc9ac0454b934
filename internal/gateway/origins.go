package gateway

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/resume"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// originReplicas is the number of other entries that are told where a stream began, before its first
	// event is sent to the caller.
	originReplicas = 4
	// originQuestions is the number of entries that are asked where a stream began. It is greater than
	// originReplicas, since entries may have joined or left meanwhile.
	originQuestions = 2 * originReplicas
	// originTimeout bounds these questions. Each is sent again once within it.
	originTimeout = 60 * time.Millisecond
	// maxRegistryAge is how recently the upstreams' rows must have been confirmed to conclude from them
	// which versions serve: the feed's wait and some delay.
	maxRegistryAge = feedWait + rowDelay
	// maxFeedAge is the age of the upstreams' rows from which an entry is out of step: it stood still, was cut off,
	// or the table does not answer. A poll that brings nothing confirms them as of its beginning.
	maxFeedAge = 2*feedWait + rowDelay
	// rowTimeout bounds reading the row of an upstream that may have started again.
	rowTimeout = 150 * time.Millisecond
	// rowDelay is the time within which an entry usually has the row of an upstream that has started.
	rowDelay = 500 * time.Millisecond
	// packetStream is the kind of packet that tells where a stream began: its key, the service and version,
	// and the hash of the upstream's incarnation. It is not answered. Earlier builds ignore it.
	packetStream = 5
	// callStreamOrigin is the kind of question that asks where a stream began.
	callStreamOrigin = 'o'
	// sourceOnlyVersion is logged as the source of an origin that follows from the upstreams' rows.
	sourceOnlyVersion = "only_version"
)

var (
	// errUnknownVersion is returned for a stream of which nobody knows at which version it began.
	errUnknownVersion = errors.New("the software version at which the stream began is not known")
	// errNoVersion is returned when no upstream of the version at which a stream began is available.
	errNoVersion = errors.New("no upstream of the version at which the stream began is available")
	// errRetained is returned for a stream of a retained route that a caller takes up: the events before
	// are not here, so its turn could not be stored.
	errRetained = errors.New("a stream of a retained route can't be taken up")
	// errOtherService is returned for a stream that began at a service that its route does not use any
	// more.
	errOtherService = errors.New("the stream began at a service that the route does not use")
)

// streamOrigins knows at which software version recent streams began, of this entry's calls and of those
// that other entries have told it. Of single streams the table knows nothing: an entry can go on with them
// while the table is unreachable, and knowledge that is lost with all its holders costs no more than a
// refusal. It is safe for concurrent use.
type streamOrigins struct {
	g *Gateway
	// confirmedAt is when the upstreams' rows were last confirmed; nil before that.
	confirmedAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	origins *resume.Origins
	// rows decides at which versions streams may begin; settled.go drives it.
	rows *resume.Rows
	// routes stands, for each service, for the routes that lead streams to it.
	routes map[string]string
	// busy holds the services for whose row a call to the table is under way.
	busy map[string]bool
	// wake receives a value when an operation on a row may be due.
	wake chan struct{}
}

func newStreamOrigins(g *Gateway) *streamOrigins {
	delay := minTurnDelay + time.Duration(seedOf(string(g.cfg.Node))%uint64(turnDelaySpread))
	return &streamOrigins{
		g: g, origins: resume.NewOrigins(), rows: resume.NewRows(g.cfg.FirstStart, delay),
		busy: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// began records where the stream of a call began and tells other entries. It does not wait for them: the
// caller can't come back before they have the datagram.
func (o *streamOrigins) began(id string, origin resume.Origin) {
	key, now := resume.KeyOf(id), time.Now()
	o.record(now, key, origin)
	m := o.g.mesh
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 64), uint64(key))
	b = binary.BigEndian.AppendUint64(mesh.AppendText(mesh.AppendText(b, origin.Service), origin.Version), origin.Upstream)
	sent := 0
	for _, p := range m.Ranked(id, originReplicas+1) {
		if p == nil || sent == originReplicas {
			continue
		}
		sent++
		m.Send(p, packetStream, b)
	}
}

func (o *streamOrigins) record(now time.Time, key resume.Key, origin resume.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.origins.Record(now, key, origin)
}

// join registers the packet and the question of streams' origins.
func (o *streamOrigins) join() {
	o.g.mesh.HandlePackets(packetStream, o.receive)
	o.g.mesh.HandleQuestion(callStreamOrigin, func(q mesh.Question) {
		if key := resume.Key(q.Uint64()); !q.Malformed() {
			q.Reply(o.answer(key))
		}
	})
}

// receive records what another entry has told, unless the packet is malformed. An entry whose rows are older may not know yet that the upstream has started again with other software.
func (o *streamOrigins) receive(r *mesh.Reader) {
	key := resume.Key(r.Uint64())
	origin := resume.Origin{Service: r.Text(), Version: r.Text(), Upstream: r.Uint64()}
	if r.Malformed() || origin.Version == "" {
		r.Fail()
		return
	}
	now, f := time.Now(), o.g.fleet.Load()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.origins.Record(now, key, origin)
	if u := f.registry.Get(f.byHash[uint32(origin.Upstream)]); u != nil && u.Version != origin.Version {
		o.origins.Doubt(origin.Upstream, u.Version, now)
	}
}

// foundOrigin is where a stream began, with who knew that and how old the knowledge is.
type foundOrigin struct {
	resume.Origin
	source string
	age    time.Duration
}

// find returns where the stream began that the call takes up. Of a stream that neither this entry nor its
// peers know, the row of its service tells the version if that is the only one. If the origin can't be told,
// find returns the reason.
func (o *streamOrigins) find(ctx context.Context, j *job) (found foundOrigin, refused string, err error) {
	if resumes := j.org.ScopedID(j.call.Resumes); resumes != "" {
		if origin, age, known := o.local(resume.KeyOf(resumes)); known {
			return foundOrigin{origin, string(o.g.cfg.Node), age}, "", nil
		}
		if found, known := o.askPeers(ctx, resumes); known {
			return found, "", nil
		}
	}
	// The stream may have begun at any of the route's services.
	if len(j.route.Services) != 1 {
		return foundOrigin{}, refusedAmbiguous, nil
	}
	version, refused, err := o.resumeByRow(ctx, j.service)
	return foundOrigin{resume.Origin{Service: j.service, Version: version}, sourceOnlyVersion, time.Since(o.rowsConfirmed())}, refused, err
}

// local returns the origin of a stream as this entry knows it, and the age of that knowledge.
func (o *streamOrigins) local(key resume.Key) (resume.Origin, time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.origins.Find(time.Now(), key)
}

// askPeers asks the entries that rank first for the stream, all at once, and returns the first origin that
// one of them knows.
func (o *streamOrigins) askPeers(ctx context.Context, resumes string) (foundOrigin, bool) {
	m := o.g.mesh
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	question := binary.BigEndian.AppendUint64(nil, uint64(resume.KeyOf(resumes)))
	peers := m.Ranked(resumes, originQuestions+1)
	answers := make(chan foundOrigin, len(peers))
	asked := 0
	for _, p := range peers {
		if p == nil {
			continue
		}
		asked++
		go func() {
			found := foundOrigin{source: p.Node}
			if v, err := m.Ask(ctx, p, originTimeout, callStreamOrigin, question); err == nil {
				r := mesh.NewReader([]byte(v.Text))
				found.Service, found.Version, found.age = r.Text(), r.Text(), time.Duration(v.Value)*time.Millisecond
			}
			answers <- found
		}()
	}
	for range asked {
		if found := <-answers; found.Version != "" {
			return found, true
		}
	}
	return foundOrigin{}, false
}

// answer answers another entry's question for the origin of a stream. The text is empty if it is not known
// here.
func (o *streamOrigins) answer(key resume.Key) mesh.Answer {
	origin, age, known := o.local(key)
	if !known {
		return mesh.Answer{}
	}
	return mesh.Answer{Value: uint64(age / time.Millisecond), Text: string(mesh.AppendText(mesh.AppendText(nil, origin.Service), origin.Version))}
}

// upstreamReplaced is called when the row of an upstream shows that it has started again with other
// software. Streams that were recorded since its rows were last confirmed may have begun at either, but
// for those before its last failure: the end of a process breaks connections. g.mu must be held.
func (o *streamOrigins) upstreamReplaced(old, current *relay.Upstream) {
	since := o.rowsConfirmed().Add(-rowDelay)
	if failed := o.g.balancer.LastFailure(current.ID); failed.After(since) {
		since = failed
	}
	o.mu.Lock()
	n := o.origins.Doubt(routing.HashID(current.ID), current.Version, since)
	o.mu.Unlock()
	o.g.env.Requests.Warn("upstream_software_changed").Str("upstream", current.ID).Str("from", old.Version).
		Str("to", current.Version).Int("streams_in_doubt", int64(n)).End()
}

// candidates returns the upstreams that the call may be sent to, the draining ones left out. A stream
// begins only at versions at which it may, and goes on only at the version that began it.
func (g *Gateway) candidates(j *job, f *fleet) []routing.Upstream {
	all := f.byService[j.service]
	if j.route.Kind != relay.Stream {
		return all
	}
	var excluded map[string]bool
	if j.origin == nil {
		if excluded = g.origins.excluded(time.Now(), j.service); excluded == nil {
			return all
		}
	}
	out := make([]routing.Upstream, 0, len(all))
	for i := range all {
		if j.origin == nil && !excluded[all[i].Version] || j.origin != nil && all[i].Version == j.origin.Version {
			out = append(out, all[i])
		}
	}
	return out
}

// softwareConfirmed reports whether a stream that has begun may go on at an upstream that was chosen for its
// version. The upstream may have started again under its id, with other software: the end of its process breaks
// connections, so one that was opened before its row was known proves that it has not, and j.openedBefore is set
// for it. Without one the row must have been confirmed recently, which it is not after this entry stood still or
// was cut off, and the upstream must not have failed since; else its row is read once more.
func (g *Gateway) softwareConfirmed(ctx context.Context, j *job, u *relay.Upstream) bool {
	j.openedBefore = time.Time{}
	if j.origin == nil {
		return true
	}
	confirmed := g.origins.rowsConfirmed()
	listed := confirmed.Add(-rowDelay)
	g.mu.Lock()
	lastFailure := g.balancer.LastFailure(u.ID)
	g.mu.Unlock()
	if !confirmed.IsZero() && lastFailure.Before(listed) && g.pool.HasIdleOpenedBefore(u.Address, listed, j.maxIdle()) {
		j.openedBefore = listed
		return true
	}
	if lastFailure.Before(confirmed) && ageOf(confirmed) <= maxRegistryAge {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	row, err := g.table.Get(ctx, platform.UpstreamsPrefix+u.ID)
	version := ""
	if err == nil {
		var current *relay.Upstream
		if current, err = platform.DecodeUpstream(u.ID, row.Value); err == nil {
			version = current.Version
		}
	}
	g.requestLog("upstream_software_checked", j).Str("upstream", u.ID).Str("want", j.origin.Version).Str("software", version).
		Ms("rows_age_ms", ageOf(confirmed)).Err(err).End()
	return version == j.origin.Version
}

// ageOf returns the time since t, also if the machine was suspended meanwhile, which the steady clock does
// not count. A step of the clock of the day may make it too long.
func ageOf(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// rowsConfirmed returns the time as of which the upstreams' rows are known.
func (o *streamOrigins) rowsConfirmed() time.Time {
	if at := o.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// findOrigin finds where the stream began that the call takes up. When the stream can't go on, it answers
// the caller and returns false.
func (s *stream) findOrigin(ctx context.Context) bool {
	j, g := s.j, s.g
	if j.call.LastEvent == nil {
		return true
	}
	g.metrics.streamsTakenUp.Inc(1)
	if j.route.Retained {
		g.refuse(s.w, j, "retained_stream", errRetained, retryUpstream)
		return false
	}
	found, refused, err := g.origins.find(ctx, j)
	if refused != "" {
		g.metrics.streamsUnknown.Inc(1)
		g.requestLog("stream_not_resumed", j).Str("resumes", j.call.Resumes).Str("route", j.route.Name).Str("service", j.service).Str("why", refused).
			Ms("rows_age_ms", time.Since(g.origins.rowsConfirmed())).Err(err).End()
		g.refuse(s.w, j, "stream_version_unknown", errors.Wrap(errUnknownVersion, refused), retryUpstream)
		return false
	}
	j.origin, j.originSource, j.originAge = &found.Origin, found.source, found.age
	if found.Service != j.service && !j.route.Allows(found.Service) {
		g.metrics.streamsStranded.Inc(1)
		g.refuse(s.w, j, "stream_service_not_allowed", errors.Wrapf(errOtherService, "service %q", found.Service), retryUpstream)
		return false
	}
	j.service = found.Service
	return true
}

// beginOrigin records where the stream began, when its first event has arrived. Callers may take up only
// streams of resumable routes.
func (s *stream) beginOrigin(a *forward.Answer) {
	j, g := s.j, s.g
	if j.origin == nil {
		j.origin = &resume.Origin{Service: j.service, Version: j.software}
		// The process of an old connection is the one in the upstream's row. Without old connections, nothing
		// tells which software answers if the rows are old: the stream can't go on anywhere else.
		confirmed := g.origins.rowsConfirmed()
		if j.software != "" && ageOf(confirmed) > maxFeedAge && !a.Opened().Before(confirmed.Add(-rowDelay)) {
			g.requestLog("stream_software_uncertain", j).Str("upstream", j.pick.ID).Str("software", j.software).
				Ms("rows_age_ms", ageOf(confirmed)).Ms("connection_age_ms", time.Since(a.Opened())).End()
			j.origin.Version = ""
		}
	}
	j.origin.Upstream = routing.HashID(j.pick.ID)
	if j.route.Resumable && j.origin.Version != "" {
		g.origins.began(j.org.ScopedID(j.call.ID), *j.origin)
	}
}

// checkSoftware returns an error if the upstream has started again with other software since it was
// chosen, since it is not known then which of the two answers, or if no stream may begin at its version any
// more, such as after this entry was frozen.
func (s *stream) checkSoftware(res *sendResult) error {
	if u := s.g.fleet.Load().registry.Get(res.upstream); u != nil && u.Version != s.j.software {
		return errors.Wrapf(forward.ErrMalformed, "upstream %q was chosen at version %q and is at %q now", u.ID, s.j.software, u.Version)
	}
	if s.j.origin == nil && !s.g.origins.mayBegin(time.Now(), s.j.service, s.j.software) {
		s.g.metrics.streamsNotBegun.Inc(1)
		return errors.Wrapf(forward.ErrMalformed, "no stream may begin at version %q of %q any more", s.j.software, s.j.service)
	}
	return nil
}
