package relay

import "strings"

// RouteTable finds the route of a call by host and path. It is immutable.
type RouteTable struct {
	doc *Document
	// byHost maps each host to its routes, by prefix.
	byHost map[string]map[string]*Route
	// ranks maps each priority of the stream routes to the number of less urgent ones.
	ranks map[int]int
}

// NewRouteTable returns the route table of a document.
func NewRouteTable(doc *Document) *RouteTable {
	t := &RouteTable{doc: doc, byHost: make(map[string]map[string]*Route), ranks: map[int]int{}}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		prefixes := t.byHost[r.Host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			t.byHost[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
		if r.Kind == Stream {
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

// Rank returns the number of distinct priorities of stream routes that are less urgent than that
// of r, a stream route; 0 for the least urgent.
func (t *RouteTable) Rank(r *Route) int { return t.ranks[r.Priority] }

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
