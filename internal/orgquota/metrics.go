package orgquota

import (
	"cmp"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/buckthornroute/buckthornroute/quota"
)

// maxOrganisations is the number of organisations that have counters of their own; those of the rest are summed.
const maxOrganisations = 50

// organisationCounts are the decisions about an organisation since the last publication.
type organisationCounts struct{ granted, refused int64 }

type metrics struct {
	scope tally.Scope
	// outcomes counts decisions, questions those sent to other entries, unanswered those without an answer, answers
	// what this entry answered, malformed messages that could not be read.
	outcomes                                  map[quota.Outcome]tally.Counter
	questions, unanswered, answers, malformed tally.Counter

	mu     sync.Mutex
	counts map[string]*organisationCounts
	named  map[string]tally.Scope
}

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("quota")
	m := &metrics{
		scope: s, outcomes: map[quota.Outcome]tally.Counter{}, questions: s.Counter("questions"), unanswered: s.Counter("questions_unanswered"),
		answers: s.Counter("answers"), malformed: s.Counter("malformed"), counts: map[string]*organisationCounts{}, named: map[string]tally.Scope{},
	}
	for _, o := range []quota.Outcome{quota.Granted, quota.OverLimit, quota.ProgramsOverLimit, quota.Unknown} {
		m.outcomes[o] = s.Counter(o.String())
	}
	return m
}

func (m *metrics) count(organisation string, o quota.Outcome) {
	if c := m.outcomes[o]; c != nil {
		c.Inc(1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counts[organisation]
	if c == nil {
		c = &organisationCounts{}
		m.counts[organisation] = c
	}
	if o == quota.Granted {
		c.granted++
	} else {
		c.refused++
	}
}

// publish adds the counts to the counters by organisation. A name keeps its counters: while there is room, the
// organisations with the most requests get some.
func (m *metrics) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.counts))
	for name := range m.counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := m.counts[a], m.counts[b]
		return cmp.Or(cmp.Compare(y.granted+y.refused, x.granted+x.refused), cmp.Compare(a, b))
	})
	for _, name := range names {
		s := m.named[name]
		if s == nil && len(m.named) < maxOrganisations {
			s = m.scope.Tagged(map[string]string{"organisation": name})
			m.named[name] = s
		}
		if s == nil {
			s = m.scope.Tagged(map[string]string{"organisation": "others"})
		}
		s.Counter("organisation_granted").Inc(m.counts[name].granted)
		s.Counter("organisation_refused").Inc(m.counts[name].refused)
	}
	clear(m.counts)
}
