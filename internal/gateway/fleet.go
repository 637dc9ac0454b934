package gateway

import (
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

// fleet is an index of the registered upstreams. It is immutable; a change makes a new one.
type fleet struct {
	registry *relay.Registry
	// byService holds the upstreams that requests may be sent to; draining ones are left out.
	byService map[string][]routing.Upstream
	// byHash maps the short hashes that stand for upstreams in digests to their IDs.
	byHash map[uint32]string
	// byIncarnation maps the hashes that stand for incarnations of upstreams to their IDs.
	byIncarnation map[uint64]string
}

// newFleet indexes the upstreams of the registry. services comes from the document in force and
// may be nil before there is one.
func newFleet(r *relay.Registry, services map[string]relay.Service) *fleet {
	f := &fleet{registry: r, byService: map[string][]routing.Upstream{}, byHash: map[uint32]string{}, byIncarnation: map[uint64]string{}}
	for _, id := range r.IDs() {
		f.byHash[uint32(routing.HashID(id))] = id
		f.byIncarnation[incarnationHash(r.Get(id))] = id
	}
	for name, s := range services {
		for _, u := range r.ByService(name) {
			if u.Draining {
				continue
			}
			upstream := routing.Upstream{ID: u.ID, Service: name, Domain: u.Domain, Slots: u.Slots, Hash: routing.HashID(u.ID)}
			if s.Model != nil {
				upstream.CacheTokens = s.Model.KVCacheTokens
			}
			f.byService[name] = append(f.byService[name], upstream)
		}
	}
	return f
}
