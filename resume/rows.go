package resume

import "time"

const (
	// MaxListAge is how recently the list of upstreams must have been confirmed for an entry to begin
	// streams: Retention less a margin.
	MaxListAge = 25 * time.Second
	// leaveGrace is how long streams may still begin at a version whose last upstream was removed: calls
	// that run there bring their first event, and rows that are missing after an outage of the table
	// come back.
	leaveGrace = 5 * time.Second
	// renameAfter is how long an entry must have seen only one version before it names that in a row. An
	// entry whose list is MaxListAge old may begin streams at a version that long after its last upstream
	// was removed, and after that for leaveGrace; callers resume these for Retention.
	renameAfter = Retention + MaxListAge + leaveGrace
	// minRetry and maxRetry bound the wait after a call to the table that failed. It doubles with each.
	minRetry = 200 * time.Millisecond
	maxRetry = time.Second
)

// Rows decides, for each service, at which versions streams may begin, when the service's row is read and
// written, and whether a stream of unknown origin may be resumed. It keeps the rule that no two versions
// are joined in one stream, whichever entries end, are frozen or can't reach the table:
//
//   - A version is cleared once an entry has read, after it saw the version registered, a row that does not
//     name or prepare another one. Streams begin at cleared versions only, and only while the list of
//     upstreams is fresh.
//   - A row is named in two steps. The row is written as prepared; then the list of upstreams is confirmed
//     once more; then the row is named on condition that it did not change. An entry that reads the row in
//     between and has another version withdraws it, and the naming fails. An entry that read the row
//     before the first step had a version that the confirmed list shows.
//   - A row is never deleted, so that each write can depend on the row's version, and a late one fails.
//
// It is not safe for concurrent use.
type Rows struct {
	firstStart bool
	// delay is how long this entry leaves a withdrawal to the row's owner.
	delay time.Duration
	// listedAt is when the upstreams were first listed; zero before that. confirmed is when the latest successful read of them
	// began. interrupted is when versions may have passed unseen: the table had dropped its history, or
	// an unknown upstream was removed.
	listedAt    time.Time
	confirmed   time.Time
	interrupted time.Time
	// absentAt is when all rows were read, so that a service of which nothing is known has no row; zero if
	// that can't be concluded.
	absentAt  time.Time
	documents int
	services  map[string]*serviceRow
}

// serviceRow is the state of one service.
type serviceRow struct {
	versions map[string]*presence
	// row is the row as of the read that began at readAt and was answered at knownAt. known is set if this
	// entry has written nothing since and has owned the row since, if it does.
	row     Row
	known   bool
	readAt  time.Time
	knownAt time.Time
	// seen holds the versions that were registered at any time since readAt. It is nil if some may have
	// passed unseen.
	seen map[string]bool
	// everRead is set after the first read of the row, absentAtFirst if there was none then and nobody
	// else has written one since. changedAt is when another entry's change of the row was seen.
	everRead, absentAtFirst bool
	changedAt               time.Time
	// wrote is the latest write if it was acknowledged.
	wrote *Row
	// routes stands for the routes that lead to the service; empty if no stream does.
	routes   string
	routesAt time.Time
	owner    bool
	retryAt  time.Time
	failures int
}

// presence is the state of one version of a service.
type presence struct {
	joinedAt time.Time
	// leftAt is when its last upstream was removed; zero while there is one.
	leftAt  time.Time
	cleared bool
}

// NewRows returns the Rows of an entry that starts. With firstStart no stream began before, unless a row
// exists.
func NewRows(firstStart bool, delay time.Duration) *Rows {
	return &Rows{firstStart: firstStart, delay: delay, services: map[string]*serviceRow{}}
}

func (r *Rows) service(name string) *serviceRow {
	s := r.services[name]
	if s == nil {
		s = &serviceRow{versions: map[string]*presence{}}
		if !r.absentAt.IsZero() {
			s.known, s.readAt, s.knownAt, s.seen = true, r.absentAt, r.absentAt, map[string]bool{}
			s.everRead, s.absentAtFirst = true, true
		}
		r.services[name] = s
	}
	return s
}

// Listing is a list of upstreams or a change of it: versions by service.
type Listing struct {
	// Registered holds the versions that have an upstream, Passed those that had one since the last
	// listing and may have lost it.
	Registered, Passed map[string]map[string]bool
	// Interrupted is set if versions may have had upstreams unseen since the last listing.
	Interrupted bool
}

// Update records the versions of the registered upstreams.
func (r *Rows) Update(now time.Time, l Listing) {
	if l.Interrupted && !r.listedAt.IsZero() {
		r.interrupted, r.absentAt = now, time.Time{}
		for _, s := range r.services {
			s.seen = nil
		}
	}
	// leaveGrace counts from when a removal is seen, so it must be seen soon.
	stale := !r.fresh(now)
	if r.listedAt.IsZero() {
		r.listedAt = now
	}
	for _, listed := range []map[string]map[string]bool{l.Passed, l.Registered} {
		for name, versions := range listed {
			s := r.service(name)
			for version := range versions {
				s.join(now, version)
			}
		}
	}
	for name, s := range r.services {
		s.clearReturned(now)
		for version, p := range s.versions {
			switch {
			case l.Registered[name][version]:
			case p.leftAt.IsZero():
				p.leftAt = now
			case now.Sub(p.leftAt) >= renameAfter:
				delete(s.versions, version)
			}
		}
		for version := range l.Registered[name] {
			s.versions[version].leftAt = time.Time{}
		}
		for _, p := range s.versions {
			p.cleared = p.cleared && (!stale || p.leftAt.IsZero())
		}
	}
}

// join records that a version has an upstream.
func (s *serviceRow) join(now time.Time, version string) {
	if s.seen != nil {
		s.seen[version] = true
	}
	p := s.versions[version]
	switch {
	case p == nil || !p.leftAt.IsZero() && now.Sub(p.leftAt) >= leaveGrace:
		s.versions[version] = &presence{joinedAt: now, leftAt: now}
	case !p.leftAt.IsZero():
		p.leftAt = now
	}
}

// clearReturned clears the version that has joined if no other one had an upstream since the row was read.
// Nobody can have named another version since, so the row need not be read again.
func (s *serviceRow) clearReturned(now time.Time) {
	if len(s.seen) != 1 {
		return
	}
	for version, p := range s.versions {
		if s.seen[version] && p.joinedAt.Equal(now) {
			p.cleared = p.cleared || s.row.clears(version, s.alone(now, version))
		}
	}
}

// alone reports whether no other version had an upstream within renameAfter.
func (s *serviceRow) alone(now time.Time, version string) bool {
	for other, p := range s.versions {
		if other != version && (p.leftAt.IsZero() || now.Sub(p.leftAt) < renameAfter) {
			return false
		}
	}
	return true
}

// Confirm records that the list of upstreams is complete as of the time at which its read began. After too
// long a gap, versions may have left and come back meanwhile, and rows may have been named: each version
// must be cleared again.
func (r *Rows) Confirm(begun time.Time) {
	if !r.confirmed.IsZero() && begun.Sub(r.confirmed) >= MaxListAge {
		r.absentAt = time.Time{}
		for _, s := range r.services {
			s.known, s.seen = false, nil
			for _, p := range s.versions {
				p.cleared = false
			}
		}
	}
	r.confirmed = begun
}

// fresh reports whether the list of upstreams may be acted on.
func (r *Rows) fresh(now time.Time) bool {
	return !r.listedAt.IsZero() && now.Sub(r.confirmed) < MaxListAge
}

// SetRoutes records which routes lead streams to each service. Services that none leads to need no row.
func (r *Rows) SetRoutes(now time.Time, routes map[string]string) {
	r.documents++
	for name, text := range routes {
		s := r.service(name)
		if s.routes != text && r.documents > 1 {
			s.routesAt = now
		}
		s.routes = text
	}
	for name, s := range r.services {
		if routes[name] == "" {
			s.routes = ""
		}
	}
}

// Read records that a read of a service's row, begun at a time, has shown the row. It returns the versions
// that it clears.
func (r *Rows) Read(begun, now time.Time, name string, row Row) []string {
	s := r.service(name)
	own := s.wrote != nil && s.wrote.states(row)
	switch {
	case !s.everRead:
		s.everRead, s.absentAtFirst = true, row.Version == 0
	case r.firstStart && s.absentAtFirst && s.row.Version == 0 && s.agrees(now, row):
		// At the first start several entries may take themselves for the owner.
	case row.Version != s.row.Version && !own:
		s.changedAt, s.absentAtFirst = now, false
	}
	s.row, s.known, s.readAt, s.knownAt, s.wrote = row, true, begun, now, nil
	s.failures, s.retryAt = 0, time.Time{}
	s.seen = map[string]bool{}
	var cleared []string
	for version, p := range s.versions {
		if !p.leftAt.IsZero() {
			if !p.leftAt.Before(begun) {
				s.seen[version] = true
			}
			continue
		}
		s.seen[version] = true
		if !p.cleared && !p.joinedAt.After(begun) && row.clears(version, s.alone(now, version)) {
			p.cleared = true
			cleared = append(cleared, version)
		}
	}
	return cleared
}

// agrees reports whether a row names or prepares the only version that this entry has seen.
func (s *serviceRow) agrees(now time.Time, row Row) bool {
	only := s.only(now)
	return only != "" && row.Named+row.Prepared == only
}

// ReadAll records that a read of all rows, begun at a time, has shown these, by service.
func (r *Rows) ReadAll(begun, now time.Time, rows map[string]Row) {
	for name := range rows {
		r.service(name)
	}
	for name := range r.services {
		r.Read(begun, now, name, rows[name])
	}
	r.absentAt = begun
}

// Written records that a write of a service's row ended. The row must be read again in any case: its new
// version is not known.
func (r *Rows) Written(name string, row Row, applied bool) {
	s := r.service(name)
	s.known, s.wrote = false, nil
	if applied {
		s.wrote = &row
	}
}

// Failed records that a call to the table for a service's row failed.
func (r *Rows) Failed(now time.Time, name string) {
	s := r.service(name)
	s.retryAt = now.Add(min(maxRetry, minRetry<<min(s.failures, 8)))
	s.failures++
}

// Excluded returns the registered versions of a service at which no stream may begin now. It returns nil
// if there are none.
func (r *Rows) Excluded(now time.Time, name string) map[string]bool {
	s := r.services[name]
	if s == nil {
		return nil
	}
	var out map[string]bool
	for version := range s.versions {
		if !r.MayBegin(now, name, version) {
			if out == nil {
				out = map[string]bool{}
			}
			out[version] = true
		}
	}
	return out
}

// MayBegin reports whether the first event of a stream at a version may reach a caller now.
func (r *Rows) MayBegin(now time.Time, name, version string) bool {
	s := r.services[name]
	if s == nil || !r.fresh(now) {
		return false
	}
	p := s.versions[version]
	return p != nil && p.cleared && (p.leftAt.IsZero() || now.Sub(p.leftAt) < leaveGrace)
}

// Operation is what an entry does with the row of a service.
type Operation int

// The operations on a row.
const (
	Nothing Operation = iota
	ReadRow
	WriteRow
)

// Action is the next operation on the row of a service.
type Action struct {
	Operation Operation
	// Row is what WriteRow writes, on condition that the row still has the version Row.Version.
	Row Row
	// Before is what the row states as far as the entry knows.
	Before Row
	// Version is the version of the upstreams' software that makes it necessary.
	Version string
}

// Next returns the next operation on the row of a service. owner says that this entry owns the row: it
// withdraws the row at once, others after a delay if it is necessary still, and it alone names versions.
// No row is read without a reason, since calls to the table cost money.
func (r *Rows) Next(now time.Time, name string, owner bool) Action {
	s := r.services[name]
	if s == nil || s.routes == "" || !r.fresh(now) || now.Before(s.retryAt) {
		return Action{}
	}
	if owner && !s.owner {
		s.known = false // another entry may have written it
	}
	s.owner = owner
	if version, p := s.uncleared(); p != nil {
		switch {
		case !owner && now.Sub(p.joinedAt) < r.delay:
			return Action{}
		case !s.known || s.readAt.Before(p.joinedAt):
			return Action{Operation: ReadRow, Version: version}
		default:
			return s.write(Row{}, version)
		}
	}
	if !owner {
		return Action{}
	}
	if !s.known {
		return Action{Operation: ReadRow}
	}
	if s.row.Named != "" && s.row.Routes != "" && s.row.Routes != s.routes {
		return s.write(Row{}, "")
	}
	only := s.only(now)
	if only == "" || now.Sub(r.countedFrom(s)) < renameAfter {
		return Action{}
	}
	named := Row{Named: only, Routes: s.routes}
	switch {
	case s.row.states(named):
		return Action{}
	case s.row.Named == only: // written by an earlier build
		return s.write(named, only)
	case s.row.Prepared != only || s.row.Routes != s.routes:
		return s.write(Row{Prepared: only, Routes: s.routes}, only)
	case !r.confirmed.After(s.knownAt):
		return Action{}
	default:
		return s.write(named, only)
	}
}

func (s *serviceRow) write(row Row, version string) Action {
	row.Version = s.row.Version
	return Action{Operation: WriteRow, Row: row, Before: s.row, Version: version}
}

// Pending returns the registered versions of a service with streams that are not cleared.
func (r *Rows) Pending(name string) []string {
	s := r.services[name]
	if s == nil || s.routes == "" {
		return nil
	}
	var out []string
	for version, p := range s.versions {
		if p.leftAt.IsZero() && !p.cleared {
			out = append(out, version)
		}
	}
	return out
}

// uncleared returns the registered version that is not cleared and joined last; nil if there is none.
func (s *serviceRow) uncleared() (string, *presence) {
	var latest *presence
	name := ""
	for version, p := range s.versions {
		if !p.leftAt.IsZero() || p.cleared {
			continue
		}
		if latest == nil || p.joinedAt.After(latest.joinedAt) || p.joinedAt.Equal(latest.joinedAt) && version < name {
			name, latest = version, p
		}
	}
	return name, latest
}

// only returns the version of a service if it has an upstream now and no other one had any within
// renameAfter; else empty. An entry whose row is older must see that version, or another one, in its list
// before it begins streams at a further one.
func (s *serviceRow) only(now time.Time) string {
	for version, p := range s.versions {
		if p.leftAt.IsZero() && s.alone(now, version) {
			return version
		}
	}
	return ""
}

// countedFrom returns the time from which on all versions of a service and all changes of its row and of
// its routes are known.
func (r *Rows) countedFrom(s *serviceRow) time.Time {
	from := s.changedAt
	for _, at := range []time.Time{s.routesAt, r.interrupted} {
		if at.After(from) {
			from = at
		}
	}
	// An entry that lists the upstreams long after its process started knows nothing of the time before.
	if (!r.firstStart || !s.absentAtFirst) && r.listedAt.After(from) {
		from = r.listedAt
	}
	return from
}

// The reasons for which a stream of unknown origin is not resumed.
const (
	RefusedListOld  = "upstreams_not_confirmed"
	RefusedNotNamed = "row_names_no_version"
	RefusedVersions = "several_versions_registered"
	RefusedRoutes   = "routes_changed"
)

// Resume returns the version at which a stream of unknown origin may be resumed, given the row, read after
// the caller asked for that. If there is none it returns the reason. routes stands for the routes that lead
// to the service now.
func (r *Rows) Resume(now time.Time, name, routes string, row Row) (version, refused string) {
	s := r.services[name]
	switch {
	case !r.fresh(now):
		return "", RefusedListOld
	case row.Named == "":
		return "", RefusedNotNamed
	case row.Routes != "" && row.Routes != routes:
		return "", RefusedRoutes
	case s == nil || !s.alone(now, row.Named):
		return "", RefusedVersions
	}
	return row.Named, ""
}
