package relay

import "time"

// RouteKind says what may be repeated on a route.
type RouteKind uint8

// Kinds of routes.
const (
	// Repeatable calls may run more than once.
	Repeatable RouteKind = iota
	// AtMostOnce calls may run once for each attempt of the caller.
	AtMostOnce
	// Stream calls are answered by events; they run at most once unless Resumable.
	Stream
)

// String returns the kind as logs show it.
func (k RouteKind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case AtMostOnce:
		return "at_most_once"
	default:
		return "stream"
	}
}

// WeightedService is one service that a route may go to, with its share of the calls.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is one route of the document in force.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a call may be kept waiting; zero sets no bound.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event, within which the call
	// earns its full worth; zero says none.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events of an answer that is still on time.
	GapTarget time.Duration
	// MaxSends is the greatest number of upstreams to which one call may be sent.
	MaxSends int
	// Priority is the rank of the route's calls; 0 is the most urgent.
	Priority int
	// Affinity says that upstreams work faster on an object or prompt they have seen.
	Affinity bool
	// Resumable streams may go on at another upstream after a break.
	Resumable bool
	// Retained routes keep each turn for Retention, so that a turn carries its new
	// input alone.
	Retained  bool
	Retention time.Duration
	// Services has one service at least.
	Services []WeightedService
}

// MayRepeat reports whether a call of the route may run more than once from its start.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// How long callers wait for the next event of a stream, or the first: the longest of these.
const (
	leastSilence   = 2 * time.Second
	silenceTargets = 4
	silenceGaps    = 8
)

// SilenceTimeout returns how long a caller waits for the next event before it leaves, as the
// callers' side of the interface says.
func (r *Route) SilenceTimeout() time.Duration {
	return max(leastSilence, silenceTargets*r.LatencyTarget, silenceGaps*r.GapTarget)
}

// Allows reports whether the route may send calls to the service.
func (r *Route) Allows(service string) bool {
	for _, b := range r.Services {
		if b.Service == service && b.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is one service of the document in force.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one upstream takes from all entries.
	MaxConns int
	// Model is set for services of model engines.
	Model *ModelService
}

// ModelService is what the document says of a service's model engines.
type ModelService struct {
	// Slots is the number of calls that an engine decodes at once.
	Slots int
	// KVCacheTokens is the engine's memory for prompts and generated tokens.
	KVCacheTokens int64
	// TokensPerEvent is the number of generated tokens in one event of an answer.
	TokensPerEvent int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is what the operator has put in force: routes, services and limits.
// Exactly one version is in force at an entry, and it never goes back.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}
