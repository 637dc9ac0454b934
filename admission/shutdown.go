package admission

import "time"

const (
	// shutdownFactor times the predicted time of a call, plus shutdownFloor, is the time that a call which
	// may outlast a shutdown must have. Few calls take longer unless their upstream is in trouble.
	shutdownFactor = 2
	shutdownFloor  = 300 * time.Millisecond
)

// Shutdown decides which calls an entry that shuts down gracefully still sends. It answers a load of callers that
// keep their connections, or send the head of a request early and its body late, until the process is gone: a call
// that is sent and then cut off is lost, and its caller may not repeat it.
type Shutdown struct {
	// DrainedAt is when load balancers have stopped sending new connections. Before it most callers have no
	// sign of the shutdown, so a call is sent if it will probably end in time.
	DrainedAt time.Time
	// End is when the calls in progress are cut off.
	End time.Time
}

// ShutdownCall is a call that has arrived during a shutdown, or is to be sent again.
type ShutdownCall struct {
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Predicted is the predicted time to the end of the answer.
	Predicted time.Duration
}

// Admits reports whether the call may be sent: it will end before the shutdown does. After DrainedAt a call is
// sent only if that is certain, since a prediction may be wrong and other entries take new connections.
func (s *Shutdown) Admits(now time.Time, c ShutdownCall) bool {
	if !c.Deadline.After(s.End) {
		return true
	}
	return now.Before(s.DrainedAt) && !now.Add(shutdownFactor*c.Predicted+shutdownFloor).After(s.End)
}
