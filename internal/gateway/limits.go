package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/limits"
)

// upstreamLimits holds what this entry knows of the limits that upstreams name. It is safe for
// concurrent use.
type upstreamLimits struct {
	g *Gateway

	mu    sync.Mutex
	known *limits.Known
}

func newUpstreamLimits(g *Gateway) *upstreamLimits {
	return &upstreamLimits{g: g, known: limits.NewKnown()}
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
	l.observe(res.incarnation, res.upstream, s, "answer to "+j.call.ID)
}

// observe applies a statement about the limit of an upstream and logs what it changes. from says where
// the statement comes from.
func (l *upstreamLimits) observe(incarnation uint64, upstream string, s limits.Statement, from string) limits.Change {
	l.mu.Lock()
	change := l.known.Observe(incarnation, s)
	l.mu.Unlock()
	if change != limits.Unchanged {
		l.g.metrics.limitChanges.Inc(1)
		l.g.env.Requests.Warn("upstream_limit").Str("upstream", upstream).Str("change", change.String()).
			Str("per_second", strconv.FormatFloat(s.PerSecond, 'g', 4, 64)).Str("from", from).Ms("age_ms", time.Since(s.At)).End()
	}
	return change
}

// retain drops the limits of upstreams that are not listed any more.
func (l *upstreamLimits) retain(f *fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.Retain(func(incarnation uint64) bool { return f.byIncarnation[incarnation] != "" })
}
