package hold

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const holdStep = "hold"

func (m *Machine) deny(h Hold, code structs.Code, format string, args ...any) {
	r := structs.Refusalf(code, structs.OutcomeNotRun, holdStep, format, args...)
	r.Peer = string(m.cfg.Upstream)
	if code != structs.CodeFenced {
		r.RetryAfter = m.cfg.ReconcileInterval
	}
	m.emit(Denied{Program: h.Program, Home: h.Home, Refusal: r})
}

func (m *Machine) hold(h Hold) {
	if l := m.leases[h.Program]; l != nil {
		m.holdAgain(l, h)
		return
	}
	if !m.listed {
		m.deny(h, structs.CodeNotReady, "the list of holds of upstream %q has not been read yet", m.cfg.Upstream)
		return
	}
	if _, releasing := m.releases[h.Program]; releasing {
		m.deny(h, structs.CodeConflict, "the former hold of program %q is being released", h.Program)
		return
	}
	if _, found := m.orphans[h.Program]; found {
		m.adopt(h.Home, Renewal{Program: h.Program, Fence: h.Fence, Tokens: h.Tokens})
		m.emit(Granted{Program: h.Program, Home: h.Home, For: m.cfg.LeaseTime})
		return
	}
	if !m.fits(h) {
		return
	}
	l := &lease{home: h.Home, fence: h.Fence, tokens: h.Tokens, until: m.now.Add(m.cfg.LeaseTime), number: m.nextNumber()}
	m.leases[h.Program] = l
	m.emit(PinAtEngine{RequestID: l.number, Program: h.Program, Fence: h.Fence})
}

// holdAgain renews a lease that is asked for a second time.
func (m *Machine) holdAgain(l *lease, h Hold) {
	if h.Fence < l.fence {
		m.deny(h, structs.CodeFenced, "fencing number %d of program %q is older than %d", h.Fence, h.Program, l.fence)
		return
	}
	m.extend(l, h.Home, h.Fence)
	if l.number == 0 {
		m.emit(Granted{Program: h.Program, Home: h.Home, For: m.cfg.LeaseTime})
	}
}

// fits checks the limits and denies the hold that exceeds one.
func (m *Machine) fits(h Hold) bool {
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

// extend renews a lease. One that the engine has not confirmed keeps its first end,
// so that it lapses when the engine never answers.
func (m *Machine) extend(l *lease, home structs.LogID, fence uint64) {
	l.home = home
	l.fence = fence
	if l.number == 0 {
		l.until = m.now.Add(m.cfg.LeaseTime)
	}
}

// adopt makes a lease of a hold that the engine's list showed. It is as good as
// confirmed: the list showed it.
func (m *Machine) adopt(home structs.LogID, r Renewal) {
	o := m.orphans[r.Program]
	delete(m.orphans, r.Program)
	m.leases[r.Program] = &lease{
		home:      home,
		fence:     r.Fence,
		tokens:    max(r.Tokens, o.tokens),
		until:     m.now.Add(m.cfg.LeaseTime),
		confirmed: m.now,
	}
}

func (m *Machine) renew(r Renew) {
	out := Renewed{Home: r.Home}
	for _, p := range r.Programs {
		l := m.leases[p.Program]
		_, listed := m.orphans[p.Program]
		switch {
		case l != nil && p.Fence < l.fence:
			out.Fenced = append(out.Fenced, p.Program)
		case l != nil:
			m.extend(l, r.Home, p.Fence)
			out.Held = append(out.Held, p.Program)
		case listed:
			m.adopt(r.Home, p)
			out.Held = append(out.Held, p.Program)
		default:
			out.NotHeld = append(out.NotHeld, p.Program)
		}
	}
	m.emit(out)
}

// release ends a lease at the home's word. An older home's word does not count.
func (m *Machine) release(r Release) {
	if l := m.leases[r.Program]; l != nil {
		if r.Fence >= l.fence {
			m.drop(r.Program)
		}
		return
	}
	if o, found := m.orphans[r.Program]; found {
		delete(m.orphans, r.Program)
		m.releaseAtEngine(r.Program, o.tokens)
	}
}

func (m *Machine) engineAnswered(a EngineAnswered) {
	for _, p := range sorted(m.leases) {
		if l := m.leases[p]; l.number == a.RequestID {
			m.held(p, l, a.Failed)
			return
		}
	}
	for _, p := range sorted(m.releases) {
		if m.releases[p].number == a.RequestID && !a.Failed {
			delete(m.releases, p)
			return
		}
	}
}

// held takes the engine's answer to a hold. A failed one may have taken effect, so it is released.
func (m *Machine) held(p structs.ProgramID, l *lease, failed bool) {
	l.number = 0
	l.confirmed = m.now
	if !failed {
		m.emit(Granted{Program: p, Home: l.home, For: l.until.Sub(m.now)})
		return
	}
	m.drop(p)
	m.deny(Hold{Program: p, Home: l.home}, structs.CodeUpstreamFailed, "upstream %q did not hold program %q", m.cfg.Upstream, p)
}

// tickList asks for the engine's list when it is due and the last answer has come or is overdue.
func (m *Machine) tickList() {
	if m.now.Before(m.listDue) {
		return
	}
	if m.list.number != 0 && m.now.Sub(m.list.sent) < m.cfg.EngineTimeout {
		return
	}
	m.listDue = m.now.Add(m.cfg.ReconcileInterval)
	m.list.number = m.nextNumber()
	m.list.sent = m.now
	m.emit(ListHolds{RequestID: m.list.number})
}

// engineList compares the leases with the engine's list.
func (m *Machine) engineList(e EngineList) {
	if e.RequestID != m.list.number {
		return
	}
	m.list.number = 0
	if e.Failed {
		return
	}
	m.listed = true
	inEngine := make(map[structs.ProgramID]int64, len(e.Holds))
	for _, h := range e.Holds {
		inEngine[h.Program] = h.Tokens
	}
	m.dropLost(inEngine)
	m.dropReleased(inEngine)
	m.reclaim(inEngine)
}

// dropLost ends the leases that were confirmed before the list was asked for and are not in it.
func (m *Machine) dropLost(inEngine map[structs.ProgramID]int64) {
	for _, p := range sorted(m.leases) {
		l := m.leases[p]
		_, found := inEngine[p]
		if found || l.number != 0 || !l.confirmed.Before(m.list.sent) {
			continue
		}
		delete(m.leases, p)
		m.emit(Lost{Program: p, Home: l.home})
	}
}

// dropReleased forgets the releases that are not in the list.
func (m *Machine) dropReleased(inEngine map[structs.ProgramID]int64) {
	for _, p := range sorted(m.releases) {
		if _, found := inEngine[p]; !found {
			delete(m.releases, p)
		}
	}
}

// reclaim releases what the list has shown without a lease for a lease's time.
func (m *Machine) reclaim(inEngine map[structs.ProgramID]int64) {
	before := m.orphans
	m.orphans = make(map[structs.ProgramID]orphan)
	for _, p := range sorted(inEngine) {
		if m.leases[p] != nil || m.releases[p] != nil {
			continue
		}
		o, found := before[p]
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

// engineRestarted ends all leases: the engine's cache is empty, or unknown until its list is read.
func (m *Machine) engineRestarted() {
	for _, p := range sorted(m.leases) {
		l := m.leases[p]
		delete(m.leases, p)
		m.emit(Lost{Program: p, Home: l.home})
	}
	clear(m.orphans)
	m.listed = false
	m.list.number = 0
	m.listDue = time.Time{}
}
