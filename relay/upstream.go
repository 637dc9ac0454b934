package relay

import "slices"

// Upstream is one upstream as it registered itself.
type Upstream struct {
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is the number of calls that it works on at once.
	Slots int
	// Draining upstreams take no new calls.
	Draining bool
	// StartedAtMs is the Unix time in milliseconds of its start, as it says; zero when it does not.
	StartedAtMs int64
	// Seq grows with each registration of one life.
	Seq int64
}

// newer reports whether u says more recent things of the same id than v.
func (u *Upstream) newer(v *Upstream) bool {
	if u.StartedAtMs != v.StartedAtMs {
		return u.StartedAtMs > v.StartedAtMs
	}
	return u.Seq >= v.Seq
}

// Registry is the list of upstreams an entry believes in. It is immutable; Apply
// returns the next one.
type Registry struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream
	// Version is the version of the registry's table that it shows.
	Version uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]*Upstream{}, byService: map[string][]*Upstream{}}
}

// RegistryChange is one change of the upstreams' table.
type RegistryChange struct {
	ID string
	// Upstream is nil when the entry was removed or can't be used.
	Upstream *Upstream
}

// Apply returns the registry after the changes. An entry that is older than the one
// known under its id changes nothing.
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
		if old := next.byID[c.ID]; old != nil && !c.Upstream.newer(old) {
			continue
		}
		next.byID[c.ID] = c.Upstream
	}
	next.index()
	return next
}

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

// ByService returns the upstreams of a service in the order of their ids, draining ones too.
func (r *Registry) ByService(service string) []*Upstream { return r.byService[service] }

// Get returns the upstream with the id, or nil.
func (r *Registry) Get(id string) *Upstream { return r.byID[id] }

// Len returns the number of upstreams.
func (r *Registry) Len() int { return len(r.byID) }

// IDs returns the ids of all upstreams, in no order.
func (r *Registry) IDs() []string {
	ids := make([]string, 0, len(r.byID))
	for id := range r.byID {
		ids = append(ids, id)
	}
	return ids
}
