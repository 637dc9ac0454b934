package relay

import (
	"strings"

	"github.com/buckthornroute/buckthornroute/organisation"
)

// RouteTable finds the route of a call by host and path. It is immutable.
type RouteTable struct {
	doc *Document
	// byHost maps each host to its routes, by prefix.
	byHost        map[string]map[string]*Route
	organisations *organisation.Table
	// ranks maps each priority that a call of a stream route can have to the number of less urgent
	// ones.
	ranks map[int]int
}

// NewRouteTable returns the route table of a document.
func NewRouteTable(doc *Document) *RouteTable {
	t := &RouteTable{
		doc: doc, byHost: make(map[string]map[string]*Route), ranks: map[int]int{},
		organisations: organisation.NewTable(doc.Organisations),
	}
	// The priority of a route counts only for calls without that of an organisation.
	routePriorities := len(doc.Organisations) == 0
	for i := range doc.Organisations {
		if p := doc.Organisations[i].Priority; p != nil {
			t.ranks[*p] = 0
		} else {
			routePriorities = true
		}
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		prefixes := t.byHost[r.Host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			t.byHost[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
		if r.Kind == Stream && (routePriorities || r.Public) {
			t.ranks[r.Priority] = 0
		}
	}
	for p := range t.ranks {
		for other := range t.ranks {
			if other > p {
				t.ranks[p]++
			}
		}
	}
	return t
}

// Priority returns the priority of a call of the route r by a caller of the organisation o, or
// without one if o is nil: that of the organisation if it has one, otherwise that of the route.
func Priority(r *Route, o *organisation.Organisation) int {
	if o != nil && o.Priority != nil {
		return *o.Priority
	}
	return r.Priority
}

// Rank returns how many of the distinct priorities that calls of stream routes can have are less
// urgent than the given one; 0 for the least urgent.
func (t *RouteTable) Rank(priority int) int { return t.ranks[priority] }

// Organisations returns the document's organisations.
func (t *RouteTable) Organisations() *organisation.Table { return t.organisations }

// Document returns the document that the table was built from.
func (t *RouteTable) Document() *Document { return t.doc }

// Match returns the route of the host with the longest prefix of the path, or nil. The port and
// case of host are ignored; a route's Host must be in lower case and without a port.
func (t *RouteTable) Match(host, path string) *Route {
	prefixes := t.byHost[hostName(host)]
	if prefixes == nil {
		return nil
	}
	// Prefixes end with a slash, so it is enough to look up the path up to each of its slashes,
	// longest first.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// hostName returns host without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
