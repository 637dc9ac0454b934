package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/organisation"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/quota"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/resume"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// defaultCallTimeout is the timeout of a call whose caller sets none; the route may set a
	// shorter one. Until the route is known, it is also the time within which an answer must be
	// written.
	defaultCallTimeout = 10 * time.Second
	// defaultMaxSends is the number of upstreams a call may be sent to when its route sets
	// none.
	defaultMaxSends = 2
	// maxNotSent bounds the failed connection attempts of one call.
	maxNotSent = 4
	// answerGrace is how long after a call's deadline its answer is still read, since an
	// upstream reports at the deadline itself what became of the call.
	answerGrace = 150 * time.Millisecond
	// writeGrace is how long after a call's deadline events may still be written, and how long any other answer may take.
	writeGrace = time.Second
	// maxDocumentAge is how recently the document must have been confirmed to be the newest
	// for a call that matches no route to be rejected with 404, or one with an unknown key with 401.
	// Otherwise the call is refused with 503.
	maxDocumentAge = 2 * time.Second
)

// Base values of the Retry-After of refused calls; jitter spreads them.
const (
	// retryNoDocument is used at the start of a process, until the document has been read.
	retryNoDocument = 300 * time.Millisecond
	// retryTable is used while a partition of the table is unreachable, the table is slow, or
	// the document was not confirmed recently.
	retryTable = 400 * time.Millisecond
	// retryOutage is used when a turn or a budget can't be read in an outage of the whole
	// table, which lasts seconds.
	retryOutage = time.Second
	// retryUpstream is used when no send succeeded or the deadline has passed. It is short,
	// since other upstreams are usually available.
	retryUpstream = 60 * time.Millisecond
	// retryQuarantined is used for a call whose content has crashed too many upstreams. It covers
	// the time after which it may be found that another request caused that.
	retryQuarantined = 5 * time.Second
)

// newIncarnation returns a random id for this incarnation of the entry.
func newIncarnation() string {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil { // crypto/rand never fails on Linux
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// seedOf returns a seed derived from the text.
func seedOf(text string) uint64 { return xxhash.Sum64String(text) }

// job is the state of one caller's request while it is served.
type job struct {
	call  *relay.Call
	route *relay.Route
	// version is the version of the document from which the route and the organisation were taken.
	version uint64
	// org is the caller's organisation; nil when it has none. identified is set when the document
	// has organisations.
	org        *organisation.Organisation
	identified bool
	// token is the token of the organisation's request quota. reached is set once an upstream may have
	// run the call, so that the token is used.
	token   quota.Decision
	reached bool
	// rank is the rank of the call's priority; see relay.RouteTable.
	rank int
	// service is the service whose upstreams the call may be sent to.
	service string
	request *http.Request
	conn    *callerConn
	body    []byte
	// fingerprint is a hash of the request's content, for the quarantine.
	fingerprint uint64
	start       time.Time
	// deadline is the start plus the shorter of the caller's and the route's timeout.
	deadline time.Time

	// info describes the call to the balancer.
	info routing.CallInfo

	// sends counts the upstreams that the call was sent to, notSent the failed connection
	// attempts.
	sends, notSent int
	// mayHaveRun is set when the call may have run at an upstream.
	mayHaveRun bool
	// headWritten is set once the answer has begun.
	headWritten bool
	// received holds the body as it was received, answer that of an answer that is no stream.
	received, answer heldBytes
	// started is set for a call of a program that has started.
	started bool
	// permitsDenied counts the limited upstreams that did not accept the call. permitWait is how long
	// it waited for the permit of the entry permitFrom, limit the limit of that upstream.
	permitsDenied int
	permitWait    time.Duration
	permitFrom    string
	limit         float64
	// limitedFor is the time until an upstream accepts a further call, if none does now.
	limitedFor time.Duration
	// trial is set when the call is a trial of a content that is refused otherwise.
	trial bool
	// tried are the upstreams that were chosen so far.
	tried []string
	// pick is the upstream that was chosen last.
	pick routing.Pick
	// software is the version of that upstream's software.
	software string
	// origin is where the stream began, once that is known; nil for other calls. originSource says who
	// knew that of a stream that the call takes up, and originAge how old the knowledge was.
	origin       *resume.Origin
	originSource string
	originAge    time.Duration
	// openedBefore, if it is not zero, restricts the next send to connections that were opened earlier.
	openedBefore time.Time
	// withdrawalWait is how long the call waited for a version at which a stream may begin.
	withdrawalWait time.Duration
	// turnReads counts the turns of the chain that were neither in memory here nor received
	// from the entry previousStoredBy.
	turnReads int
	// previousStoredBy is the incarnation of the entry that stored the previous turn, according
	// to the owner of the program's budget. That entry is asked for the chain first.
	// previousStoredBy is empty when it is unknown or when this entry has the turn in memory.
	previousStoredBy string
	// events counts the events sent to the caller. firstEvent is the time from the send to its first
	// event.
	events     int
	firstEvent time.Duration
	// beginTime is how long the beginning of the turn took to record in the row of its budget, storeTime how long the turn took to store.
	beginTime, storeTime time.Duration
	// load is the load of the service's upstreams when it was decided whether the program may
	// start; zero for calls that need no such decision.
	load float64
}

// left returns the time to the deadline.
func (j *job) left() time.Duration { return time.Until(j.deadline) }

// maxSends returns the number of upstreams that the call may be sent to.
func (j *job) maxSends() int {
	if j.route.MaxSends > 0 {
		return j.route.MaxSends
	}
	return defaultMaxSends
}

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.metrics.requests.Inc(1)
	j := &job{request: r, conn: connOf(r), start: time.Now()}
	j.conn.startRequest(r.ContentLength)
	defer func() {
		j.received.reset()
		j.answer.reset()
		g.returnToken(j)
	}()
	defer g.answerPanic(w, j)
	g.setWriteDeadline(w, j, j.start.Add(defaultCallTimeout))
	g.handle(w, j)
	j.conn.endRequest() // not after a panic, by which a handler closes the connection without an answer
}

// answerPanic answers a request whose handler has panicked for another reason than to end the connection. net/http would
// close the connection without an answer.
func (g *Gateway) answerPanic(w http.ResponseWriter, j *job) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		abort()
	}
	g.metrics.handlerPanics.Inc(1)
	g.env.Requests.Warn("handler_panicked").Str("request", requestID(j)).Str("stack", string(debug.Stack())).Err(errors.Newf("%v", v)).End()
	if j.headWritten {
		abort()
	}
	j.mayHaveRun = true
	g.fail(w, j, "panic", nil)
	j.conn.endRequest()
}

// handle answers the request.
func (g *Gateway) handle(w http.ResponseWriter, j *job) {
	r := j.request
	var err error
	if j.call, err = platform.DecodeCall(r.Header); err != nil {
		g.reject(w, j, http.StatusBadRequest, "bad_request", err)
		return
	}
	if !g.matchRoute(w, j) || !g.readBody(w, j) {
		return
	}
	j.fingerprint = quarantine.HashCall(r.Method, r.URL.RequestURI(), j.org.ScopedID(j.call.Previous), j.body)
	// The deadline may have passed while the body was read.
	if j.left() <= 0 {
		g.refuse(w, j, "deadline", nil, retryUpstream)
		return
	}
	if j.route.Kind == relay.Stream {
		g.serveStream(r.Context(), w, j)
		return
	}
	if g.takeToken(r.Context(), w, j, false) {
		g.servePlain(r.Context(), w, j)
	}
}

// matchRoute finds the call's route and organisation and chooses its service. When the call has no
// route or must not run, it answers the caller and returns false.
func (g *Gateway) matchRoute(w http.ResponseWriter, j *job) bool {
	t := g.routes.Load()
	if t == nil {
		g.refuse(w, j, "no_document", nil, retryNoDocument)
		return false
	}
	j.version = t.Document().Version
	j.route = t.Match(j.request.Host, j.request.URL.Path)
	if ok, superseded := g.authenticate(w, j, t); superseded {
		return g.matchRoute(w, j)
	} else if !ok {
		return false
	}
	if j.route == nil {
		age, superseded := g.confirmedAge(j.request.Context(), t)
		if superseded {
			return g.matchRoute(w, j)
		}
		if age > maxDocumentAge {
			g.refuse(w, j, reasonDocumentOld, errors.Newf("last confirmed %s ago", ageText(age)), retryTable)
			return false
		}
		g.metrics.notFound.Inc(1)
		g.reject(w, j, http.StatusNotFound, "no_route", nil)
		return false
	}
	j.service, j.rank = g.chooseService(j), t.Rank(relay.Priority(j.route, j.org))
	timeout := j.call.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	if j.route.Timeout > 0 {
		timeout = min(timeout, j.route.Timeout)
	}
	j.deadline = j.start.Add(timeout)
	g.setWriteDeadline(w, j, j.deadline.Add(writeGrace))
	return true
}

// setWriteDeadline sets the time by which the answer must be written, so that a caller
// that does not read holds a slot of an upstream for a bounded time only.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter, j *job, until time.Time) {
	if err := http.NewResponseController(w).SetWriteDeadline(until); err != nil {
		g.requestLog("write_deadline_not_set", j).Err(err).End()
	}
}

// chooseService chooses a service of the route by weight, from a hash of the program's
// name. The calls of one program go to the same service, where its prompts are cached,
// unless a service gets its first upstream or loses its last one. Other calls are spread by
// their ids.
func (g *Gateway) chooseService(j *job) string {
	services := j.route.Services
	if len(services) == 1 {
		return services[0].Service
	}
	fleet := g.fleet.Load()
	total := 0.0
	for _, s := range services {
		if len(fleet.byService[s.Service]) > 0 {
			total += s.Weight
		}
	}
	key := j.call.Program
	if key == "" {
		key = j.call.AffinityKey + j.call.ID
	}
	// point is where the key's hash lies between 0 and the sum of the weights of the services
	// that have an upstream.
	const buckets = 1 << 20
	point := float64(xxhash.Sum64String(j.route.Name+key)%buckets) / buckets * total
	chosen := ""
	for _, s := range services {
		if s.Weight <= 0 || len(fleet.byService[s.Service]) == 0 {
			continue
		}
		chosen = s.Service
		if point -= s.Weight; point < 0 {
			break
		}
	}
	if chosen == "" {
		return services[0].Service
	}
	return chosen
}

// readBody reads the body of the caller's request. When the body is too large, or not whole by the call's deadline,
// readBody answers the caller and returns false; when it breaks off, readBody aborts the request.
func (g *Gateway) readBody(w http.ResponseWriter, j *job) bool {
	if j.request.Body == nil || j.request.Body == http.NoBody {
		return true
	}
	limit := g.routes.Load().Document().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body := http.MaxBytesReader(w, j.request.Body, limit)
	if err := http.NewResponseController(w).SetReadDeadline(j.deadline); err != nil {
		g.env.Requests.Info("read_deadline_not_set").Str("request", j.call.ID).Err(err).End()
	}
	j.received.memory = g.bodies.of(j.organisationName())
	err := j.received.readAll(body, min(j.request.ContentLength, limit), limit)
	j.body = j.received.bytes
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		j.conn.bodyRead()
		return true
	case errors.As(err, &tooLarge):
		g.reject(w, j, http.StatusRequestEntityTooLarge, "body_too_large", err)
	case isTimeout(err):
		w.Header().Set("Connection", "close") // the rest of the body may still come
		g.refuseWith(w, j, http.StatusRequestTimeout, "body_late", err, g.jitter(retryUpstream))
	case errors.Is(err, errNoMemory):
		g.metrics.bodiesRefused.Inc(1)
		g.refuse(w, j, "no_memory", err, retryUpstream)
	default:
		g.metrics.callerGone.Inc(1)
		g.requestLog("request_broken_off", j).Err(err).End()
		abort()
	}
	return false
}

// requestLog starts a log line about a request.
func (g *Gateway) requestLog(event string, j *job) *reqlog.Line {
	ln := g.env.Requests.Info(event)
	return ln.Str("request", requestID(j))
}

// requestID returns the caller's id of the request; empty when the headers were malformed.
func requestID(j *job) string {
	if j.call == nil {
		return ""
	}
	return j.call.ID
}

// refuse answers with 503 that the call has not run and will not, and that the caller
// should send it again after a time.
func (g *Gateway) refuse(w http.ResponseWriter, j *job, reason string, cause error, after time.Duration) {
	g.refuseAfter(w, j, reason, cause, g.jitter(after))
}

// refuseAfter is refuse with the exact time after which the caller should send the call again.
func (g *Gateway) refuseAfter(w http.ResponseWriter, j *job, reason string, cause error, after time.Duration) {
	g.refuseWith(w, j, http.StatusServiceUnavailable, reason, cause, after)
}

// refuseWith is refuseAfter with a status, 503, 429 or 408, which say that the call has not run.
func (g *Gateway) refuseWith(w http.ResponseWriter, j *job, status int, reason string, cause error, after time.Duration) {
	g.metrics.refused.Inc(1)
	g.logOutcome(j, "refused", status, reason, cause, after)
	platform.SetRetryAfter(w.Header(), after)
	g.respondEmpty(w, j, status)
}

// tableRetry returns the Retry-After of a call that was refused because of the table.
func (g *Gateway) tableRetry() time.Duration {
	if g.table.Unreachable() {
		return retryOutage
	}
	return retryTable
}

// jitter varies a Retry-After by up to 50% in either direction, so that callers that were
// refused at the same time do not all send again at the same time.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.balancer.RandomFloat()*float64(d))
}

// reject answers that the call will never be run, however often it is sent.
func (g *Gateway) reject(w http.ResponseWriter, j *job, status int, reason string, cause error) {
	g.logOutcome(j, "rejected", status, reason, cause, 0)
	g.respondEmpty(w, j, status)
}

// fail answers with 502, or 504 after the deadline, that the call may have run and its
// outcome is unknown.
func (g *Gateway) fail(w http.ResponseWriter, j *job, reason string, cause error) {
	g.metrics.failed.Inc(1)
	status := http.StatusBadGateway
	if j.left() <= 0 {
		status = http.StatusGatewayTimeout
	}
	g.logOutcome(j, "failed", status, reason, cause, 0)
	g.respondEmpty(w, j, status)
}

// respondEmpty writes an answer of the entry itself, which has no body.
func (g *Gateway) respondEmpty(w http.ResponseWriter, j *job, status int) {
	if id := requestID(j); id != "" {
		platform.SetRequestID(w.Header(), id)
	}
	g.setWriteDeadline(w, j, time.Now().Add(writeGrace))
	w.Header().Set("Content-Length", "0")
	g.writeHead(w, j, status)
}

// refuseOrFail answers a call that is not sent to a further upstream: it is refused when it
// certainly has not run, and failed otherwise.
func (g *Gateway) refuseOrFail(w http.ResponseWriter, j *job, reason string, cause error) {
	if j.mayHaveRun {
		g.fail(w, j, reason, cause)
		return
	}
	switch {
	case errors.Is(cause, errLimited):
		g.refuseAfter(w, j, reason, cause, max(j.limitedFor, retryUpstream))
	case errors.Is(cause, errQuarantined):
		g.refuse(w, j, reason, cause, retryQuarantined)
	default:
		g.refuse(w, j, reason, cause, retryUpstream)
	}
}

// callerGone reports whether the caller has closed its connection and, if so, logs and
// counts it.
func (g *Gateway) callerGone(ctx context.Context, j *job, err error) bool {
	if cutByShutdown(ctx) || ctx.Err() == nil && !errors.Is(err, errCallerGone) {
		return false
	}
	g.metrics.callerGone.Inc(1)
	g.logOutcome(j, "caller_gone", 0, "", nil, 0)
	return true
}

// abort closes the caller's connection before the end of the answer, so that the caller does not take it for complete:
// net/http takes a handler that returns without an answer for one with an empty success. It does not return.
func abort() { panic(http.ErrAbortHandler) }
