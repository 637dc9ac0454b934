package hold

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// holdStep is the name of the step in denials.
const holdStep = "hold"

// deny denies a hold. The home may request it again after RetryAfter, unless another entry has taken
// the program over.
func (m *Machine) deny(h Hold, code structs.Code, format string, args ...any) {
	r := structs.Refusalf(code, structs.OutcomeNotRun, holdStep, format, args...)
	r.Peer = string(m.cfg.Upstream)
	if code != structs.CodeFenced {
		r.RetryAfter = m.cfg.ReconcileInterval
	}
	m.emit(Denied{Program: h.Program, HomeLog: h.HomeLog, Refusal: r})
}

// hold handles a request for a lease. If the engine's list shows a hold of the program without a
// lease, the lease is granted at once.
func (m *Machine) hold(h Hold) {
	if l := m.leases[h.Program]; l != nil {
		m.renewHold(l, h)
		return
	}
	if !m.listRead {
		m.deny(h, structs.CodeNotReady, "the list of holds of upstream %q has not been read yet", m.cfg.Upstream)
		return
	}
	if _, releasing := m.releases[h.Program]; releasing {
		m.deny(h, structs.CodeConflict, "the former hold of program %q is being released", h.Program)
		return
	}
	if _, found := m.orphans[h.Program]; found {
		m.leaseOrphan(h.HomeLog, Renewal{Program: h.Program, Fence: h.Fence, Tokens: h.Tokens})
		m.emit(Granted{Program: h.Program, HomeLog: h.HomeLog, For: m.cfg.LeaseTime})
		return
	}
	if !m.checkLimits(h) {
		return
	}
	l := &lease{homeLog: h.HomeLog, fence: h.Fence, tokens: h.Tokens, expiresAt: m.now.Add(m.cfg.LeaseTime), holdRequest: m.nextRequestID()}
	m.leases[h.Program] = l
	m.emit(AcquireAtEngine{RequestID: l.holdRequest, Program: h.Program, Fence: h.Fence})
}

// renewHold handles a Hold of a program that has a lease already: it renews the lease.
func (m *Machine) renewHold(l *lease, h Hold) {
	if h.Fence < l.fence {
		m.deny(h, structs.CodeFenced, "fencing number %d of program %q is older than %d", h.Fence, h.Program, l.fence)
		return
	}
	m.extend(l, h.HomeLog, h.Fence)
	if l.holdRequest == 0 {
		m.emit(Granted{Program: h.Program, HomeLog: h.HomeLog, For: m.cfg.LeaseTime})
	}
}

// checkLimits reports whether a new hold is within the limits, and denies it if not.
func (m *Machine) checkLimits(h Hold) bool {
	if len(m.leases) >= m.cfg.MaxLeases {
		m.deny(h, structs.CodeOverloaded, "%d leases are the limit", m.cfg.MaxLeases)
		return false
	}
	if held := m.HeldTokens(); held+h.Tokens > m.cfg.MaxTokens {
		m.deny(h, structs.CodeOverloaded, "%d tokens beside %d held exceed %d", h.Tokens, held, m.cfg.MaxTokens)
		return false
	}
	return true
}

// extend renews a lease. A lease that the engine has not confirmed keeps its first expiry
// time, so that it expires if the engine never answers.
func (m *Machine) extend(l *lease, homeLog structs.LogID, fence uint64) {
	l.homeLog = homeLog
	l.fence = fence
	if l.holdRequest == 0 {
		l.expiresAt = m.now.Add(m.cfg.LeaseTime)
	}
}

// leaseOrphan creates a lease for a hold in the engine's list. It needs no answer of the
// engine, because the list confirms it.
func (m *Machine) leaseOrphan(homeLog structs.LogID, r Renewal) {
	o := m.orphans[r.Program]
	delete(m.orphans, r.Program)
	m.leases[r.Program] = &lease{
		homeLog:     homeLog,
		fence:       r.Fence,
		tokens:      max(r.Tokens, o.tokens),
		expiresAt:   m.now.Add(m.cfg.LeaseTime),
		confirmedAt: m.now,
	}
}

// renew renews the leases of a home. A program without a lease gets one if the engine's list
// shows its hold, as after a restart of the side.
func (m *Machine) renew(r Renew) {
	out := Renewed{HomeLog: r.HomeLog}
	for _, p := range r.Programs {
		l := m.leases[p.Program]
		_, listed := m.orphans[p.Program]
		switch {
		case l != nil && p.Fence < l.fence:
			out.Fenced = append(out.Fenced, p.Program)
		case l != nil:
			m.extend(l, r.HomeLog, p.Fence)
			out.Held = append(out.Held, p.Program)
		case listed:
			m.leaseOrphan(r.HomeLog, p)
			out.Held = append(out.Held, p.Program)
		default:
			out.NotHeld = append(out.NotHeld, p.Program)
		}
	}
	m.emit(out)
}

// release ends a lease at the request of its home. A request with an older fencing number,
// from an earlier home, is ignored.
func (m *Machine) release(r Release) {
	if l := m.leases[r.Program]; l != nil {
		if r.Fence >= l.fence {
			m.endLease(r.Program)
		}
		return
	}
	if o, found := m.orphans[r.Program]; found {
		delete(m.orphans, r.Program)
		m.releaseAtEngine(r.Program, o.tokens)
	}
}

// engineAnswered passes the answer to the lease or the release with its request id. A failed
// release is repeated later by tick.
func (m *Machine) engineAnswered(a EngineAnswered) {
	for _, p := range sortedPrograms(m.leases) {
		if l := m.leases[p]; l.holdRequest == a.RequestID {
			m.holdAnswered(p, l, a.Failed)
			return
		}
	}
	for _, p := range sortedPrograms(m.releases) {
		if m.releases[p].requestID == a.RequestID && !a.Failed {
			delete(m.releases, p)
			return
		}
	}
}

// holdAnswered handles the engine's answer to an AcquireAtEngine. A failed request may have taken
// effect, so the hold is released at the engine.
func (m *Machine) holdAnswered(p structs.ProgramID, l *lease, failed bool) {
	l.holdRequest = 0
	l.confirmedAt = m.now
	if !failed {
		m.emit(Granted{Program: p, HomeLog: l.homeLog, For: l.expiresAt.Sub(m.now)})
		return
	}
	m.endLease(p)
	m.deny(Hold{Program: p, HomeLog: l.homeLog}, structs.CodeUpstreamFailed, "upstream %q did not hold program %q", m.cfg.Upstream, p)
}

// tickList requests the engine's list when it is due, unless an earlier request is
// unanswered and has not timed out.
func (m *Machine) tickList() {
	if m.now.Before(m.listDue) {
		return
	}
	if m.listRequest.requestID != 0 && m.now.Sub(m.listRequest.sentAt) < m.cfg.EngineTimeout {
		return
	}
	m.listDue = m.now.Add(m.cfg.ReconcileInterval)
	m.listRequest.requestID = m.nextRequestID()
	m.listRequest.sentAt = m.now
	m.emit(ListHolds{RequestID: m.listRequest.requestID})
}

// engineList reconciles the leases with the engine's list.
func (m *Machine) engineList(e EngineList) {
	if e.RequestID != m.listRequest.requestID {
		return
	}
	m.listRequest.requestID = 0
	if e.Failed {
		return
	}
	m.listRead = true
	inEngine := make(map[structs.ProgramID]int64, len(e.Holds))
	for _, h := range e.Holds {
		inEngine[h.Program] = h.Tokens
	}
	m.endLostLeases(inEngine)
	m.endReleases(inEngine)
	m.reclaimOrphans(inEngine)
}

// endLostLeases ends the leases that are missing from the list although they were confirmed
// before the list was requested.
func (m *Machine) endLostLeases(inEngine map[structs.ProgramID]int64) {
	for _, p := range sortedPrograms(m.leases) {
		l := m.leases[p]
		_, found := inEngine[p]
		if found || l.holdRequest != 0 || !l.confirmedAt.Before(m.listRequest.sentAt) {
			continue
		}
		delete(m.leases, p)
		m.emit(Lost{Program: p, HomeLog: l.homeLog})
	}
}

// endReleases ends the releases of holds that are no longer in the list.
func (m *Machine) endReleases(inEngine map[structs.ProgramID]int64) {
	for _, p := range sortedPrograms(m.releases) {
		if _, found := inEngine[p]; !found {
			delete(m.releases, p)
		}
	}
}

// reclaimOrphans releases the holds that have been in the list without a lease for the lease
// time.
func (m *Machine) reclaimOrphans(inEngine map[structs.ProgramID]int64) {
	previous := m.orphans
	m.orphans = make(map[structs.ProgramID]orphan)
	for _, p := range sortedPrograms(inEngine) {
		if m.leases[p] != nil || m.releases[p] != nil {
			continue
		}
		o, found := previous[p]
		if !found {
			o.since = m.now
		}
		o.tokens = inEngine[p]
		if m.now.Sub(o.since) < m.cfg.LeaseTime {
			m.orphans[p] = o
			continue
		}
		m.emit(Reclaimed{Program: p})
		m.releaseAtEngine(p, o.tokens)
	}
}

// engineRestarted ends all leases: the engine's cache is empty, or unknown until the next
// read of its list.
func (m *Machine) engineRestarted() {
	for _, p := range sortedPrograms(m.leases) {
		l := m.leases[p]
		delete(m.leases, p)
		m.emit(Lost{Program: p, HomeLog: l.homeLog})
	}
	clear(m.orphans)
	m.listRead = false
	m.listRequest.requestID = 0
	m.listDue = time.Time{}
}
