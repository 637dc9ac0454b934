package gateway

import (
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

// fleet is an index of the registered upstreams. It is immutable; a change makes a new one.
type fleet struct {
	registry *relay.Registry
	// byService holds the upstreams that requests may be sent to; draining and leaving ones are left
	// out.
	byService map[string][]routing.Upstream
	// byHash maps the short hashes that stand for upstreams in digests to their IDs.
	byHash map[uint32]string
	// byIncarnation maps the hashes that stand for incarnations of upstreams to their IDs.
	byIncarnation map[uint64]string
}

// newFleet indexes the upstreams of the registry. services comes from the document in force and
// may be nil before there is one. leaving reports whether an incarnation said that it leaves.
func newFleet(r *relay.Registry, services map[string]relay.Service, leaving func(incarnation uint64) bool) *fleet {
	f := &fleet{registry: r, byService: map[string][]routing.Upstream{}, byHash: map[uint32]string{}, byIncarnation: map[uint64]string{}}
	for _, id := range r.IDs() {
		f.byHash[uint32(routing.HashID(id))] = id
		f.byIncarnation[incarnationHash(r.Get(id))] = id
	}
	for name, s := range services {
		for _, u := range r.ByService(name) {
			if u.Draining || leaving(incarnationHash(u)) {
				continue
			}
			upstream := routing.Upstream{ID: u.ID, Service: name, Domain: u.Domain, Version: u.Version, Slots: u.Slots, Hash: routing.HashID(u.ID)}
			if s.Model != nil {
				upstream.CacheTokens = s.Model.KVCacheTokens
			}
			f.byService[name] = append(f.byService[name], upstream)
		}
	}
	return f
}

// storeFleet indexes the upstreams of a registry for the document in force. g.mu must be held.
func (g *Gateway) storeFleet(r *relay.Registry) {
	var services map[string]relay.Service
	if t := g.routes.Load(); t != nil {
		services = t.Document().Services
	}
	g.fleet.Store(newFleet(r, services, g.leaving.has))
}

// usable reports whether calls may be sent to an incarnation of an upstream.
func (g *Gateway) usable(u *relay.Upstream) bool {
	current, incarnation := g.fleet.Load().registry.Get(u.ID), incarnationHash(u)
	return current != nil && !current.Draining && incarnationHash(current) == incarnation && !g.leaving.has(incarnation)
}
