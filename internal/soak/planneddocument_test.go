package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// plannedRoutes are the names of the routes under planned work.
var plannedRoutes = []string{"read", "act", "ask", "draft"}

const (
	shortTimeout = 400 * time.Millisecond
	longTimeout  = 5 * time.Second
	shortIdle    = 400 * time.Millisecond
	longIdle     = 1500 * time.Millisecond
)

// plannedDocument is the configuration document, which planned work changes all the time.
type plannedDocument struct {
	store *store

	mu       sync.Mutex
	version  int
	dropped  map[string]bool
	moved    map[string]bool // routes that use the other one of their two services
	short    map[string]bool // routes with shortTimeout
	attempts int
	idle     time.Duration
	changes  []documentChange
}

// documentChange is one version of the document. routeTimeouts and idle are in force from some moment after at.
type documentChange struct {
	at            time.Time
	kind          string
	routeTimeouts map[string]time.Duration
	idle          time.Duration
}

func newPlannedDocument(s *store) *plannedDocument {
	d := &plannedDocument{store: s, dropped: map[string]bool{}, moved: map[string]bool{}, short: map[string]bool{}, attempts: 2, idle: longIdle}
	d.publish("first")
	return d
}

// change makes one change, drawn from rng.
func (d *plannedDocument) change(rng *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := plannedRoutes[rng.IntN(len(plannedRoutes))]
	switch rng.IntN(6) {
	case 0, 5: // one route at a time is dropped, so that most requests have one
		if len(d.dropped) > 0 {
			clear(d.dropped)
			d.publish("route added")
			return
		}
		d.dropped[r] = true
		d.publish("route dropped")
	case 1:
		d.moved[r] = !d.moved[r]
		d.publish("route moved")
	case 2:
		d.short[r] = !d.short[r]
		d.publish(pick(d.short[r], "timeout shortened", "timeout lengthened"))
	case 3:
		if d.idle == longIdle {
			d.idle = shortIdle
		} else {
			d.idle = longIdle
		}
		d.publish(pick(d.idle == shortIdle, "idle timeout shortened", "idle timeout lengthened"))
	case 4:
		d.attempts = 1 + rng.IntN(3)
		d.publish("attempts changed")
	}
}

func pick(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

// publish stores the next version. d.mu must be held once the document is shared.
func (d *plannedDocument) publish(kind string) {
	d.version++
	c := documentChange{at: time.Now(), kind: kind, routeTimeouts: map[string]time.Duration{}, idle: d.idle}
	var routes []string
	for _, r := range plannedRoutes {
		timeout, service, rest := longTimeout, "app", fmt.Sprintf(`"route-type":"safe","attempts":%d`, d.attempts)
		switch r {
		case "act":
			rest = `"route-type":"unsafe","attempts":1`
		case "ask":
			service, rest = "llm", fmt.Sprintf(`"route-type":"stream","resumable":true,"attempts":%d`, d.attempts)
		case "draft":
			service, rest = "llm", `"route-type":"stream","attempts":1,"retained":true,"retention-s":60`
		}
		if d.short[r] {
			timeout = shortTimeout
		}
		c.routeTimeouts[r] = timeout
		if d.moved[r] {
			service += "-2"
		}
		if !d.dropped[r] {
			routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h","prefix":"/%s/","timeout-ms":%d,"service":%q,%s}`, r, r, timeout.Milliseconds(), service, rest))
		}
	}
	engine := fmt.Sprintf(`"max-connections":500,"engine":{"slots":64,"kv-capacity-tokens":1000000,"tokens-per-event":%d}`, tokensPerEvent)
	d.changes = append(d.changes, c)
	d.store.put("op//config", fmt.Sprintf(`{"version":%d,"routes":[%s],
 "services":[{"name":"app","max-connections":500},{"name":"app-2","max-connections":500},{"name":"llm",%s},{"name":"llm-2",%s}],
 "limits":{"max-body-bytes":100000,"idle-timeout-ms":%d}}`, d.version, strings.Join(routes, ","), engine, engine, d.idle.Milliseconds()))
}

// documentNotice is how long after its publication a document may not be in force yet.
const documentNotice = 1500 * time.Millisecond

// timeoutOf returns the shortest timeout that a route may have had for a request that was in progress in the interval.
// When the entry read its head is not known: it may have waited behind another one.
func (d *plannedDocument) timeoutOf(route string, from, to time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	shortest := longTimeout
	for i, c := range d.changes {
		superseded := i+1 < len(d.changes) && d.changes[i+1].at.Before(from.Add(-documentNotice))
		if !superseded && c.at.Before(to) {
			shortest = min(shortest, c.routeTimeouts[route])
		}
	}
	return shortest
}

// idleTimeout returns the idle timeout of the last document.
func (d *plannedDocument) idleTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.idle
}

// lastChange describes the last change before at; empty if it was long before.
func (d *plannedDocument) lastChange(at time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := len(d.changes) - 1; i > 0; i-- {
		if c := d.changes[i]; !c.at.After(at) {
			if at.Sub(c.at) > documentNotice {
				return ""
			}
			return c.kind
		}
	}
	return ""
}
