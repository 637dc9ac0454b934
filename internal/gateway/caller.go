package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// defaultPatience bounds a call whose caller and route set no bound.
	defaultPatience = 10 * time.Second
	// defaultMaxSends is how many upstreams a call may be sent to when its route does not say.
	defaultMaxSends = 2
	// maxNotSent bounds the upstreams that could not be connected to for one call.
	maxNotSent = 4
	// answerSlack is how long after a call's deadline its answer is still read: an
	// upstream says at the deadline what became of the call.
	answerSlack = 150 * time.Millisecond
	// writeSlack is how long after a call's deadline its caller may still take the answer.
	writeSlack = time.Second
	// documentTrust is how old the last word on the document may be for the entry to say
	// that there is no such route.
	documentTrust = 2 * time.Second
)

// Times after which refused callers are asked to come back.
const (
	// retryNoDocument fits the start of a process.
	retryNoDocument = 300 * time.Millisecond
	// retryTable fits a part of the table that is away, or slow answers.
	retryTable = 400 * time.Millisecond
	// retryOutage fits an outage of the table, which lasts seconds.
	retryOutage = time.Second
	// retryUpstream fits an upstream that refused or could not be reached: others are there.
	retryUpstream = 60 * time.Millisecond
)

// newIncarnation names a life of a process.
func newIncarnation() string {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil { // crypto/rand never fails on Linux
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

func seedOf(text string) uint64 { return xxhash.Sum64String(text) }

// job is one caller's request on its way.
type job struct {
	call  *relay.Call
	route *relay.Route
	// version is that of the document by which the route was matched.
	version uint64
	service string
	request *http.Request
	body    []byte
	// fingerprint tells the request's content.
	fingerprint uint64
	start       time.Time
	// deadline is when the caller or the route stops waiting.
	deadline time.Time
	work     routing.CallInfo

	sends, notSent int
	// mayHaveRun says that a send's outcome is unknown.
	mayHaveRun bool
	tried      []string
	pick       routing.Pick
	reads      int
	// chainFrom is the life of the entry that had the chain at hand.
	chainFrom string
	events    int
	keptIn    time.Duration
	// load is that of the service's upstreams when the program asked to begin.
	load float64
}

func (j *job) left() time.Duration { return time.Until(j.deadline) }

// maxSends is the number of upstreams that the call may be sent to.
func (j *job) maxSends() int {
	if j.route.MaxSends > 0 {
		return j.route.MaxSends
	}
	return defaultMaxSends
}

// serveCaller takes one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.metrics.requests.Inc(1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{request: r, start: time.Now()}
	g.boundWrites(w, j, j.start.Add(defaultPatience))
	var err error
	if j.call, err = platform.DecodeCall(r.Header); err != nil {
		g.reject(w, j, http.StatusBadRequest, "bad_request", err)
		return
	}
	if !g.match(w, j) || !g.readBody(w, j) {
		return
	}
	j.fingerprint = quarantine.HashCall(r.Method, r.URL.Path, about(j.call), j.body)
	if j.left() <= 0 {
		g.refuse(w, j, "deadline", nil, retryUpstream)
		return
	}
	if j.route.Kind == relay.Stream {
		g.serveStream(r.Context(), w, j)
		return
	}
	g.servePlain(r.Context(), w, j)
}

// about tells apart calls of the same path and without a body.
func about(c *relay.Call) string {
	return c.AffinityKey + "/" + c.Program + "/" + c.Conversation + "/" + c.Previous
}

// match finds the route and the service; otherwise it has answered.
func (g *Gateway) match(w http.ResponseWriter, j *job) bool {
	t := g.routes.Load()
	if t == nil {
		g.refuse(w, j, "no_document", nil, retryNoDocument)
		return false
	}
	j.version = t.Document().Version
	j.route = t.Match(j.request.Host, j.request.URL.Path)
	if j.route == nil {
		if age := time.Since(time.Unix(0, g.documentConfirmedAt.Load())); age > documentTrust {
			g.refuse(w, j, "document_old", errors.Newf("last confirmed %s ago", age.Round(time.Millisecond)), retryTable)
			return false
		}
		g.metrics.notFound.Inc(1)
		g.reject(w, j, http.StatusNotFound, "no_route", nil)
		return false
	}
	j.service = g.service(j)
	patience := j.call.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if j.route.Timeout > 0 {
		patience = min(patience, j.route.Timeout)
	}
	j.deadline = j.start.Add(patience)
	g.boundWrites(w, j, j.deadline.Add(writeSlack))
	return true
}

// boundWrites sets until when the caller must have taken the answer: one that does not
// read holds a place at an upstream no longer than it may.
func (g *Gateway) boundWrites(w http.ResponseWriter, j *job, until time.Time) {
	if err := http.NewResponseController(w).SetWriteDeadline(until); err != nil {
		g.line("write_deadline_not_set", j).Err(err).End()
	}
}

// service chooses the service by the weights of the route's backends. The calls of one
// program or object go to the same one, where its prompts are cached.
func (g *Gateway) service(j *job) string {
	backends := j.route.Services
	if len(backends) == 1 {
		return backends[0].Service
	}
	fleet := g.fleet.Load()
	total := 0.0
	for _, b := range backends {
		if len(fleet.byService[b.Service]) > 0 {
			total += b.Weight
		}
	}
	key := j.call.Program
	if key == "" {
		key = j.call.AffinityKey + j.call.ID
	}
	const buckets = 1 << 20
	point := float64(xxhash.Sum64String(j.route.Name+key)%buckets) / buckets * total
	chosen := ""
	for _, b := range backends {
		if b.Weight <= 0 || len(fleet.byService[b.Service]) == 0 {
			continue
		}
		chosen = b.Service
		if point -= b.Weight; point < 0 {
			break
		}
	}
	if chosen == "" {
		return backends[0].Service
	}
	return chosen
}

// readBody reads the caller's body; otherwise it has answered.
func (g *Gateway) readBody(w http.ResponseWriter, j *job) bool {
	if j.request.Body == nil || j.request.Body == http.NoBody {
		return true
	}
	limit := g.routes.Load().Document().Limits.BodyBytes
	var body io.Reader = j.request.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, j.request.Body, limit)
	}
	if err := http.NewResponseController(w).SetReadDeadline(j.deadline); err != nil {
		g.env.Requests.Info("read_deadline_not_set").Str("request", j.call.ID).Err(err).End()
	}
	var err error
	if n := j.request.ContentLength; n > 0 && (limit <= 0 || n <= limit) {
		j.body = make([]byte, n)
		_, err = io.ReadFull(body, j.body)
	} else {
		j.body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		g.reject(w, j, http.StatusRequestEntityTooLarge, "body_too_large", err)
	default:
		g.metrics.callerGone.Inc(1)
		g.line("request_broken_off", j).Err(err).End()
		panic(http.ErrAbortHandler)
	}
	return false
}

// line starts the log line of a request's outcome.
func (g *Gateway) line(event string, j *job) *reqlog.Line {
	ln := g.env.Requests.Info(event)
	return ln.Str("request", idOf(j))
}

func idOf(j *job) string {
	if j.call == nil {
		return ""
	}
	return j.call.ID
}

// refuse answers that the call has not run and will not, and when to come back.
func (g *Gateway) refuse(w http.ResponseWriter, j *job, reason string, cause error, after time.Duration) {
	g.metrics.refused.Inc(1)
	after = g.spread(after)
	g.outcome(j, "refused", http.StatusServiceUnavailable, reason, cause, after)
	platform.SetRetryAfter(w.Header(), after)
	g.own(w, j, http.StatusServiceUnavailable)
}

// tableRetry returns when a caller should come back whose call needs the table.
func (g *Gateway) tableRetry() time.Duration {
	if g.table.unreachable() {
		return retryOutage
	}
	return retryTable
}

// spread jitters a time to come back by half of it to either side, so that callers that
// were refused together don't come back together.
func (g *Gateway) spread(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.balancer.RandomFloat()*float64(d))
}

// reject answers that the call will not be run however often it comes.
func (g *Gateway) reject(w http.ResponseWriter, j *job, status int, reason string, cause error) {
	g.outcome(j, "rejected", status, reason, cause, 0)
	g.own(w, j, status)
}

// fail answers that the call may have run and its outcome is unknown.
func (g *Gateway) fail(w http.ResponseWriter, j *job, reason string, cause error) {
	g.metrics.failed.Inc(1)
	status := http.StatusBadGateway
	if j.left() <= 0 {
		status = http.StatusGatewayTimeout
	}
	g.outcome(j, "failed", status, reason, cause, 0)
	g.own(w, j, status)
}

// own writes an answer of this system's own.
func (g *Gateway) own(w http.ResponseWriter, j *job, status int) {
	if id := idOf(j); id != "" {
		platform.SetRequestID(w.Header(), id)
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// giveUp answers a call for which there is no further upstream: refused when it surely
// has not run, failed otherwise.
func (g *Gateway) giveUp(w http.ResponseWriter, j *job, reason string, cause error) {
	if j.mayHaveRun {
		g.fail(w, j, reason, cause)
		return
	}
	g.refuse(w, j, reason, cause, retryUpstream)
}

// callerGone reports whether the caller has closed its connection, and logs it.
func (g *Gateway) callerGone(ctx context.Context, j *job, err error) bool {
	if ctx.Err() == nil && !errors.Is(err, errCallerGone) {
		return false
	}
	g.metrics.callerGone.Inc(1)
	g.outcome(j, "caller_gone", 0, "", nil, 0)
	return true
}
