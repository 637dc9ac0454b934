package gateway

import (
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

// fleet is the upstreams that may be chosen, by service. It is immutable.
type fleet struct {
	registry  *relay.Registry
	byService map[string][]routing.Upstream
	// short names the upstreams in digests.
	short map[uint32]string
}

// newFleet lists the seats of the registry; services come from the document in force
// and may be nil before there is one.
func newFleet(r *relay.Registry, services map[string]relay.Service) *fleet {
	f := &fleet{registry: r, byService: map[string][]routing.Upstream{}, short: map[uint32]string{}}
	for _, id := range r.IDs() {
		f.short[uint32(routing.HashID(id))] = id
	}
	for name, s := range services {
		for _, u := range r.ByService(name) {
			if u.Draining {
				continue
			}
			seat := routing.Upstream{ID: u.ID, Service: name, Domain: u.Domain, Slots: u.Slots, Hash: routing.HashID(u.ID)}
			if s.Model != nil {
				seat.CacheTokens = s.Model.KVCacheTokens
			}
			f.byService[name] = append(f.byService[name], seat)
		}
	}
	return f
}
