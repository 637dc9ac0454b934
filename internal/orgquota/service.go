// Package orgquota keeps the requests of organisations within their limits over all entries. It drives the
// decisions of package quota: it asks the entry that grants an organisation's tokens, answers the
// questions of others, and tells operators what was refused.
package orgquota

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/quota"
)

const (
	// askTimeout bounds a question to one entry. It is sent again once within it.
	askTimeout = 60 * time.Millisecond
	// skipSilent is how long an entry that has not answered is not asked. It is counted as silent after
	// about a second without digests, or answers again.
	skipSilent = 300 * time.Millisecond
	// reassessInterval is the time between two looks at which entries there are: well under
	// quota.MaxGap / 3.
	reassessInterval = 100 * time.Millisecond
	// sweepInterval is the time after which organisations without requests are looked for.
	sweepInterval = time.Second
	// maxRounds bounds the questions for which one request waits.
	maxRounds = 4
	// unknownRetry is the Retry-After of a request that has waited for maxRounds questions in vain.
	unknownRetry = 150 * time.Millisecond
)

// Service is the quota of one entry. It is safe for concurrent use.
type Service struct {
	mesh *mesh.Mesh
	log  *reqlog.Logger
	// limited is set while an organisation has a limit.
	limited atomic.Bool
	// ready is set while the entry may grant tokens.
	ready    atomic.Bool
	usage    *usage
	failures tally.Counter

	// mu guards what follows.
	mu       sync.Mutex
	holdings *quota.Holdings
	grants   *quota.Grants
	// asks holds the question under way of each organisation.
	asks map[string]*ask
	// skip holds until when entries are not asked, by name.
	skip map[string]time.Time
	// members names the entries that may grant, stable is since when these are the same.
	members string
	stable  time.Time
}

// ask is a question under way.
type ask struct {
	// waiting counts the requests that wait for it.
	waiting int
	// done is closed when it has ended.
	done chan struct{}
}

// New returns the quota of an entry that starts. epoch must differ between incarnations.
func New(m *mesh.Mesh, log *reqlog.Logger, metrics tally.Scope, epoch uint64) *Service {
	now := time.Now()
	s := &Service{
		mesh: m, log: log, usage: newUsage(metrics), failures: metrics.Counter("quota_questions_failed"),
		holdings: quota.NewHoldings(m.Self().Incarnation), grants: quota.NewGrants(now, epoch),
		asks: map[string]*ask{}, skip: map[string]time.Time{}, stable: now,
	}
	m.AddFlag(mesh.FlagGrantsTokens, s.ready.Load)
	m.HandleQuestion(questionTokens, s.answer)
	return s
}

// SetLimits replaces the limits by those of a newer version of the document.
func (s *Service) SetLimits(version uint64, limits []quota.Limit) {
	limited := slices.ContainsFunc(limits, func(l quota.Limit) bool { return l.PerSecond > 0 })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings.SetLimits(version, limits)
	s.grants.SetLimits(time.Now(), version, limits)
	if was := s.limited.Swap(limited); was != limited {
		s.log.Warn("quota_limits").Int("document", int64(version)).Int("organisations", int64(len(limits))).End()
	}
}

// Run follows which entries may grant, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	t := time.NewTicker(reassessInterval)
	defer t.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		s.reassess(now)
		if now.Sub(swept) >= sweepInterval {
			swept = now
			s.mu.Lock()
			s.holdings.Sweep(now)
			s.mu.Unlock()
			s.usage.publish()
		}
	}
}

// reassess applies which entries there are now.
func (s *Service) reassess(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready.Store(s.grants.Ready(now) && s.mesh.CanOwn())
	names := make([]string, 0, 32)
	for _, p := range s.mesh.Peers(func(p *mesh.Peer) bool { return s.mayGrant(p, now) }) {
		names = append(names, p.Node+"/"+p.Incarnation)
	}
	slices.Sort(names)
	members := strings.Join(names, " ")
	gap := s.grants.Reassess(now, func(organisation string) quota.View { return s.view(now, organisation) })
	if members == s.members && !gap {
		return
	}
	s.members, s.stable = members, now
	if s.limited.Load() {
		responsive, all := s.mesh.InTouch(mesh.FlagGrantsTokens, now)
		s.log.Info("quota_entries_changed").Int("responsive", int64(responsive)).Int("entries", int64(all)).End()
	}
}

// mayGrant reports whether a peer may grant tokens now.
func (s *Service) mayGrant(p *mesh.Peer, now time.Time) bool {
	return p.Has(mesh.FlagGrantsTokens) && s.mesh.Responsive(p, now)
}

// ranked returns the entries that are asked for an organisation's tokens, in that order. nil stands for
// this entry.
func (s *Service) ranked(now time.Time, organisation string) []*mesh.Peer {
	ranked := s.mesh.RankedAmong(organisation, quota.MaxRank+1, func(p *mesh.Peer) bool { return s.mayGrant(p, now) })
	if !s.ready.Load() {
		ranked = slices.DeleteFunc(ranked, func(p *mesh.Peer) bool { return p == nil })
	}
	return ranked[:min(len(ranked), quota.MaxRank)]
}

// view returns what this entry knows of the entries for an organisation. s.mu must be held.
func (s *Service) view(now time.Time, organisation string) quota.View {
	rank := slices.Index(s.ranked(now, organisation), nil)
	if rank < 0 {
		rank = quota.MaxRank
	}
	responsive, all := s.mesh.InTouch(mesh.FlagGrantsTokens, now)
	return quota.View{Rank: rank, Share: float64(responsive) / float64(all), Stable: s.stable}
}

// Take takes a token for a request, and waits for one if none is held. newProgram says that the request
// begins a program. The token must be given to Return if no upstream runs the request. The outcome is
// never quota.Ask.
func (s *Service) Take(ctx context.Context, organisation string, newProgram bool) quota.Decision {
	if !s.limited.Load() {
		return quota.Decision{Outcome: quota.Unlimited}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.holdings.Take(time.Now(), organisation, newProgram, false)
	for range maxRounds {
		if d.Outcome != quota.Ask {
			break
		}
		a := s.asks[organisation]
		if a == nil {
			a = s.begin(organisation, 1, newProgram)
		} else {
			a.waiting++
		}
		if a != nil {
			s.mu.Unlock()
			select {
			case <-a.done:
			case <-ctx.Done():
			}
			s.mu.Lock()
		}
		if ctx.Err() != nil {
			break
		}
		d = s.holdings.Take(time.Now(), organisation, newProgram, true)
	}
	if d.Outcome == quota.Ask {
		d = quota.Decision{Outcome: quota.Unknown, Retry: unknownRetry}
	}
	if d.Prefetch && s.asks[organisation] == nil {
		s.begin(organisation, 0, false)
	}
	s.usage.count(organisation, d.Outcome)
	return d
}

// Valid reports whether a token may still be used.
func Valid(d *quota.Decision) bool {
	return d.Outcome == quota.Unlimited || d.Outcome == quota.Granted && d.Grant.Valid(time.Now())
}

// Return gives back the token of a request that no upstream ran.
func (s *Service) Return(d *quota.Decision) {
	if d.Outcome != quota.Granted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings.Return(time.Now(), d.Grant)
}

// Grantor returns the name of the entry that grants the tokens of an organisation, for log lines.
func (s *Service) Grantor(organisation string) string {
	ranked := s.ranked(time.Now(), organisation)
	switch {
	case len(ranked) == 0:
		return ""
	case ranked[0] == nil:
		return s.mesh.Self().Node
	default:
		return ranked[0].Node
	}
}

// begin begins a question about an organisation. It returns nil if this entry could answer it at once.
// s.mu must be held.
func (s *Service) begin(organisation string, waiting int, newProgram bool) *ask {
	now := time.Now()
	q, ok := s.holdings.Question(now, organisation, waiting, newProgram)
	if !ok {
		return nil
	}
	ranked := s.ranked(now, organisation)
	if len(ranked) > 0 && ranked[0] == nil {
		a := s.grants.Answer(now, q, s.view(now, organisation))
		if a.Outcome != quota.Unknown {
			s.holdings.Answered(now, organisation, a)
			return nil
		}
	}
	a := &ask{waiting: waiting, done: make(chan struct{})}
	s.asks[organisation] = a
	go s.resolve(organisation, a, q)
	return a
}

// resolve asks the entries that may grant, one after the other, until one can tell.
func (s *Service) resolve(organisation string, a *ask, q quota.Question) {
	asked := map[string]bool{}
	self := s.mesh.Self().Node
	for {
		now := time.Now()
		p, name, ok := s.next(now, organisation, self, asked)
		if !ok {
			s.mu.Lock()
			s.holdings.Unanswered(now, organisation)
			break
		}
		asked[name] = true
		answer, err := s.askOne(p, q)
		s.mu.Lock()
		now = time.Now()
		if err != nil {
			s.failures.Inc(1)
			s.skip[name] = now.Add(skipSilent)
		}
		if err == nil && answer.Outcome != quota.Unknown {
			s.holdings.Answered(now, organisation, answer)
			break
		}
		if q, ok = s.holdings.Renew(now, organisation); !ok {
			break
		}
		s.mu.Unlock()
	}
	delete(s.asks, organisation)
	close(a.done)
	s.mu.Unlock()
}

// next returns the first entry for an organisation that was not asked yet and is not skipped. p is nil
// for this entry.
func (s *Service) next(now time.Time, organisation, self string, asked map[string]bool) (p *mesh.Peer, name string, ok bool) {
	for _, p := range s.ranked(now, organisation) {
		name := self
		if p != nil {
			name = p.Node
		}
		s.mu.Lock()
		skipped := now.Before(s.skip[name])
		s.mu.Unlock()
		if !asked[name] && !skipped {
			return p, name, true
		}
	}
	return nil, "", false
}

// askOne asks one entry; nil stands for this one.
func (s *Service) askOne(p *mesh.Peer, q quota.Question) (quota.Answer, error) {
	if p == nil {
		now := time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.grants.Answer(now, q, s.view(now, q.Organisation)), nil
	}
	v, err := s.mesh.Ask(context.Background(), p, askTimeout, questionTokens, encodeQuestion(q))
	if err != nil {
		return quota.Answer{}, err
	}
	a, ok := decodeAnswer(v)
	if !ok {
		s.log.Info("quota_answer_malformed").Str("from", p.Node).Str("organisation", q.Organisation).End()
		return quota.Answer{}, nil
	}
	return a, nil
}

// answer answers the question of another entry.
func (s *Service) answer(m mesh.Question) {
	q := decodeQuestion(m.Reader, m.From)
	if m.Malformed() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	a := s.grants.Answer(now, q, s.view(now, q.Organisation))
	s.mu.Unlock()
	m.Reply(encodeAnswer(a))
}
