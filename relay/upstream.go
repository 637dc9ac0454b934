package relay

import (
	"slices"
	"strconv"
)

// Upstream is a server that runs calls of one service, as its row in the platform's table
// describes it.
type Upstream struct {
	ID      string
	Service string
	// Address has the form IP:port.
	Address string
	// Domain is the failure domain.
	Domain string
	// Version is the version of the upstream's software.
	Version string
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int
	// Draining reports whether the upstream takes no new calls.
	Draining bool
	// StartedAtMs is when the upstream's process started, in Unix milliseconds; zero when not
	// stated.
	StartedAtMs int64
	// Seq increases with each row that one incarnation of the upstream writes.
	Seq int64
}

// Incarnation names one start of the upstream: an upstream may start again under its id.
func (u *Upstream) Incarnation() string { return u.ID + "/" + strconv.FormatInt(u.StartedAtMs, 10) }

// supersedes reports whether u replaces v, a registration of the same id: u has a later start, or
// the same start and no smaller Seq.
func (u *Upstream) supersedes(v *Upstream) bool {
	if u.StartedAtMs != v.StartedAtMs {
		return u.StartedAtMs > v.StartedAtMs
	}
	return u.Seq >= v.Seq
}

// Registry is the set of registered upstreams that an entry knows. It is immutable; Apply
// returns a changed copy.
type Registry struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
	// Version is the latest version of the platform's table that was applied.
	Version uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]*Upstream{}, byService: map[string][]*Upstream{}}
}

// RegistryChange is a change of one upstream's row.
type RegistryChange struct {
	ID string
	// Upstream is nil when the row was deleted or is malformed; Apply then removes the upstream.
	Upstream *Upstream
}

// Apply returns the registry after the changes. A registration that is older than the one known
// under its id is ignored; after a removal any registration is accepted. Version never decreases.
func (r *Registry) Apply(version uint64, changes []RegistryChange) *Registry {
	next := &Registry{byID: make(map[string]*Upstream, len(r.byID)), byService: map[string][]*Upstream{}, Version: max(version, r.Version)}
	for id, u := range r.byID {
		next.byID[id] = u
	}
	for _, c := range changes {
		if c.Upstream == nil {
			delete(next.byID, c.ID)
			continue
		}
		if old := next.byID[c.ID]; old != nil && !c.Upstream.supersedes(old) {
			continue
		}
		next.byID[c.ID] = c.Upstream
	}
	next.index()
	return next
}

// index fills byService from byID, ordered by id.
func (r *Registry) index() {
	for _, u := range r.byID {
		r.byService[u.Service] = append(r.byService[u.Service], u)
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(a, b *Upstream) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// ByService returns the upstreams of a service, draining ones included, ordered by id.
func (r *Registry) ByService(service string) []*Upstream { return r.byService[service] }

// Get returns the upstream with the id, or nil.
func (r *Registry) Get(id string) *Upstream { return r.byID[id] }

// Len returns the number of upstreams.
func (r *Registry) Len() int { return len(r.byID) }

// IDs returns the ids of all upstreams, in no particular order.
func (r *Registry) IDs() []string {
	ids := make([]string, 0, len(r.byID))
	for id := range r.byID {
		ids = append(ids, id)
	}
	return ids
}
