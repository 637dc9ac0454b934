package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the counters and histograms of a gateway.
type metrics struct {
	requests, answered, refused, failed, callerGone                                         tally.Counter
	resent, connections, commits, digestErrors                                              tally.Counter
	notFound, budgetSpent, turnsStored, turnsNotStored, chainQueriesFailed                  tally.Counter
	settlementsLost, blocksLost, provisionalGrantsUnrecorded, rowsNotExpired, grantsLearned tally.Counter
	latency, firstEvent, commitLatency                                                      tally.Histogram
}

// latencyBuckets are 14 buckets from 1 ms to about 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("gateway")
	return &metrics{
		requests: s.Counter("requests"), answered: s.Counter("answered"), refused: s.Counter("refused"),
		failed: s.Counter("failed"), callerGone: s.Counter("caller_gone"), resent: s.Counter("resent"),
		connections: s.Counter("upstream_connections"), commits: s.Counter("table_commits"),
		digestErrors: s.Counter("digest_errors"), notFound: s.Counter("not_found"),
		budgetSpent: s.Counter("budget_spent"), turnsStored: s.Counter("turns_kept"), turnsNotStored: s.Counter("turns_not_kept"),
		chainQueriesFailed: s.Counter("chains_not_asked"),
		settlementsLost:    s.Counter("settles_lost"), blocksLost: s.Counter("budget_lumps_lost"), provisionalGrantsUnrecorded: s.Counter("budget_advances_unrecorded"),
		rowsNotExpired: s.Counter("rows_not_expired"), grantsLearned: s.Counter("budget_grants_witnessed"),
		latency: s.Histogram("latency", latencyBuckets), firstEvent: s.Histogram("first_event", latencyBuckets),
		commitLatency: s.Histogram("commit", latencyBuckets),
	}
}
