package side

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/structs"
)

// gateLog is what was logged of the gate last.
type gateLog struct {
	// known is false before the first look.
	known   bool
	closed  bool
	drained bool
}

// noteGate logs when the gate closes or opens, and when the last call has ended
// after it closed.
func (s *Server) noteGate(l structs.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.gate.Closed(time.Now())
	closed := reason != ""
	fields := eventlog.Fields{Step: "gate", Peer: string(s.cfg.Upstream), Detail: reason}
	if !s.logged.known || closed != s.logged.closed {
		event := eventlog.SideGateOpened
		if closed {
			event = eventlog.SideGateClosed
		}
		s.cfg.Log.Emit(event, fields)
		s.logged = gateLog{known: true, closed: closed}
	}
	if closed && !s.logged.drained && l.Running+l.Queued == 0 {
		s.cfg.Log.Emit(eventlog.SideDrained, fields)
		s.logged.drained = true
	}
}
