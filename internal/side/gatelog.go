package side

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/structs"
)

// loggedGate is the state of the gate in the last event logged.
type loggedGate struct {
	// known is false until the first event has been logged.
	known   bool
	closed  bool
	drained bool
}

// logGate logs the first state of the gate and each change. After the gate has closed,
// it also logs once when no call is running or waiting any more.
func (s *Server) logGate(l structs.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.gate.ClosedReason(time.Now())
	closed := reason != ""
	fields := eventlog.Fields{Step: "gate", Peer: string(s.cfg.Upstream), Detail: reason}
	if !s.logged.known || closed != s.logged.closed {
		event := eventlog.SideGateOpened
		if closed {
			event = eventlog.SideGateClosed
		}
		s.cfg.Log.Emit(event, fields)
		s.logged = loggedGate{known: true, closed: closed}
	}
	if closed && !s.logged.drained && l.Running+l.Queued == 0 {
		s.cfg.Log.Emit(eventlog.SideDrained, fields)
		s.logged.drained = true
	}
}
