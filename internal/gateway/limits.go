package gateway

import (
	"encoding/binary"
	"maps"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/limits"
)

// limitRepeats is the number of digests that carry a changed limit, since a datagram may be lost.
const limitRepeats = 3

// repeatLimitsEvery is the number of digests of which one carries the limits of the upstreams whose
// sends this entry grants. Entries that have just started learn of them by it.
const repeatLimitsEvery = 4

// unlistedLimitRetention is how long the limit of an upstream that is not listed is remembered. It
// covers an outage of the table.
const unlistedLimitRetention = time.Minute

// upstreamLimits holds what this entry knows of the limits that upstreams name, and schedules the
// sends to those upstreams that it grants to all entries. It is safe for concurrent use.
type upstreamLimits struct {
	g *Gateway

	mu    sync.Mutex
	known *limits.Known
	// grants schedules the sends that this entry grants, shares the share of the limit that it
	// grants, for upstreams that it grants sends to.
	grants *limits.Grants
	shares map[uint64]float64
	// answered holds the latest answers to other entries, in case they ask again.
	answered permitAnswers
	// repeats is the number of digests that are still to carry the statement of an upstream.
	repeats map[uint64]int
	// digests is the number of digests that takeStatements was called for.
	digests uint64
}

func newUpstreamLimits(g *Gateway) *upstreamLimits {
	return &upstreamLimits{
		g: g, known: limits.NewKnown(), grants: limits.NewGrants(), shares: map[uint64]float64{}, repeats: map[uint64]int{},
	}
}

// observeAnswer applies what the head of an answer says about its upstream's limit. An answer of
// another upstream that got the call by mistake must not be passed.
func (l *upstreamLimits) observeAnswer(j *job, res *sendResult, a *forward.Answer) {
	limit := a.Head.Limit
	if limit.Malformed {
		// The upstream is in need all the same, so the limit that it named before stays in force.
		l.g.metrics.limitsMalformed.Inc(1)
		l.g.env.Requests.Warn("upstream_limit_malformed").Str("request", j.call.ID).Str("upstream", res.upstream).End()
		return
	}
	s := limits.Statement{Limited: limit.Named, PerSecond: limit.PerSecond, At: res.sentAt}
	if limit.Named {
		s.At = time.Now()
	}
	if l.observe(res.incarnation, res.upstream, s, "answer to "+j.call.ID) != limits.Unchanged {
		l.mu.Lock()
		l.repeats[res.incarnation] = limitRepeats
		l.mu.Unlock()
	}
}

// observe applies a statement about the limit of an upstream and logs what it changes. from says where
// the statement comes from.
func (l *upstreamLimits) observe(incarnation uint64, upstream string, s limits.Statement, from string) limits.Change {
	if l.g.fleet.Load().byIncarnation[incarnation] != upstream {
		return limits.Unchanged // it has ended, and another one may run under its id
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	change := l.known.Observe(incarnation, s)
	if change == limits.Unchanged {
		return change
	}
	l.g.mu.Lock()
	if s.Limited {
		l.g.balancer.SetLimit(upstream, s.PerSecond)
	} else {
		l.g.balancer.RemoveLimit(upstream)
	}
	l.g.mu.Unlock()
	l.g.metrics.limitChanges.Inc(1)
	l.g.env.Requests.Warn("upstream_limit").Str("upstream", upstream).Str("change", change.String()).
		Str("per_second", formatRate(s.PerSecond)).Str("from", from).Ms("age_ms", time.Since(s.At)).End()
	return change
}

// formatRate returns a rate as text for log lines.
func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'g', 4, 64) }

// statement returns the limit of an upstream. ok is false if it has none.
func (l *upstreamLimits) statement(incarnation uint64) (s limits.Statement, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Limit(incarnation)
}

// retain drops what is known of upstreams that are not listed, once that is old: an upstream may be
// listed again after an outage of the table. g.mu must not be held.
func (l *upstreamLimits) retain(now time.Time, f *fleet) {
	listed := func(incarnation uint64) bool { return f.byIncarnation[incarnation] != "" }
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.Retain(func(incarnation uint64, s limits.Statement) bool {
		return listed(incarnation) || now.Sub(s.At) < unlistedLimitRetention
	})
	known := func(incarnation uint64) bool {
		_, known := l.known.Statement(incarnation)
		return known
	}
	l.grants.Retain(known)
	maps.DeleteFunc(l.shares, func(incarnation uint64, _ float64) bool { return !known(incarnation) })
	maps.DeleteFunc(l.repeats, func(incarnation uint64, _ int) bool { return !known(incarnation) })
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	l.known.Each(func(incarnation uint64, s limits.Statement) {
		if listed(incarnation) {
			l.g.balancer.SetLimit(f.byIncarnation[incarnation], s.PerSecond)
		}
	})
}

// maxLimitBytes is the part of a digest in bytes that is kept free for limits of upstreams.
const maxLimitBytes = 200

// join registers what upstreams have said of their limits with the digests, and the question for permits.
func (l *upstreamLimits) join() {
	l.g.mesh.AddField(mesh.Field{
		Kind: 'm', Reserve: maxLimitBytes,
		Append: func(b []byte, room int) []byte {
			end, now := len(b)+room, time.Now()
			l.takeStatements(func(incarnation uint64, s limits.Statement) bool {
				if len(b)+maxDigestItem > end {
					return false
				}
				b = appendStatement(binary.AppendUvarint(append(b, 'm'), incarnation), now, s)
				return true
			})
			return b
		},
		Apply: func(from string, r *mesh.Reader) {
			if incarnation, s := r.Uvarint(), readStatement(r, time.Now()); !r.Malformed() {
				l.receiveStatement(from, incarnation, s)
			}
		},
	})
	l.g.mesh.HandleQuestion(callPermit, func(q mesh.Question) {
		upstream := q.Uvarint()
		s, maxWait := readStatement(q.Reader, time.Now()), time.Duration(q.Uvarint())*time.Millisecond
		if !q.Malformed() {
			q.Reply(l.answerPermit(q.ID, q.From, upstream, s, min(maxWait, limits.Horizon)))
		}
	})
}

// takeStatements calls f for the statements that the next digest is to carry: those that changed in
// answers to this entry, and in some digests those of the upstreams whose sends it grants.
func (l *upstreamLimits) takeStatements(f func(incarnation uint64, s limits.Statement) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.digests++
	for incarnation, repeats := range l.repeats {
		s, known := l.known.Statement(incarnation)
		if known && !f(incarnation, s) {
			continue
		}
		if l.repeats[incarnation] = repeats - 1; repeats <= 1 {
			delete(l.repeats, incarnation)
		}
	}
	if l.digests%repeatLimitsEvery != 0 {
		return
	}
	for incarnation := range l.shares {
		if s, limited := l.known.Limit(incarnation); limited && l.repeats[incarnation] == 0 {
			f(incarnation, s)
		}
	}
}

const (
	// milli is the unit of encoded limits: a thousandth of a request per second.
	milli = 1000
	// maxEncodedLimit is the highest limit that entries exchange, in requests per second. A higher one
	// is in effect none.
	maxEncodedLimit = 1e6
	// maxStatementAge bounds the age of an exchanged statement.
	maxStatementAge = time.Hour
)

// appendStatement appends a statement: its limit plus one, or 0 for none, and its age in ms.
func appendStatement(b []byte, now time.Time, s limits.Statement) []byte {
	value := uint64(0)
	if s.Limited {
		value = 1 + uint64(math.Round(milli*min(s.PerSecond, maxEncodedLimit)))
	}
	age := min(max(0, now.Sub(s.At)), maxStatementAge)
	return binary.AppendUvarint(binary.AppendUvarint(b, value), uint64(age.Milliseconds()))
}

// readStatement reads a statement.
func readStatement(r *mesh.Reader, now time.Time) limits.Statement {
	value, age := r.Uvarint(), r.Uvarint()
	if value > 1+milli*maxEncodedLimit || age > uint64(maxStatementAge.Milliseconds()) {
		r.Fail()
	}
	if r.Malformed() {
		return limits.Statement{}
	}
	s := limits.Statement{Limited: value > 0, At: now.Add(-time.Duration(age) * time.Millisecond)}
	if s.Limited {
		s.PerSecond = float64(value-1) / milli
	}
	return s
}

// receiveStatement applies a statement that another entry has sent.
func (l *upstreamLimits) receiveStatement(from string, incarnation uint64, s limits.Statement) {
	if upstream := l.g.fleet.Load().byIncarnation[incarnation]; upstream != "" {
		l.observe(incarnation, upstream, s, from)
	}
}
