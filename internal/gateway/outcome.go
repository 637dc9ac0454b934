package gateway

import "time"

// logOutcome logs the outcome of a request and the state of the call.
func (g *Gateway) logOutcome(j *job, outcome string, status int, reason string, cause error, after time.Duration) {
	took := time.Since(j.start)
	ln := g.env.Requests.Info("request")
	if cause != nil || status >= 500 {
		ln = g.env.Requests.Warn("request")
	}
	ln.Str("request", requestID(j)).Str("outcome", outcome).Int("status", int64(status)).Str("reason", reason).Ms("took_ms", took)
	if j.call != nil {
		ln.Str("program", j.call.Program).Str("continues", j.call.Previous).Str("resumes", j.call.Resumes)
		if j.call.LastEvent != nil {
			ln.Int("after_event", *j.call.LastEvent)
		}
	}
	ln.Str("organisation", j.organisationName())
	if j.route != nil {
		ln.Str("route", j.route.Name).Int("document", int64(j.version)).Str("service", j.service).Ms("left_ms", j.left())
	}
	if j.pick.ID != "" {
		ln.Str("upstream", j.pick.ID).Str("software", j.software).Int("sends", int64(j.sends)).Int("in_flight", int64(j.pick.InFlight)).
			Int("own", int64(j.pick.Own)).Ms("peers_age_ms", j.pick.OldestDigestAge).Int("cached", int64(j.pick.Cached)).
			Int("prompt", int64(j.info.Tokens)).Ms("predicted_ms", j.pick.Finish).Ms("predicted_first_ms", j.pick.FirstEvent)
	}
	if j.originSource != "" {
		ln.Str("began_at", j.origin.Version).Str("version_from", j.originSource).Ms("version_age_ms", j.originAge)
	}
	if j.withdrawalWait > 0 {
		ln.Ms("version_wait_ms", j.withdrawalWait)
	}
	if j.permitsDenied > 0 || j.permitFrom != "" {
		ln.Int("permits_denied", int64(j.permitsDenied)).Ms("permit_wait_ms", j.permitWait).Str("permit_from", j.permitFrom).Str("limit_per_second", formatRate(j.limit))
	}
	if j.pick.FailureRate > 0.01 { // a lower rate would be logged as 0
		ln.Int("failing_percent", int64(100*j.pick.FailureRate))
	}
	if j.pick.Slowness > 1.2 {
		ln.Int("slowness_percent", int64(100*j.pick.Slowness))
	}
	if j.load > 0 {
		ln.Int("load_percent", int64(100*j.load))
	}
	if reason == reasonQuarantined {
		g.logTrialState(ln, j.fingerprint)
	}
	if j.notSent > 0 {
		ln.Int("not_sent", int64(j.notSent))
	}
	if j.events > 0 {
		ln.Int("events", int64(j.events)).Ms("first_ms", j.firstEvent)
	}
	ln.Str("chain_kept_by", j.previousStoredBy)
	if j.turnReads > 0 {
		ln.Int("turns_read", int64(j.turnReads))
	}
	if j.beginTime >= time.Millisecond {
		ln.Ms("begun_in_ms", j.beginTime)
	}
	if j.storeTime > 0 {
		ln.Ms("kept_in_ms", j.storeTime)
	}
	if after > 0 {
		ln.Ms("retry_after_ms", after)
	}
	ln.Err(cause).End()
}
