package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/internal/orgquota"
	"github.com/buckthornroute/buckthornroute/organisation"
	"github.com/buckthornroute/buckthornroute/quota"
)

// Reasons logged for requests that the quota of their organisation refuses.
const (
	reasonOverQuota    = "over_quota"
	reasonQuotaUnknown = "quota_unknown"
)

// errQuota is returned for a call whose token has expired before it was sent and was not replaced.
var errQuota = errors.New("the request quota of the organisation is used up or not known")

// minQuotaRetry is the least Retry-After of a request over the quota: a shorter one brings the caller back
// before a token can have been added for it.
const minQuotaRetry = 20 * time.Millisecond

// limitsOf returns the request limits of organisations.
func limitsOf(t *organisation.Table) []quota.Limit {
	all := t.All()
	out := make([]quota.Limit, 0, len(all))
	for i := range all {
		if o := &all[i]; o.RatePerSecond > 0 {
			out = append(out, quota.Limit{Organisation: o.Name, PerSecond: o.RatePerSecond, Burst: o.Burst})
		}
	}
	return out
}

// questionTokens is the kind of the question for tokens. The value is part of the wire format.
const questionTokens = 'a'

// quotaMesh is the mesh as the quota uses it.
type quotaMesh struct{ m *mesh.Mesh }

// newQuota returns the quota of this incarnation of the entry and registers it with the mesh.
func newQuota(g *Gateway) *orgquota.Quota {
	q := orgquota.New(quotaMesh{g.mesh}, g.incarnation, seedOf(g.incarnation)>>1, g.env.Requests, g.env.Telemetry.Scope)
	g.mesh.AddFlag(mesh.FlagGrantsTokens, func() bool { return g.mesh.CanOwn() && q.Ready() })
	g.mesh.HandleQuestion(questionTokens, func(m mesh.Question) {
		body := m.Text()
		if m.Malformed() {
			return
		}
		if answer, ok := q.Handle([]byte(body)); ok {
			m.Reply(mesh.Answer{Text: string(answer)})
		} else {
			m.Fail()
		}
	})
	return q
}

// Self implements orgquota.Mesh.
func (q quotaMesh) Self() string { return q.m.Self().Node }

// Ranked implements orgquota.Mesh.
func (q quotaMesh) Ranked(organisation string, n int, ready bool) []string {
	now := time.Now()
	names := make([]string, 0, n)
	for _, p := range q.m.RankedAmong(organisation, n+1, func(p *mesh.Peer) bool { return q.inTouch(p, now) }) {
		switch {
		case len(names) == n:
		case p != nil:
			names = append(names, p.Node)
		case ready && q.m.CanOwn():
			names = append(names, q.Self())
		}
	}
	return names
}

// inTouch reports whether a peer may grant and its digests arrive.
func (q quotaMesh) inTouch(p *mesh.Peer, now time.Time) bool {
	return p.Has(mesh.FlagGrantsTokens) && q.m.Responsive(p, now)
}

// Peers implements orgquota.Mesh.
func (q quotaMesh) Peers() []quota.Peer {
	now := time.Now()
	peers := q.m.Peers(func(p *mesh.Peer) bool { return !p.Has(mesh.FlagLeaving) })
	out := make([]quota.Peer, 0, len(peers))
	for _, p := range peers {
		out = append(out, quota.Peer{Name: p.Node, InTouch: q.inTouch(p, now)})
	}
	return out
}

// Ask implements orgquota.Mesh.
func (q quotaMesh) Ask(ctx context.Context, peer string, timeout time.Duration, body []byte) ([]byte, error) {
	p := q.m.Named(peer)
	if p == nil {
		return nil, errors.Wrapf(mesh.ErrUnreachable, "entry %q is not listed any more", peer)
	}
	v, err := q.m.Ask(ctx, p, timeout, questionTokens, mesh.AppendText(nil, string(body)))
	return []byte(v.Text), err
}

// tokenValid reports whether a token may still be used.
func tokenValid(d *quota.Decision) bool {
	return d.Outcome == quota.Unlimited || d.Outcome == quota.Granted && d.Grant.Valid(time.Now())
}

// takeToken takes a token of the organisation's request quota for the call. newProgram says that it begins
// a program. When there is none, it answers the caller and returns false.
func (g *Gateway) takeToken(ctx context.Context, w http.ResponseWriter, j *job, newProgram bool) bool {
	if j.org == nil || j.org.RatePerSecond <= 0 {
		return true
	}
	j.token = g.quota.Take(ctx, j.org.Name, newProgram, j.call.Program).Decision
	if tokenValid(&j.token) {
		return true
	}
	if ctx.Err() != nil && g.callerGone(ctx, j, errCallerGone) {
		abort()
	}
	// The grantor spreads the times at which callers return, but those that this entry refuses without
	// asking it share one time.
	status, reason, retry := http.StatusServiceUnavailable, reasonQuotaUnknown, g.jitter(j.token.Retry)
	if j.token.Outcome == quota.OverLimit || j.token.Outcome == quota.ProgramsOverLimit {
		status, reason, retry = http.StatusTooManyRequests, reasonOverQuota, max(minQuotaRetry, retry)
		g.metrics.overQuota.Inc(1)
	} else {
		g.metrics.quotaUnknown.Inc(1)
	}
	g.refuseWith(w, j, status, reason, nil, retry)
	return false
}

// renewToken replaces a token that has expired while the call waited or the process was suspended. It is
// called just before the call is sent.
func (g *Gateway) renewToken(ctx context.Context, j *job) error {
	if j.org == nil || j.org.RatePerSecond <= 0 || j.reached || tokenValid(&j.token) {
		return nil
	}
	g.returnToken(j)
	j.token = g.quota.Take(ctx, j.org.Name, false, j.call.Program).Decision
	if tokenValid(&j.token) {
		return nil
	}
	return errors.Wrapf(errQuota, "organisation %q, %s", j.org.Name, j.token.Outcome)
}

// returnToken gives the call's token back if no upstream ran the call.
func (g *Gateway) returnToken(j *job) {
	if !j.reached && j.token.Outcome == quota.Granted {
		g.quota.Return(j.token.Grant)
	}
}
