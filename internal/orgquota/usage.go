package orgquota

import (
	"cmp"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/buckthornroute/buckthornroute/quota"
)

// maxPublished bounds the organisations that have metrics of their own; the others are summed.
const maxPublished = 50

// otherOrganisations is the tag of the sum of the others.
const otherOrganisations = "_other"

// counts are the requests of an organisation since the start.
type counts struct{ granted, overLimit, unknown int64 }

// usage counts the requests of organisations by outcome. It is safe for concurrent use.
type usage struct {
	scope tally.Scope

	mu     sync.Mutex
	counts map[string]*counts
	// gauges holds the organisations that have metrics. It only grows, up to maxPublished, so that the number
	// of metrics is bounded.
	gauges map[string]bool
}

func newUsage(scope tally.Scope) *usage {
	return &usage{scope: scope, counts: map[string]*counts{}, gauges: map[string]bool{}}
}

func (u *usage) count(organisation string, outcome quota.Outcome) {
	if outcome == quota.Unlimited {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts[organisation]
	if c == nil {
		c = &counts{}
		u.counts[organisation] = c
	}
	switch outcome {
	case quota.Granted:
		c.granted++
	case quota.OverLimit, quota.ProgramsOverLimit:
		c.overLimit++
	default:
		c.unknown++
	}
}

// publish sets the gauges of the organisations with the most requests, and of the sum of the others.
func (u *usage) publish() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.counts) == 0 {
		return
	}
	names := make([]string, 0, len(u.counts))
	for name := range u.counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(u.counts[b].total(), u.counts[a].total()) })
	var other counts
	for _, name := range names {
		c := u.counts[name]
		if !u.gauges[name] && len(u.gauges) < maxPublished {
			u.gauges[name] = true
		}
		if u.gauges[name] {
			u.set(name, c)
			continue
		}
		other.granted, other.overLimit, other.unknown = other.granted+c.granted, other.overLimit+c.overLimit, other.unknown+c.unknown
	}
	u.set(otherOrganisations, &other)
}

func (c *counts) total() int64 { return c.granted + c.overLimit + c.unknown }

func (u *usage) set(organisation string, c *counts) {
	s := u.scope.Tagged(map[string]string{"organisation": organisation})
	s.Gauge("quota_granted").Update(float64(c.granted))
	s.Gauge("quota_over_limit").Update(float64(c.overLimit))
	s.Gauge("quota_unknown").Update(float64(c.unknown))
}
