package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

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

// takeToken takes a token of the organisation's request quota for the call. newProgram says that it begins
// a program. When there is none, it answers the caller and returns false.
func (g *Gateway) takeToken(ctx context.Context, w http.ResponseWriter, j *job, newProgram bool) bool {
	if j.org == nil || j.org.RatePerSecond <= 0 {
		return true
	}
	begun := time.Now()
	j.token = g.quota.Take(ctx, j.org.Name, newProgram)
	if orgquota.Valid(&j.token) {
		return true
	}
	if ctx.Err() != nil {
		g.callerGone(ctx, j, errCallerGone)
		panic(http.ErrAbortHandler)
	}
	status, reason, retry := http.StatusServiceUnavailable, reasonQuotaUnknown, g.jitter(j.token.Retry)
	if j.token.Outcome == quota.OverLimit || j.token.Outcome == quota.ProgramsOverLimit {
		// The grantor spreads the times at which callers return.
		status, reason, retry = http.StatusTooManyRequests, reasonOverQuota, max(minQuotaRetry, j.token.Retry)
		g.metrics.overQuota.Inc(1)
	} else {
		g.metrics.quotaUnknown.Inc(1)
	}
	g.requestLog("quota_refused", j).Str("organisation", j.org.Name).Str("outcome", j.token.Outcome.String()).
		Int("per_second", int64(j.org.RatePerSecond)).Int("burst", int64(j.org.Burst)).Ms("answer_age_ms", j.token.Age).
		Ms("waited_ms", time.Since(begun)).Str("grantor", g.quota.Grantor(j.org.Name)).End()
	g.refuseWith(w, j, status, reason, nil, retry)
	return false
}

// renewToken replaces a token that has expired while the call waited or the process was suspended. It is
// called just before the call is sent.
func (g *Gateway) renewToken(ctx context.Context, j *job) error {
	if j.org == nil || j.org.RatePerSecond <= 0 || j.reached || orgquota.Valid(&j.token) {
		return nil
	}
	g.quota.Return(&j.token)
	j.token = g.quota.Take(ctx, j.org.Name, false)
	if orgquota.Valid(&j.token) {
		return nil
	}
	return errors.Wrapf(errQuota, "organisation %q, %s", j.org.Name, j.token.Outcome)
}

// returnToken gives the call's token back if no upstream ran the call.
func (g *Gateway) returnToken(j *job) {
	if !j.reached {
		g.quota.Return(&j.token)
	}
}
