package quota

import (
	"math"
	"time"
)

const (
	// accountRetention is how long a grantor keeps what an entry holds. Later it can't be credited any
	// more; its use must not delay the refill for longer.
	accountRetention = 4 * Lease
	// answerRetention is how long the latest answer to an entry is kept, in case its question arrives again.
	answerRetention = 10 * time.Second
	// takeoverReserve is how long a new grantor may add its reserve to its bucket, which starts empty.
	takeoverReserve = 1500 * time.Millisecond
	// returnedPart of the excess may be given back within a window for requests that no upstream ran. They were
	// in nobody's hands, so they are not part of the capacity.
	returnedPart = 0.1
	// maxRetry bounds the time after which a refused caller is told to return.
	maxRetry = 5 * time.Second
	// maxClosed bounds the time for which an entry refuses without asking again. Unused tokens may
	// be given back meanwhile.
	maxClosed = 50 * time.Millisecond
	// usedRetention is the time constant of the rate of granted requests.
	usedRetention = time.Second
)

// View is what an entry knows of the entries when a question arrives.
type View struct {
	// Rank is its place among the entries that are ranked for the organisation; 0: it is the grantor.
	Rank int
	// Share is the share of the limit that it grants as the grantor; see Contacts.
	Share float64
	// Stable is since when the entry has heard from the same entries without a gap; see Contacts.
	Stable time.Time
}

// account is what an entry has of the tokens of a bucket.
type account struct {
	// tokens were granted and are neither reported as used nor credited.
	tokens  float64
	used    uint64
	expires time.Time
}

type lot struct {
	tokens  float64
	expires time.Time
}

// bucket is the token bucket of an organisation.
type bucket struct {
	epoch uint64
	level float64
	// at is up to when it is refilled, since when it exists.
	at, since time.Time
	share     float64
	accounts  map[string]*account
	// orphans are tokens of entries that have forgotten them.
	orphans []lot
	// returning is when the next refused caller is to return.
	returning time.Time
	programs  programs
	used      float64
	usedAt    time.Time
}

type answered struct {
	answer Answer
	at     time.Time
}

type asker struct{ from, organisation string }

// Grants grants the tokens of organisations to all entries: as the grantor from a bucket, else from a
// small reserve. It is not safe for concurrent use.
type Grants struct {
	limits   map[string]Limit
	version  uint64
	buckets  map[string]*bucket
	reserves map[string]*recent
	returned map[string]*recent
	answers  map[asker]answered
	epoch    uint64
	settled  time.Time
	// reserved is from when on the entry has a reserve: its former incarnation may have used that up.
	reserved   time.Time
	reassessed time.Time
	swept      time.Time
}

// NewGrants returns a Grants for an entry that starts now. epoch must differ between incarnations.
func NewGrants(now time.Time, epoch uint64) *Grants {
	return &Grants{
		limits: map[string]Limit{}, buckets: map[string]*bucket{}, reserves: map[string]*recent{}, returned: map[string]*recent{},
		answers: map[asker]answered{}, epoch: epoch, settled: now.Add(Settle), reserved: now.Add(Window + Settle), reassessed: now,
	}
}

// SetLimits replaces the limits by those of a newer version of the document.
func (g *Grants) SetLimits(now time.Time, version uint64, limits []Limit) {
	if version <= g.version {
		return
	}
	g.version = version
	next := make(map[string]Limit, len(limits))
	for _, l := range limits {
		if l.PerSecond > 0 {
			next[l.Organisation] = l
		}
	}
	for organisation, b := range g.buckets {
		l, limited := next[organisation]
		if !limited {
			delete(g.buckets, organisation)
			continue
		}
		b.advance(now, g.limits[organisation])
		b.trim(l)
	}
	g.limits = next
}

// Ready reports whether the entry may be a grantor: it has run long enough to have heard of others.
func (g *Grants) Ready(now time.Time) bool { return !now.Before(g.settled) }

// Reassess applies what the entry knows now of the other entries to each bucket. It must be called at least
// every MaxGap / 3 and when the entries change. It returns whether there was a gap, after which all
// buckets are dropped.
func (g *Grants) Reassess(now time.Time, view func(organisation string) View) (gap bool) {
	gap = now.Sub(g.reassessed) > MaxGap
	g.reassessed = now
	if gap {
		g.settled = now
	}
	for organisation, b := range g.buckets {
		v := view(organisation)
		if gap || v.Rank != 0 {
			delete(g.buckets, organisation)
			continue
		}
		b.advance(now, g.limits[organisation])
		b.share = v.Share
		b.trim(g.limits[organisation])
	}
	if now.Sub(g.swept) > answerRetention/10 {
		g.swept = now
		for key, a := range g.answers {
			if now.Sub(a.at) > answerRetention {
				delete(g.answers, key)
			}
		}
	}
	return gap
}

// Answer answers a question. A question that arrives again gets the same answer and takes nothing.
func (g *Grants) Answer(now time.Time, q Question, v View) Answer {
	key := asker{q.From, q.Organisation}
	if last, known := g.answers[key]; known && q.Seq <= last.answer.Seq {
		if q.Seq == last.answer.Seq {
			return last.answer
		}
		return Answer{Seq: q.Seq}
	}
	a := g.decide(now, q, v)
	a.Seq = q.Seq
	g.answers[key] = answered{a, now}
	return a
}

func (g *Grants) decide(now time.Time, q Question, v View) Answer {
	l, limited := g.limits[q.Organisation]
	switch {
	case g.version == 0 || v.Rank >= MaxRank || !g.Ready(now):
		return Answer{}
	case now.Sub(g.reassessed) > MaxGap:
		return Answer{} // just resumed after a suspension
	case !limited:
		return Answer{Outcome: Unlimited}
	case v.Rank > 0:
		delete(g.buckets, q.Organisation)
		return g.fromReserve(now, l, q, v)
	}
	b := g.buckets[q.Organisation]
	if b == nil {
		b = g.newBucket(now, l, v)
		b.programs.hint = q.PerProgram
		g.buckets[q.Organisation] = b
	}
	b.advance(now, l)
	b.share = v.Share
	b.trim(l)
	g.settle(now, b, l, q)
	a := b.grant(now, l, q)
	if a.Outcome == OverLimit && now.Sub(b.since) < takeoverReserve {
		if r := g.fromReserve(now, l, q, v); r.Outcome == Granted {
			r.PerProgram = a.PerProgram
			b.programs.count(float64(r.Count), 0)
			return r
		}
		a.Outcome = Unknown // within the limit, as far as is known
	}
	return a
}

// newBucket returns the bucket of an organisation that was not asked for here before. It is filled with what
// has accrued while this entry would have been the grantor.
func (g *Grants) newBucket(now time.Time, l Limit, v View) *bucket {
	g.epoch++
	since := v.Stable
	if since.Before(g.settled) {
		since = g.settled
	}
	since = since.Add(Handover)
	b := &bucket{epoch: g.epoch, at: since, since: since, share: v.Share, accounts: map[string]*account{}, usedAt: now}
	b.advance(now, l)
	return b
}

// fromReserve grants from this entry's reserve.
func (g *Grants) fromReserve(now time.Time, l Limit, q Question, v View) Answer {
	r := g.reserves[l.Organisation]
	if r == nil {
		r = &recent{}
		g.reserves[l.Organisation] = r
	}
	reserve := l.reserve(v.Rank) * v.Share
	if now.Before(g.reserved) {
		reserve = 0
	}
	if q.NewProgram { // what is left is for programs that have started
		reserve /= 2
	}
	n := math.Floor(min(float64(q.Want), reserve-r.sum(now)))
	if n < 1 {
		return Answer{Retry: Handover, Closed: maxClosed}
	}
	r.add(now, n)
	return Answer{Outcome: Granted, Count: uint64(n), AskPrograms: true, PerProgram: q.PerProgram}
}

// settle credits what the entry has neither used nor holds any more.
func (g *Grants) settle(now time.Time, b *bucket, l Limit, q Question) {
	b.programs.count(float64(q.Requests), float64(q.Programs))
	acc := b.accounts[q.From]
	switch {
	case q.Epoch != b.epoch:
		if acc != nil { // the entry has forgotten or never received what it was granted
			b.orphans = append(b.orphans, lot{acc.tokens, acc.expires})
		}
		b.accounts[q.From] = &account{}
		return
	case acc == nil:
		acc = &account{used: q.Used}
		b.accounts[q.From] = acc
	}
	// Used may be lower than reported in a question of which the entry saw no answer.
	remaining := acc.tokens - float64(int64(q.Used-acc.used))
	held := max(0, min(float64(q.Held), remaining, acc.tokens))
	b.level += max(0, min(remaining, acc.tokens)-held)
	if held > 0 {
		acc.expires = now.Add(Lease)
	}
	acc.tokens, acc.used = held, q.Used
	if q.Returned > 0 {
		r := g.returned[l.Organisation]
		if r == nil {
			r = &recent{}
			g.returned[l.Organisation] = r
		}
		n := min(float64(q.Returned), returnedPart*l.excess()-r.sum(now))
		if n > 0 {
			r.add(now, n)
			b.level += n
		}
	}
	b.trim(l)
}

// grant grants tokens from the bucket.
func (b *bucket) grant(now time.Time, l Limit, q Question) Answer {
	share := b.share
	b.programs.advance(now, l, share, b.level/max(1, share*l.capacity()))
	a := Answer{Epoch: b.epoch, AskPrograms: b.programs.pressed(l, share), PerProgram: b.programs.perProgram(), UsedPerSecond: b.used / usedRetention.Seconds()}
	if q.NewProgram && a.AskPrograms && (b.programs.level < 1 || b.level < b.programs.kept(l, share)) {
		a.Outcome = ProgramsOverLimit
		a.Retry = b.retryAfter(now, b.programs.retry(l, share), b.programs.perProgram(), l)
		return a
	}
	// No entry gets more than half of what is left, so that the last tokens are not held by one that
	// does not need them at once.
	n := math.Floor(min(float64(q.Want), max(1, b.level/2), b.level))
	if n < 1 {
		a.Outcome = OverLimit
		missing := time.Duration((1 - b.level) / max(l.PerSecond*share, 0.01) * float64(time.Second))
		if now.Before(b.at) {
			missing += b.at.Sub(now)
		}
		a.Retry, a.Closed = b.retryAfter(now, missing, 1, l), min(missing, maxClosed)
		return a
	}
	b.level -= n
	if q.NewProgram {
		b.programs.count(0, 1)
	}
	acc := b.accounts[q.From]
	acc.tokens += n
	acc.expires = now.Add(accountRetention)
	if q.Held == 0 && !q.Ahead {
		acc.expires = now.Add(Lease) // used as soon as they arrive, so there is nothing to credit
	}
	a.Outcome, a.Count = Granted, uint64(n)
	b.used += n
	return a
}

// retryAfter returns when a refused caller is to return: each at another time, at the rate of the limit.
func (b *bucket) retryAfter(now time.Time, least time.Duration, requests float64, l Limit) time.Duration {
	if first := now.Add(least); b.returning.Before(first) {
		b.returning = first
	}
	if last := now.Add(maxRetry); b.returning.After(last) {
		b.returning = first(now, least, last)
	}
	retry := b.returning.Sub(now)
	b.returning = b.returning.Add(time.Duration(requests / max(l.PerSecond*b.share, 0.01) * float64(time.Second)))
	return min(retry, maxRetry)
}

// first returns the earlier of now + least and last.
func first(now time.Time, least time.Duration, last time.Time) time.Time {
	if t := now.Add(least); t.Before(last) {
		return t
	}
	return last
}

// advance refills the bucket and drops what can't be used or credited any more.
func (b *bucket) advance(now time.Time, l Limit) {
	for from, acc := range b.accounts {
		if !now.Before(acc.expires) {
			delete(b.accounts, from)
		}
	}
	kept := b.orphans[:0]
	for _, o := range b.orphans {
		if now.Before(o.expires) {
			kept = append(kept, o)
		}
	}
	b.orphans = kept
	b.refill(now, l)
	if elapsed := now.Sub(b.usedAt); elapsed > 0 {
		b.used *= math.Exp(-elapsed.Seconds() / usedRetention.Seconds())
		b.usedAt = now
	}
}

func (b *bucket) refill(now time.Time, l Limit) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += elapsed.Seconds() * l.PerSecond * b.share
		b.at = now
	}
	b.trim(l)
}

// trim keeps the bucket and what entries hold within the capacity.
func (b *bucket) trim(l Limit) {
	out := 0.0
	for _, acc := range b.accounts {
		out += acc.tokens
	}
	for _, o := range b.orphans {
		out += o.tokens
	}
	b.level = max(0, min(b.level, b.share*l.capacity()-out))
}
