package gateway

import (
	"context"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

// reasonQuarantined is the logged reason of calls that are not sent because of their content.
const reasonQuarantined = "quarantined"

// survivedHeartbeats is the number of heartbeats after which an upstream that has ended is no
// longer listed: it is removed after 3, and the list that an entry reads may be some seconds old.
const survivedHeartbeats = 8

// urgentCrashes is the number of crashes of a request from which on a report does not wait for the
// next digest: the caller may come again at once, through another entry.
const urgentCrashes = 2

// contentName returns the name of a call's content in log lines.
func contentName(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// How a send ended that an upstream may have run, in log lines.
const (
	endBroken     = "broken"
	endMalformed  = "malformed"
	endSilent     = "silent"
	endCallerGone = "caller_gone"
	endShutdown   = "shutdown"
)

// endOf returns how a send without a complete answer ended.
func endOf(ctx context.Context, res *sendResult) string {
	switch {
	case cutByShutdown(ctx):
		return endShutdown
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
	end, counted := endOf(ctx, res), false
	if end != endMalformed { // malformed bytes come from an upstream that still runs
		counted = g.recordEnd(j, res, end == endBroken)
	}
	switch {
	case errors.Is(res.err, forward.ErrTooLong):
		g.metrics.tooLong.Inc(1)
	case errors.Is(res.err, forward.ErrStatus):
		g.metrics.invalidStatus.Inc(1)
	case errors.Is(res.err, forward.ErrNoMemory):
		g.metrics.noMemory.Inc(1)
	case end == endSilent:
		g.metrics.silent.Inc(1)
	}
	ln := g.env.Requests.Warn
	if end == endCallerGone { // frequent and usually harmless, so subject to the rate limit
		ln = g.env.Requests.Info
	}
	ln("send_unanswered").Str("request", j.call.ID).Str("program", j.call.Program).Str("content", contentName(j.fingerprint)).
		Str("upstream", res.upstream).Str("end", end).Int("events", int64(j.events)).Ms("after_ms", time.Since(res.sentAt)).
		Str("counted", strconv.FormatBool(counted)).Int("crashes", int64(g.crashCount(j.fingerprint))).Err(res.err).End()
}

// recordEnd records a send that may have crashed its upstream, or may do so until the call's
// deadline. broken is set if the upstream's side of the connection ended. recordEnd reports whether
// the send counts against the call's content now.
func (g *Gateway) recordEnd(j *job, res *sendResult, broken bool) bool {
	now := time.Now()
	current := g.fleet.Load().registry.Get(res.upstream)
	ended := quarantine.EndedSend{
		Request: j.fingerprint, Upstream: res.incarnation, Broken: broken, RunsUntil: j.deadline.Add(answerGrace),
		UpstreamEnded: current == nil || incarnationHash(current) != res.incarnation,
	}
	if broken && current != nil && current.StartedAtMs == 0 {
		// The list does not show whether it starts again under its id.
		ended.UpstreamEnded = true
	}
	g.mu.Lock()
	report, counts := g.sends.Add(now, ended)
	g.mu.Unlock()
	if counts {
		g.publish(now, []quarantine.CrashReport{report})
	}
	return counts
}

// incarnationHash returns the hash by which crash reports name an incarnation of an upstream.
func incarnationHash(u *relay.Upstream) uint64 { return routing.HashID(u.Incarnation()) }

// publish applies reports of this entry and queues them for the other entries. g.mu must not be
// held.
func (g *Gateway) publish(now time.Time, reports []quarantine.CrashReport) {
	for _, report := range reports {
		if !g.applyReport(now, report, true) {
			continue
		}
		g.reports.queue(report)
		if report.Kind == quarantine.Crash {
			g.metrics.crashesCounted.Inc(1)
			if g.crashCount(report.Request) >= urgentCrashes {
				g.mesh.SendDigestNow()
			}
		}
		g.logReport(now, "crash_report", string(g.cfg.Node), report)
	}
}

// receiveCrashReport applies a report of another entry.
func (g *Gateway) receiveCrashReport(now time.Time, from string, report quarantine.CrashReport) {
	if g.applyReport(now, report, false) {
		g.metrics.crashReportsReceived.Inc(1)
		g.logReport(now, "crash_report_received", from, report)
	}
}

// applyReport applies a report and has the request's row updated if it is or was refused, or has a
// row already. Only entries that have observed a crash of the request do that. While a peer is
// silent, they store requests with fewer crashes too, since that peer can't be told. own is set for
// reports of this entry. applyReport returns false if the report changes nothing.
func (g *Gateway) applyReport(now time.Time, report quarantine.CrashReport, own bool) bool {
	stored := g.quarantine.hasRow(report.Request) || own && g.mesh.AnySilent(now)
	g.mu.Lock()
	before := g.crashes.Counted(now, report.Request)
	add := g.crashes.Add
	if own {
		add = g.crashes.AddOwn
	}
	changed := add(now, report)
	store := g.crashes.Own(report.Request) && (stored || before || g.crashes.Counted(now, report.Request))
	g.mu.Unlock()
	if !changed {
		return false
	}
	g.updateQuarantineDigest()
	if store {
		g.quarantine.update(report.Request)
	}
	return true
}

// logReport logs a report that has changed what this entry knows of a content.
func (g *Gateway) logReport(now time.Time, event, from string, report quarantine.CrashReport) {
	g.mu.Lock()
	crashes, refused := g.crashes.Count(now, report.Request), g.crashes.Counted(now, report.Request)
	g.mu.Unlock()
	ln := g.env.Requests.Info
	if refused {
		ln = g.env.Requests.Warn
	}
	ln(event).Str("from", from).Str("kind", report.Kind.String()).Str("content", contentName(report.Request)).
		Str("incarnation", contentName(report.Upstream)).Int("crashes", int64(crashes)).End()
}

// completed clears the content of a call that an upstream has run to its end.
func (g *Gateway) completed(j *job) {
	now := time.Now()
	g.mu.Lock()
	refused := g.crashes.Counted(now, j.fingerprint)
	reports := g.crashes.Completed(now, j.fingerprint)
	g.mu.Unlock()
	if refused {
		g.quarantine.update(j.fingerprint)
	}
	for _, report := range reports {
		g.reports.queue(report)
	}
	if len(reports) > 0 {
		g.updateQuarantineDigest()
		g.env.Requests.Warn("content_cleared").Str("request", j.call.ID).Str("content", contentName(j.fingerprint)).Int("crashes", int64(len(reports))).End()
	}
}

// checkEndedSends withdraws the crashes of upstreams that are still listed. It is called after each
// read of the list of upstreams, with the time at which the read began: after a pause of this
// process its answer may be old.
func (g *Gateway) checkEndedSends(begun time.Time) {
	listedSince := g.removalsDeferredUntil()
	g.mu.Lock()
	reports := g.sends.Check(begun, listedSince)
	g.mu.Unlock()
	g.publish(time.Now(), reports)
}

// crashCount returns the number of crashes that count against a content.
func (g *Gateway) crashCount(fingerprint uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Count(time.Now(), fingerprint)
}

// admitContent reports whether the call may be sent: its content has not crashed too many
// upstreams, or this call is its trial. The trial lasts until the call may have run.
func (g *Gateway) admitContent(ctx context.Context, j *job) bool {
	if j.trial && !j.mayHaveRun {
		return true
	}
	g.mu.Lock()
	decision := g.crashes.Admit(time.Now(), j.fingerprint)
	g.mu.Unlock()
	if decision == quarantine.Allowed {
		return true
	}
	j.trial = decision == quarantine.TrialDue && g.quarantine.claimTrial(ctx, j)
	if !j.trial {
		g.metrics.quarantined.Inc(1)
	}
	return j.trial
}

// logTrialState adds to a line what the decision on a refused content rests on.
func (g *Gateway) logTrialState(ln *reqlog.Line, fingerprint uint64) *reqlog.Line {
	g.mu.Lock()
	s := g.crashes.TrialState(time.Now(), fingerprint)
	g.mu.Unlock()
	return ln.Str("content", contentName(fingerprint)).Int("crashes", int64(s.Crashes)).Int("trials", int64(s.Trials)).
		Ms("crash_age_ms", s.SinceCrash).Ms("trial_age_ms", s.SinceTrial)
}
