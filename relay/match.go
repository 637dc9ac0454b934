package relay

import "strings"

// RouteTable finds the route of a call. It is immutable.
type RouteTable struct {
	doc    *Document
	byHost map[string]map[string]*Route
	// ranks is the number of less urgent priorities among streams, by priority.
	ranks map[int]int
}

// NewRouteTable indexes the routes of a document.
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

// Rank returns the number of less urgent priorities among the streams.
func (t *RouteTable) Rank(r *Route) int { return t.ranks[r.Priority] }

// Document returns the document that the table was made of.
func (t *RouteTable) Document() *Document { return t.doc }

// Match returns the route of the host whose prefix is the longest that begins the
// path, or nil. A port in host is ignored, and so is its case.
func (t *RouteTable) Match(host, path string) *Route {
	prefixes := t.byHost[hostName(host)]
	if prefixes == nil {
		return nil
	}
	// A prefix ends with a slash, so only the path up to each of its slashes can match.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
