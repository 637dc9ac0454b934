// Package orgquota drives package quota at an entry: it asks the grantors of organisations for tokens, answers
// the questions of other entries, and writes log lines and metrics.
package orgquota

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/quota"
)

const (
	// askTimeout bounds a question to one entry; it is sent again once within it. An answer takes about 2 ms.
	askTimeout = 60 * time.Millisecond
	// skipTime is how long an entry that did not answer is not asked again.
	skipTime = 300 * time.Millisecond
	// tickInterval is the time between two looks at the other entries, well below quota.MaxGap.
	tickInterval = 100 * time.Millisecond
	// sweepTicks is the number of ticks between two removals of what is not used any more.
	sweepTicks = 10
	// maxRounds bounds the answers that a request waits for. Those to requests that came before may leave no token for it.
	maxRounds = 4
)

// Mesh is what the quota needs of the communication between entries. Entries are known by their names.
type Mesh interface {
	// Self returns the name of this entry.
	Self() string
	// Ranked returns at most n entries that may grant and whose digests arrive, the best for the organisation
	// first. This entry is one of them if ready is true.
	Ranked(organisation string, n int, ready bool) []string
	// Peers returns the other entries that have to be counted.
	Peers() []quota.Peer
	// Ask sends a question and waits for the answer.
	Ask(ctx context.Context, peer string, timeout time.Duration, body []byte) ([]byte, error)
}

// Decision is the decision about a request. From is the entry on whose answer it rests.
type Decision struct {
	quota.Decision
	Limit quota.Limit
	From  string
}

// answerInfo is where the latest answer about an organisation came from.
type answerInfo struct {
	from string
	used float64
}

// Quota keeps the requests of organisations within their limits. It is safe for concurrent use.
type Quota struct {
	mesh    Mesh
	log     *reqlog.Logger
	metrics *metrics
	// limited holds the organisations that have a limit; others take no lock.
	limited atomic.Pointer[map[string]quota.Limit]

	mu       sync.Mutex
	holdings *quota.Holdings
	grants   *quota.Grants
	contacts *quota.Contacts
	// asking holds the question under way of each organisation, closed when it ends; waiting counts who waits.
	asking  map[string]chan struct{}
	waiting map[string]int
	skip    map[string]time.Time
	latest  map[string]answerInfo
	share   float64
	version uint64
}

// New returns the Quota of an incarnation of an entry. epoch must differ between incarnations.
func New(mesh Mesh, incarnation string, epoch uint64, log *reqlog.Logger, scope tally.Scope) *Quota {
	now := time.Now()
	q := &Quota{
		mesh: mesh, log: log, metrics: newMetrics(scope), holdings: quota.NewHoldings(incarnation), grants: quota.NewGrants(now, epoch),
		contacts: quota.NewContacts(now), asking: map[string]chan struct{}{}, waiting: map[string]int{}, skip: map[string]time.Time{},
		latest: map[string]answerInfo{},
	}
	q.limited.Store(&map[string]quota.Limit{})
	return q
}

// SetLimits replaces the limits by those of a newer version of the document.
func (q *Quota) SetLimits(version uint64, limits []quota.Limit) {
	limited := make(map[string]quota.Limit, len(limits))
	for _, l := range limits {
		if l.PerSecond > 0 {
			limited[l.Organisation] = l
		}
	}
	q.mu.Lock()
	if version <= q.version {
		q.mu.Unlock()
		return
	}
	q.version = version
	q.holdings.SetLimits(version, limits)
	q.grants.SetLimits(time.Now(), version, limits)
	q.limited.Store(&limited)
	q.mu.Unlock()
	q.log.Info("quota_limits").Int("document", int64(version)).Int("organisations", int64(len(limited))).End()
}

// Ready reports whether this entry may grant; its digests must say so.
func (q *Quota) Ready() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.grants.Ready(time.Now())
}

// Take takes a token for a request. The token's Valid must be checked just before the request is sent. An outcome
// of quota.Unknown means that the entries that could tell did not answer.
func (q *Quota) Take(ctx context.Context, organisation string, newProgram bool, program string) Decision {
	limit, limited := (*q.limited.Load())[organisation]
	if !limited {
		return Decision{Decision: quota.Decision{Outcome: quota.Unlimited}}
	}
	d := Decision{Limit: limit}
	for round := range maxRounds {
		q.mu.Lock()
		d.Decision = q.holdings.Take(time.Now(), organisation, newProgram, round > 0)
		if d.Outcome != quota.Ask {
			info := q.latest[organisation]
			d.From = info.from
			if d.Prefetch {
				q.startLocked(organisation, false)
			}
			q.mu.Unlock()
			q.report(d, info, program)
			return d
		}
		q.waiting[organisation]++
		done := q.startLocked(organisation, newProgram)
		q.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			round = maxRounds
		}
		q.mu.Lock()
		if q.waiting[organisation]--; q.waiting[organisation] == 0 {
			delete(q.waiting, organisation)
		}
		q.mu.Unlock()
		if round == maxRounds {
			break
		}
	}
	d.Decision = quota.Decision{Outcome: quota.Unknown, Retry: askTimeout}
	q.report(d, answerInfo{}, program)
	return d
}

// Return gives back a token whose request no upstream ran.
func (q *Quota) Return(g quota.Grant) {
	q.mu.Lock()
	q.holdings.Return(time.Now(), g)
	q.mu.Unlock()
}

// startLocked starts a question about an organisation unless one is under way, and returns what is closed at its
// end. q.mu must be held.
func (q *Quota) startLocked(organisation string, newProgram bool) chan struct{} {
	if done := q.asking[organisation]; done != nil {
		return done
	}
	done := make(chan struct{})
	question, ok := q.holdings.Question(time.Now(), organisation, q.waiting[organisation], newProgram)
	if !ok { // the limit was removed
		close(done)
		return done
	}
	q.asking[organisation] = done
	go q.ask(question, done)
	return done
}

// ask asks the entries that may grant, one after the other, until one can tell.
func (q *Quota) ask(question quota.Question, done chan struct{}) {
	organisation := question.Organisation
	for i, name := range q.mesh.Ranked(organisation, quota.MaxRank, q.Ready()) {
		q.mu.Lock()
		now := time.Now()
		if now.Before(q.skip[name]) {
			q.mu.Unlock()
			continue
		}
		if i > 0 {
			if renewed, ok := q.holdings.Renew(now, organisation); ok {
				question = renewed
			}
		}
		q.mu.Unlock()
		answer, ok := q.askEntry(name, question)
		if !ok || answer.Outcome == quota.Unknown {
			continue
		}
		q.mu.Lock()
		q.latest[organisation] = answerInfo{name, answer.UsedPerSecond}
		q.holdings.Answered(time.Now(), organisation, answer)
		q.mu.Unlock()
		break
	}
	q.mu.Lock()
	q.holdings.Unanswered(time.Now(), organisation) // has no effect after an answer
	delete(q.asking, organisation)
	q.mu.Unlock()
	close(done)
}

// askEntry asks one entry, which may be this one.
func (q *Quota) askEntry(name string, question quota.Question) (quota.Answer, bool) {
	if name == q.mesh.Self() {
		return q.answer(question), true
	}
	q.metrics.questions.Inc(1)
	body, err := q.mesh.Ask(context.Background(), name, askTimeout, appendQuestion(make([]byte, 0, 96), question))
	if err == nil {
		if answer, ok := decodeAnswer(body); ok {
			return answer, true
		}
		q.metrics.malformed.Inc(1)
		return quota.Answer{}, false
	}
	q.metrics.unanswered.Inc(1)
	now := time.Now()
	q.mu.Lock()
	q.skip[name] = now.Add(skipTime)
	q.mu.Unlock()
	q.log.Warn("quota_not_answered").Str("organisation", question.Organisation).Str("from", name).Err(err).End()
	return quota.Answer{}, false
}

// Handle answers the question of another entry. ok is false if it is malformed.
func (q *Quota) Handle(body []byte) (answer []byte, ok bool) {
	question, ok := decodeQuestion(body)
	if !ok {
		q.metrics.malformed.Inc(1)
		return nil, false
	}
	return appendAnswer(make([]byte, 0, 48), q.answer(question)), true
}

func (q *Quota) answer(question quota.Question) quota.Answer {
	q.metrics.answers.Inc(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	return q.grants.Answer(now, question, q.viewLocked(now, question.Organisation))
}

// viewLocked returns this entry's view of the entries for an organisation. q.mu must be held.
func (q *Quota) viewLocked(now time.Time, organisation string) quota.View {
	rank := slices.Index(q.mesh.Ranked(organisation, quota.MaxRank, q.grants.Ready(now)), q.mesh.Self())
	if rank < 0 {
		rank = quota.MaxRank
	}
	return quota.View{Rank: rank, Share: q.contacts.Share(now), Stable: q.contacts.Stable()}
}

// Run follows the other entries until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for tick := 1; ; tick++ {
		q.tick(tick%sweepTicks == 0)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (q *Quota) tick(sweep bool) {
	peers := q.mesh.Peers()
	q.mu.Lock()
	now := time.Now()
	q.contacts.Observe(now, peers)
	gap := q.grants.Reassess(now, func(organisation string) quota.View { return q.viewLocked(now, organisation) })
	if gap {
		q.contacts.Gap(now)
	}
	share, before := q.contacts.Share(now), q.share
	q.share = share
	if sweep {
		q.holdings.Sweep(now)
		for name, until := range q.skip {
			if now.After(until) {
				delete(q.skip, name)
			}
		}
	}
	q.mu.Unlock()
	if gap {
		q.log.Warn("quota_suspended").Str("entry", q.mesh.Self()).End()
	}
	if share != before {
		q.log.Info("quota_share").Str("share", strconv.FormatFloat(share, 'g', 4, 64)).Int("entries", int64(len(peers)+1)).End()
	}
	if sweep {
		q.metrics.publish()
	}
}

// report counts a decision and writes the line of a refusal.
func (q *Quota) report(d Decision, info answerInfo, program string) {
	q.metrics.count(d.Limit.Organisation, d.Outcome)
	if d.Outcome == quota.Granted || d.Outcome == quota.Unlimited {
		return
	}
	q.log.Warn("quota_refused").Str("organisation", d.Limit.Organisation).Str("reason", d.Outcome.String()).Str("program", program).
		Str("limit_per_s", formatRate(d.Limit.PerSecond)).Str("burst", formatRate(d.Limit.Burst)).Str("used_per_s", formatRate(info.used)).
		Str("from", info.from).Ms("age_ms", d.Age).Ms("retry_after_ms", d.Retry).End()
}

func formatRate(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
