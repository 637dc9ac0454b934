package standin

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// reportInterval is the minimum time between two stored load reports.
const reportInterval = 10 * time.Millisecond

// timedLoad is a load report. at is when the first load of its report interval was stored,
// load the last load of that interval.
type timedLoad struct {
	at   time.Time
	load structs.Load
}

// report stores the current load. A report within reportInterval of the last one replaces
// its load.
func (m *Model) report(now time.Time) {
	load := m.load()
	last := len(m.reports) - 1
	if last >= 0 && now.Sub(m.reports[last].at) < reportInterval {
		m.reports[last].load = load
		return
	}
	m.reports = append(m.reports, timedLoad{at: now, load: load})
	m.prune(now)
}

// prune drops the reports older than the one that Load returns.
func (m *Model) prune(now time.Time) {
	cutoff := now.Add(-time.Duration(m.config.ReportLag))
	first := 0
	for i, r := range m.reports {
		if !r.at.After(cutoff) {
			first = i
		}
	}
	m.reports = slices.Delete(m.reports, 0, first)
}

// Load returns the load as it was ReportLag ago, or the first load of the incarnation when
// that is more recent. FaultWrongLoad multiplies Running, Queued,
// QueuedPrefillTokens and KVUsedTokens by its factor.
func (m *Model) Load() structs.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prune(time.Now())
	load := m.load()
	if len(m.reports) > 0 {
		load = m.reports[0].load
	}
	if wrong, hit := m.Faults.peek(FaultWrongLoad); hit {
		load.Running = int(float64(load.Running) * wrong.Factor)
		load.Queued = int(float64(load.Queued) * wrong.Factor)
		load.QueuedPrefillTokens = int64(float64(load.QueuedPrefillTokens) * wrong.Factor)
		load.KVUsedTokens = int64(float64(load.KVUsedTokens) * wrong.Factor)
	}
	m.loadSequence++
	load.Sequence = m.loadSequence
	return load
}

// load returns the true load at this moment. Rates and times are in real time, with the time
// scale applied.
func (m *Model) load() structs.Load {
	var queued int64
	for _, s := range m.waiting {
		queued += int64(s.promptTokens - m.cache.match(s.prompt)*kvcache.BlockTokens)
	}
	return structs.Load{
		Upstream:            structs.UpstreamID(m.config.Name),
		VM:                  m.config.VM,
		Domain:              m.config.Domain,
		Kind:                structs.KindModel,
		Models:              m.models,
		Running:             len(m.running),
		Queued:              len(m.waiting),
		QueuedPrefillTokens: queued,
		BatchLimit:          m.config.BatchLimit,
		KVUsedTokens:        int64(len(m.cache.entries)+m.cache.reserved) * kvcache.BlockTokens,
		KVLimitTokens:       m.config.KVTokens,
		PrefillRate:         m.config.PrefillRate / m.config.TimeScale,
		StepTime:            m.scaled(m.decodeTime(max(len(m.running), 1))),
		Incarnation:         m.events.incarnation,
	}
}
