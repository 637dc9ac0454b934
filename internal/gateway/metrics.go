package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the counters and histograms of a gateway. newMetrics maps each to its outer name.
type metrics struct {
	// Requests of callers: received, answered by an upstream, refused before they ran, failed
	// with an unknown outcome, and abandoned by their caller.
	requests, answered, refused, failed, callerGone tally.Counter
	// refusedByShutdown counts calls that could not have ended before the process does.
	refusedByShutdown tally.Counter
	// headsBrokenOff, headsTimedOut and headsMalformed count connections that ended before the head of a request on
	// them was whole: closed by their caller, by the timeout, and as malformed. requestsCut counts those that a shutdown
	// has closed, with a request that was arriving or had arrived.
	headsBrokenOff, headsTimedOut, headsMalformed, requestsCut tally.Counter
	// handlerPanics counts requests whose handler panicked.
	handlerPanics tally.Counter
	// resent counts further sends of a call, connections new connections to upstreams, commits
	// transactions of the table, digestErrors datagrams between entries that were not sent or
	// were malformed.
	resent, connections, commits, digestErrors tally.Counter
	// tooLong counts answers that were cut off since they, or a part of them, were too long, noMemory since the memory
	// for them was not free, and silent since they did not end in time.
	tooLong, noMemory, silent tally.Counter
	// invalidStatus counts answers with a status that HTTP/1.1 does not have or that ends HTTP on the connection.
	invalidStatus tally.Counter
	// bodiesRefused counts requests refused since the memory for their body was not free.
	bodiesRefused tally.Counter
	// notFound counts calls that match no route, budgetSpent calls refused since their program's
	// budget is used up, turnsStored and turnsNotStored the turns of retained routes, and
	// chainQueriesFailed failed queries to another entry for stored turns.
	notFound, budgetSpent, turnsStored, turnsNotStored, chainQueriesFailed tally.Counter
	// settlementsLost counts calls whose used tokens could not be reported to the budget's
	// owner, blocksLost programs whose unused tokens could not be returned at shutdown,
	// provisionalGrantsUnrecorded failed attempts to record provisional grants in their row,
	// rowsNotExpired rows that were not deleted after their retention, and orphansRecorded rows
	// in which this entry recorded the grants of another one that had not done so itself.
	// noticesLost counts notices of claims that a witness did not acknowledge, claimsAsked requests for all claims
	// of another entry.
	// reservationsDropped counts reservations of ended processes whose turns had not begun, turnsNotBegun turns that were
	// broken off before their first event since the row did not show in time that they begin.
	reservationsDropped, turnsNotBegun                                                                                  tally.Counter
	settlementsLost, blocksLost, provisionalGrantsUnrecorded, rowsNotExpired, orphansRecorded, noticesLost, claimsAsked tally.Counter
	// crashesCounted counts ends of upstreams that this entry counted against the content of a call,
	// crashReportsReceived those that other entries reported, crashReportsDropped reports that were
	// not sent for lack of room, and quarantined calls that were not sent because of their content.
	crashesCounted, crashReportsReceived, crashReportsDropped, quarantined tally.Counter
	// unauthenticated counts requests rejected since their key is missing or unknown, keysUnconfirmed
	// those refused since a newer document may have their key.
	unauthenticated, keysUnconfirmed tally.Counter
	// overQuota counts requests beyond the quota of their organisation, quotaUnknown those refused since no
	// entry could tell in time.
	overQuota, quotaUnknown tally.Counter
	// documentFetches counts requests for a peer's document, or for the age of its confirmation,
	// documentFetchesFailed those without a usable answer.
	documentFetches, documentFetchesFailed tally.Counter
	// limitChanges counts beginnings, changes and ends of upstreams' limits, limitsMalformed answers
	// that name a limit which can't be read.
	limitChanges, limitsMalformed tally.Counter
	// permitsGranted and permitsDenied count the answers to this entry's questions for sends to limited
	// upstreams, permitsFailed those without an answer.
	permitsGranted, permitsDenied, permitsFailed tally.Counter
	// upstreamsLeaving counts upstreams that said in an answer that they leave.
	upstreamsLeaving tally.Counter
	// streamsTakenUp counts calls that resume a stream which another call began, streamsContinued streams
	// that went on at a further upstream within their answer, streamsUnknown those refused since nobody
	// knows at which version they began, and streamsStranded those refused or broken off since no upstream
	// of that version or service is left.
	streamsTakenUp, streamsContinued, streamsUnknown, streamsStranded tally.Counter
	// streamsExcluded counts streams refused since no stream may begin yet at the versions of the upstreams
	// that are left, streamsNotBegun those broken off before their first event for the same reason.
	streamsExcluded, streamsNotBegun tally.Counter
	// softwareRowsRead counts reads of services' rows, softwareRowsWritten rows that name or prepare a version,
	// softwareRowsWithdrawn withdrawals, softwareRowsNotWritten writes that failed or whose row had changed, and
	// softwareExcluded versions of upstreams that were excluded from streams.
	softwareRowsRead, softwareRowsWritten, softwareRowsWithdrawn, softwareRowsNotWritten, softwareExcluded tally.Counter
	// upstreamsSlow counts upstreams that turned slow. slowness returns the gauge of what calls take at
	// an upstream as a multiple of what they take at others, as of the last change; only upstreams that
	// were slow have one.
	upstreamsSlow tally.Counter
	slowness      func(upstream string) tally.Gauge
	// programsAdmitted and programsRefused count decisions about new programs. predictionError is the
	// time that programs took as a multiple of the predicted one.
	programsAdmitted, programsRefused tally.Counter
	predictionError                   tally.Histogram
	// latency is the time from the start of a request to its complete answer, for answered
	// requests only; firstEvent that to the first event of a stream; commitLatency the duration
	// of a transaction of the committer.
	latency, firstEvent, commitLatency tally.Histogram
}

// latencyBuckets are 14 buckets from 1 ms to about 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// predictionBuckets are 12 buckets from 0.4 to 2.6 of the predicted time.
var predictionBuckets = tally.MustMakeLinearValueBuckets(0.4, 0.2, 12)

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("gateway")
	cutOff := func(bound string) tally.Counter {
		return s.Tagged(map[string]string{"bound": bound}).Counter("answers_cut_off")
	}
	return &metrics{
		tooLong: cutOff("size"), noMemory: cutOff("memory"), silent: cutOff("time"), invalidStatus: s.Counter("answers_invalid_status"), bodiesRefused: s.Counter("bodies_refused"),
		requests: s.Counter("requests"), answered: s.Counter("answered"), refused: s.Counter("refused"),
		failed: s.Counter("failed"), callerGone: s.Counter("caller_gone"), refusedByShutdown: s.Counter("refused_by_shutdown"), resent: s.Counter("resent"),
		headsBrokenOff: s.Counter("heads_broken_off"), headsTimedOut: s.Counter("heads_timed_out"), headsMalformed: s.Counter("heads_malformed"), requestsCut: s.Counter("requests_cut"),
		handlerPanics: s.Counter("handler_panics"),
		connections:   s.Counter("upstream_connections"), commits: s.Counter("table_commits"),
		digestErrors: s.Counter("digest_errors"), notFound: s.Counter("not_found"),
		budgetSpent: s.Counter("budget_spent"), turnsStored: s.Counter("turns_kept"), turnsNotStored: s.Counter("turns_not_kept"),
		chainQueriesFailed:  s.Counter("chains_not_asked"),
		reservationsDropped: s.Counter("budget_reservations_dropped"), turnsNotBegun: s.Counter("turns_not_begun"),
		settlementsLost: s.Counter("settles_lost"), blocksLost: s.Counter("budget_lumps_lost"), provisionalGrantsUnrecorded: s.Counter("budget_advances_unrecorded"),
		rowsNotExpired: s.Counter("rows_not_expired"), orphansRecorded: s.Counter("budget_grants_witnessed"), noticesLost: s.Counter("budget_notices_lost"), claimsAsked: s.Counter("budget_claims_asked"),
		crashesCounted: s.Counter("crashes_counted"), crashReportsReceived: s.Counter("crash_reports_received"),
		crashReportsDropped: s.Counter("crash_reports_dropped"), quarantined: s.Counter("quarantined"),
		overQuota: s.Counter("over_quota"), quotaUnknown: s.Counter("quota_unknown"),
		unauthenticated: s.Counter("unauthenticated"), keysUnconfirmed: s.Counter("keys_unconfirmed"),
		documentFetches: s.Counter("document_fetches"), documentFetchesFailed: s.Counter("document_fetches_failed"),
		limitChanges: s.Counter("limit_changes"), limitsMalformed: s.Counter("limits_malformed"),
		streamsTakenUp: s.Counter("streams_taken_up"), streamsContinued: s.Counter("streams_continued"),
		streamsUnknown: s.Counter("streams_version_unknown"), streamsStranded: s.Counter("streams_stranded"),
		streamsExcluded: s.Counter("streams_excluded"), streamsNotBegun: s.Counter("streams_not_begun"),
		softwareRowsRead: s.Counter("software_rows_read"), softwareRowsWritten: s.Counter("software_rows_written"),
		softwareRowsWithdrawn: s.Counter("software_rows_withdrawn"), softwareRowsNotWritten: s.Counter("software_rows_not_written"),
		softwareExcluded: s.Counter("software_excluded"),
		upstreamsLeaving: s.Counter("upstreams_leaving"), upstreamsSlow: s.Counter("upstreams_slow"),
		slowness: func(id string) tally.Gauge {
			return s.Tagged(map[string]string{"upstream": id}).Gauge("upstream_slowness")
		},
		permitsGranted: s.Counter("permits_granted"), permitsDenied: s.Counter("permits_denied"), permitsFailed: s.Counter("permits_failed"),
		programsAdmitted: s.Counter("programs_admitted"), programsRefused: s.Counter("programs_refused"),
		predictionError: s.Histogram("program_prediction_ratio", predictionBuckets),
		latency:         s.Histogram("latency", latencyBuckets), firstEvent: s.Histogram("first_event", latencyBuckets),
		commitLatency: s.Histogram("commit", latencyBuckets),
	}
}
