package gateway

import (
	"context"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/quarantine"
)

// reasonQuarantined is the logged reason of calls that are not sent because of their content.
const reasonQuarantined = "quarantined"

// contentName returns the name of a call's content in log lines.
func contentName(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// How a send ended that an upstream may have run, in log lines.
const (
	endBroken     = "broken"
	endMalformed  = "malformed"
	endSilent     = "silent"
	endCallerGone = "caller_gone"
)

// endOf returns how a send without a complete answer ended.
func endOf(ctx context.Context, res *sendResult) string {
	switch {
	case ctx.Err() != nil || errors.Is(res.err, errCallerGone):
		return endCallerGone
	case errors.Is(res.err, os.ErrDeadlineExceeded):
		return endSilent
	case forward.IsConnectionLost(res.err):
		return endBroken
	default:
		return endMalformed
	}
}

// sendUnanswered handles the end of a send that gave no complete answer. If the upstream may have
// run the call, it logs how the send ended and whether that counts against the call's content.
func (g *Gateway) sendUnanswered(ctx context.Context, j *job, res *sendResult) {
	if res.notSent || res.notRun {
		return
	}
	end := endOf(ctx, res)
	counted := end == endBroken
	if counted {
		g.recordCrash(j, res)
	}
	ln := g.env.Requests.Warn
	if end == endCallerGone { // frequent and usually harmless, so subject to the rate limit
		ln = g.env.Requests.Info
	}
	ln("send_unanswered").Str("request", j.call.ID).Str("program", j.call.Program).Str("content", contentName(j.fingerprint)).
		Str("upstream", res.upstream).Str("end", end).Int("events", int64(j.events)).Ms("after_ms", time.Since(res.sentAt)).
		Str("counted", strconv.FormatBool(counted)).Int("crashes", int64(g.crashCount(j.fingerprint))).End()
}

// recordCrash records, here and at the other entries, that the call may have crashed the
// upstream.
func (g *Gateway) recordCrash(j *job, res *sendResult) {
	report := quarantine.CrashReport{Request: j.fingerprint, Upstream: res.incarnation}
	g.mu.Lock()
	g.crashes.Add(time.Now(), report)
	g.mu.Unlock()
	g.metrics.crashesCounted.Inc(1)
	g.mesh.queueCrashReport(report)
}

// receiveCrashReport counts a crash that another entry reports. g.mu must be held.
func (g *Gateway) receiveCrashReport(now time.Time, from string, report quarantine.CrashReport) {
	if !g.crashes.Add(now, report) {
		return
	}
	g.metrics.crashReportsReceived.Inc(1)
	g.env.Requests.Warn("crash_reported").Str("peer", from).Str("content", contentName(report.Request)).
		Int("crashes", int64(g.crashes.Count(now, report.Request))).End()
}

// crashCount returns the number of crashes that count against a content.
func (g *Gateway) crashCount(fingerprint uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Count(time.Now(), fingerprint)
}

// quarantined reports whether the call's content has crashed too many upstreams.
func (g *Gateway) quarantined(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.crashes.Refused(time.Now(), j.fingerprint) {
		return false
	}
	g.metrics.quarantined.Inc(1)
	return true
}
