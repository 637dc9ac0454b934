package relay

import (
	"time"

	"github.com/buckthornroute/buckthornroute/organisation"
)

// RouteKind classifies a route's calls by how they are answered and whether they may be
// repeated.
type RouteKind uint8

// Kinds of routes, by what holds for their calls.
const (
	// Repeatable calls may run more than once.
	Repeatable RouteKind = iota
	// AtMostOnce calls may run at most once per request of the caller.
	AtMostOnce
	// Stream calls are answered with a stream of events. They run at most once unless the route
	// is Resumable.
	Stream
)

// String returns the kind's name as it appears in logs.
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

// WeightedService is a service that a route sends calls to. Its share of the calls is
// proportional to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is a route of the document in force.
type Route struct {
	Name string
	Host string
	// Prefix must begin and end with a slash; otherwise the route matches no call.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a call may take; zero sets no bound.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream, that the
	// operator wants to meet; a later answer has less value to the caller. Zero when there is
	// none.
	LatencyTarget time.Duration
	// GapTarget is the longest time between two events of a stream that the operator wants to
	// allow; zero when there is none.
	GapTarget time.Duration
	// MaxSends is the largest number of upstreams that one call may be sent to; zero when the
	// operator sets none.
	MaxSends int
	// Priority is the priority of the route's calls; 0 is the most urgent.
	Priority int
	// Affinity reports whether the operator wants calls with the same affinity key or prompt to
	// be sent preferably to the same upstream, which works faster on what it has worked on
	// before. The package internal/gateway does not read it.
	Affinity bool
	// Resumable reports whether a stream may be resumed, or started again, at another upstream.
	Resumable bool
	// Retained reports whether turns are stored, so that a caller sends only the new input of the
	// next turn.
	Retained bool
	// Retention is how long a turn is stored.
	Retention time.Duration
	// Services has at least one service.
	Services []WeightedService
	// Public reports whether the route is open to callers without a key, in a document that has
	// organisations.
	Public bool
}

// MayRepeat reports whether a call of the route may run from its start more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Terms of Route.CallerSilenceTimeout.
const (
	minSilence           = 2 * time.Second
	silenceLatencyFactor = 4
	silenceGapFactor     = 8
)

// CallerSilenceTimeout returns how long a caller waits for the first or next event of a
// stream before it disconnects: the longest of minSilence, silenceLatencyFactor times the latency
// target and silenceGapFactor times the gap target. The rule is part of the protocol with callers.
func (r *Route) CallerSilenceTimeout() time.Duration {
	return max(minSilence, silenceLatencyFactor*r.LatencyTarget, silenceGapFactor*r.GapTarget)
}

// Allows reports whether the route sends calls to the service.
func (r *Route) Allows(service string) bool {
	for _, b := range r.Services {
		if b.Service == service && b.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is a service of the document in force.
type Service struct {
	Name string
	// HealthPath is not read by the package internal/gateway.
	HealthPath string
	// MaxConns is the largest number of connections that one upstream accepts from all entries
	// together.
	MaxConns int
	// Model describes the service's model engines; nil for other services.
	Model *ModelService
}

// ModelService describes the model engines of a service.
type ModelService struct {
	// Slots is the number of calls that an engine decodes concurrently. The package
	// internal/gateway does not read it.
	Slots int
	// KVCacheTokens is the number of prompt and generated tokens that fit in an engine's KV
	// cache.
	KVCacheTokens int64
	// TokensPerEvent is the number of generated tokens in one event of a stream.
	TokensPerEvent int
}

// Limits are the document's bounds on a caller's request and connection; zero sets none.
// The package internal/gateway applies only BodyBytes and IdleTimeout.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is the operator's configuration: routes, services, limits and organisations. At most one version is
// in force at an entry, and the version never decreases.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations are in the document's order. If there are any, callers identify one by a key.
	Organisations []organisation.Organisation
}
