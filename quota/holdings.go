package quota

import (
	"math"
	"time"
)

const (
	// prefetchTime is how long prefetched tokens suffice: nearly a lease, so that few expire unused.
	prefetchTime = 200 * time.Millisecond
	// prefetchBelow is the time for which held tokens must suffice before more are asked for. It
	// covers a question that is sent again once.
	prefetchBelow = 80 * time.Millisecond
	// minPrefetch is the number of requests within prefetchTime from which tokens are prefetched. Below it most of
	// them would expire.
	minPrefetch = 2
	// arrivalRetention is the time constant of the rate of requests.
	arrivalRetention = 500 * time.Millisecond
	// unknownClosed is how long no further question is asked after one that no entry could answer.
	unknownClosed = 40 * time.Millisecond
	// unknownRetry is when a caller is to return after that: a grantor is replaced within about a second,
	// other entries may reach it.
	unknownRetry = 150 * time.Millisecond
	// minClosed is the shortest time for which a refusal lasts, so that a refused request doesn't ask again.
	minClosed = time.Millisecond
	// idleRetention is how long an entry remembers an organisation without requests. It is longer than
	// accountRetention, so that a forgotten count of used tokens has been dropped by the grantor too.
	idleRetention = 5 * time.Second
)

// Grant is a token. It may be used until Expires.
type Grant struct {
	Organisation string
	Expires      time.Time
	epoch        uint64
}

// Valid reports whether the token may still be used. It must be checked immediately before a request is
// sent: the process may have been suspended, or the request queued, since it was taken.
func (g Grant) Valid(now time.Time) bool { return now.Before(g.Expires) }

// Decision is what an entry decides about a request.
type Decision struct {
	Outcome Outcome
	Grant   Grant
	Retry   time.Duration
	// Prefetch says that more tokens should be asked for, though this request has one.
	Prefetch bool
	// Age is the age of the answer on which a refusal rests.
	Age time.Duration
}

type heldLot struct {
	epoch   uint64
	tokens  uint64
	expires time.Time
}

// holding is what an entry has of an organisation.
type holding struct {
	lots []heldLot
	// epoch is the bucket that tokens came from last; used counts those of it that were used, reported those
	// that the latest question reported.
	epoch, used, reported uint64
	// asking says that question seq is unanswered; it was sent at sentAt.
	asking  bool
	sent    Question
	sentAt  time.Time
	waiting int
	// returned, requests and programs are counts for the next question.
	returned, requests, programs uint64
	// rate is the rate of requests per second as of rateAt.
	rate   float64
	rateAt time.Time
	// admitted is the number of programs that answers have admitted and that have not begun yet.
	admitted    uint64
	askPrograms bool
	perProgram  float64
	// closed is why and until when requests are refused without a question, programsClosedUntil
	// until when new programs are.
	closed              Outcome
	closedUntil         time.Time
	programsClosedUntil time.Time
	retryAt             time.Time
	programsRetryAt     time.Time
	answeredAt          time.Time
}

// Holdings holds the tokens of one entry. It is not safe for concurrent use.
type Holdings struct {
	from     string
	seq      uint64
	version  uint64
	limits   map[string]Limit
	holdings map[string]*holding
}

// NewHoldings returns the Holdings of an incarnation of an entry.
func NewHoldings(from string) *Holdings {
	return &Holdings{from: from, limits: map[string]Limit{}, holdings: map[string]*holding{}}
}

// SetLimits replaces the limits by those of a newer version of the document.
func (h *Holdings) SetLimits(version uint64, limits []Limit) {
	if version <= h.version {
		return
	}
	h.version = version
	h.limits = make(map[string]Limit, len(limits))
	for _, l := range limits {
		if l.PerSecond > 0 {
			h.limits[l.Organisation] = l
		}
	}
	for organisation := range h.holdings {
		if _, limited := h.limits[organisation]; !limited {
			delete(h.holdings, organisation)
		}
	}
}

// Limit returns the limit of an organisation. ok is false if it has none.
func (h *Holdings) Limit(organisation string) (l Limit, ok bool) {
	l, ok = h.limits[organisation]
	return l, ok
}

// Take takes a token for a request. After Ask, the caller sends a question, or waits for the
// answer to the one that is under way, and takes again; again says so.
func (h *Holdings) Take(now time.Time, organisation string, newProgram, again bool) Decision {
	if _, limited := h.limits[organisation]; !limited {
		return Decision{Outcome: Unlimited}
	}
	e := h.holdings[organisation]
	if e == nil {
		e = &holding{rateAt: now}
		h.holdings[organisation] = e
	}
	if !again {
		e.arrived(now)
	}
	age := now.Sub(e.answeredAt)
	switch {
	case newProgram && e.admitted == 0 && now.Before(e.programsClosedUntil):
		return Decision{Outcome: ProgramsOverLimit, Retry: e.programsRetryAt.Sub(now), Age: age}
	case newProgram && e.askPrograms && e.admitted == 0:
		if now.Before(e.closedUntil) {
			return Decision{Outcome: e.closed, Retry: e.retryAt.Sub(now), Age: age}
		}
		return Decision{Outcome: Ask}
	}
	for i := range e.lots {
		l := &e.lots[i]
		if l.tokens == 0 || !now.Before(l.expires) {
			continue
		}
		l.tokens--
		if l.epoch == e.epoch && l.epoch != 0 {
			e.used++
		}
		e.requests++
		switch {
		case newProgram && e.admitted > 0:
			e.admitted--
		case newProgram:
			e.programs++
		}
		return Decision{
			Outcome: Granted, Grant: Grant{Organisation: organisation, Expires: l.expires, epoch: l.epoch}, Prefetch: e.prefetch(now),
		}
	}
	if now.Before(e.closedUntil) {
		return Decision{Outcome: e.closed, Retry: e.retryAt.Sub(now), Age: age}
	}
	return Decision{Outcome: Ask}
}

// arrived updates the rate of requests.
func (e *holding) arrived(now time.Time) {
	e.rate = e.rateNow(now) + 1/arrivalRetention.Seconds()
	e.rateAt = now
}

func (e *holding) rateNow(now time.Time) float64 {
	return e.rate * math.Exp(-max(0, now.Sub(e.rateAt)).Seconds()/arrivalRetention.Seconds())
}

// held returns the tokens of the bucket that may still be used, and those of all.
func (e *holding) held(now time.Time) (bucket, all uint64) {
	for _, l := range e.lots {
		if now.Before(l.expires) {
			all += l.tokens
			if l.epoch == e.epoch {
				bucket += l.tokens
			}
		}
	}
	return bucket, all
}

// prefetch reports whether the tokens held will soon not suffice, at the rate of the last requests.
func (e *holding) prefetch(now time.Time) bool {
	rate := e.rateNow(now)
	if e.asking || rate*prefetchTime.Seconds() < minPrefetch || now.Before(e.closedUntil) {
		return false
	}
	_, held := e.held(now.Add(prefetchBelow / 2))
	return float64(held) < rate*prefetchBelow.Seconds()
}

// Question returns the next question about an organisation, for which waiting requests wait. ok is false if one
// is under way. It must be sent at once: leases count from now.
func (h *Holdings) Question(now time.Time, organisation string, waiting int, newProgram bool) (q Question, ok bool) {
	e := h.holdings[organisation]
	if e == nil || e.asking {
		return Question{}, false
	}
	want := uint64(max(waiting, 1))
	_, all := e.held(now)
	if ahead := e.rateNow(now) * prefetchTime.Seconds(); ahead >= minPrefetch {
		want += uint64(max(0, math.Ceil(ahead)-float64(all)))
	}
	e.waiting = waiting
	return h.question(now, e, organisation, want, newProgram), true
}

func (h *Holdings) question(now time.Time, e *holding, organisation string, want uint64, newProgram bool) Question {
	h.seq++
	bucket, _ := e.held(now)
	e.sent = Question{
		Organisation: organisation, From: h.from, Seq: h.seq, Epoch: e.epoch, Used: e.used, Held: bucket, Returned: e.returned,
		Requests: e.requests, Programs: e.programs, Want: want, NewProgram: newProgram, PerProgram: e.perProgram,
		Ahead: want > uint64(max(e.waiting, 1)),
	}
	e.asking, e.sentAt, e.reported = true, now, e.used
	e.returned = 0 // not repeated: if the answer is lost, they may have been credited
	kept := e.lots[:0]
	for _, l := range e.lots {
		if l.tokens > 0 && now.Before(l.expires) {
			kept = append(kept, l)
		}
	}
	e.lots = kept
	return e.sent
}

// Renew replaces the question that is under way by one for another entry, since the one that was asked did not answer
// or could not tell; it asks for no more than the requests that wait. Tokens in a late answer to the former one are never used.
func (h *Holdings) Renew(now time.Time, organisation string) (q Question, ok bool) {
	e := h.holdings[organisation]
	if e == nil || !e.asking {
		return Question{}, false
	}
	return h.question(now, e, organisation, uint64(max(e.waiting, 1)), e.sent.NewProgram), true
}

// Answered applies the answer to a question. It returns whether the answer is one to the question under way.
func (h *Holdings) Answered(now time.Time, organisation string, a Answer) bool {
	e := h.holdings[organisation]
	if e == nil || !e.asking || e.sent.Seq != a.Seq {
		return false
	}
	q := e.sent
	e.asking, e.answeredAt = false, now
	e.askPrograms = a.AskPrograms
	if a.PerProgram > 0 {
		e.perProgram = a.PerProgram
	}
	if a.Epoch != 0 {
		if a.Epoch != e.epoch {
			e.epoch, e.used, e.reported = a.Epoch, 0, 0
		}
	}
	if a.Outcome != Unknown {
		e.requests -= q.Requests
		e.programs -= q.Programs
	}
	switch a.Outcome {
	case Granted:
		e.lots = append(e.lots, heldLot{epoch: a.Epoch, tokens: a.Count, expires: e.sentAt.Add(Lease)})
		if q.NewProgram {
			e.admitted++
		}
	case Unlimited:
		e.lots = append(e.lots, heldLot{tokens: q.Want, expires: e.sentAt.Add(Lease)})
		if q.NewProgram {
			e.admitted++
		}
	case ProgramsOverLimit:
		e.programsClosedUntil, e.programsRetryAt = now.Add(max(minClosed, min(a.Retry, maxClosed))), now.Add(a.Retry)
	case OverLimit:
		e.closed, e.closedUntil, e.retryAt = OverLimit, now.Add(max(minClosed, a.Closed)), now.Add(a.Retry)
	default:
		e.closed, e.closedUntil, e.retryAt = Unknown, now.Add(unknownClosed), now.Add(unknownRetry)
	}
	return true
}

// Unanswered ends the question under way: none of the entries that may grant has answered.
func (h *Holdings) Unanswered(now time.Time, organisation string) {
	if e := h.holdings[organisation]; e != nil && e.asking {
		h.Answered(now, organisation, Answer{Seq: e.sent.Seq, AskPrograms: e.askPrograms})
	}
}

// Return gives back a token whose request no upstream ran.
func (h *Holdings) Return(now time.Time, g Grant) {
	e := h.holdings[g.Organisation]
	if e == nil || g.epoch == 0 || g.epoch != e.epoch {
		return
	}
	if e.used > e.reported && g.Valid(now) {
		// The grantor has not been told of its use, so the token may simply be used again.
		e.used--
		e.lots = append(e.lots, heldLot{epoch: g.epoch, tokens: 1, expires: g.Expires})
		return
	}
	e.returned++
}

// Sweep forgets organisations that have had no request for some time. It is called about once a second.
func (h *Holdings) Sweep(now time.Time) {
	for organisation, e := range h.holdings {
		if !e.asking && now.Sub(e.rateAt) > idleRetention {
			delete(h.holdings, organisation)
		}
	}
}
