package gateway

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/limits"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// callPermit is the kind of question that asks for a permit to send a call to a limited upstream.
	callPermit = 'p'
	// permitTimeout bounds the question for a permit; without an answer the call goes elsewhere. The
	// question is sent again once within it.
	permitTimeout = 70 * time.Millisecond
	// permitRetry is how long no permit is asked for after a question without an answer.
	permitRetry = 200 * time.Millisecond
	// maxPermitQuestions bounds the upstreams for which one call asks, first among those that may
	// accept it now and then among all.
	maxPermitQuestions = 4
	// patienceStarted and patienceNew are how long a call of a program that has started, and any other
	// call, may wait for a limited upstream when no other is left.
	patienceStarted = limits.Horizon
	patienceNew     = 100 * time.Millisecond
	// patienceShare is the part of the time left to a call that it may wait.
	patienceShare = 3
)

// errLimited is returned for a call to upstreams that accept no further one now.
var errLimited = errors.New("the upstreams accept no further call for now")

// Outcomes of a question for a permit, in its answer.
const (
	permitDenied = iota
	permitGranted
	// permitElsewhere means that the asked entry does not grant sends to this upstream.
	permitElsewhere
	permitBits = 2
)

// choosePermitted picks an upstream for the call and, if that is limited, waits for a permit to send
// the call there. It records the call as running there. Upstreams that accept no call now are left
// out, unless there are no others.
func (g *Gateway) choosePermitted(ctx context.Context, j *job) (*relay.Upstream, int, error) {
	tried := len(j.tried)
	for _, j.info.Patience = range []time.Duration{0, j.patience()} {
		for range maxPermitQuestions {
			u, conns, ok := g.choose(j)
			if !ok {
				break
			}
			permitted, err := g.permitted(ctx, j, u)
			if permitted {
				j.tried = append(j.tried[:tried], u.ID)
				return u, conns, nil
			}
			g.unchoose(u)
			if err != nil {
				return nil, 0, err
			}
		}
		j.tried = j.tried[:tried]
	}
	return nil, 0, g.noUpstream(j)
}

// permitted reports whether the call may be sent to the upstream that was chosen: its software is known if
// that matters, and it grants a permit, for which permitted waits, if it is limited.
func (g *Gateway) permitted(ctx context.Context, j *job, u *relay.Upstream) (bool, error) {
	if !g.softwareConfirmed(ctx, j, u) {
		return false, nil
	}
	s, limited := g.limits.statement(incarnationHash(u))
	if !limited {
		return true, nil
	}
	return g.awaitPermit(ctx, j, u, s)
}

// noUpstream returns why no upstream could be chosen, and sets when the caller may return.
func (g *Gateway) noUpstream(j *job) error {
	entries := g.mesh.Size()
	g.mu.Lock()
	defer g.mu.Unlock()
	after, held := g.balancer.RetryAfter(time.Now(), g.candidates(j, g.fleet.Load()), j.tried, entries)
	switch {
	case !held && j.origin != nil:
		g.metrics.streamsStranded.Inc(1)
		return errors.Wrapf(errNoVersion, "version %q of %q", j.origin.Version, j.service)
	case !held:
		return errNoUpstream
	}
	j.limitedFor = after
	return errLimited
}

// unchoose undoes choose for a call that was not sent.
func (g *Gateway) unchoose(u *relay.Upstream) {
	g.mu.Lock()
	g.balancer.Ended(time.Now(), u.ID, routing.OutcomeInconclusive)
	g.mu.Unlock()
}

// patience returns how long the call may wait for a limited upstream if there is no other.
func (j *job) patience() time.Duration {
	if j.started {
		return min(patienceStarted, j.left()/patienceShare)
	}
	return min(patienceNew, j.left()/patienceShare)
}

// permitWaitLimit returns how long the call may wait for a permit at the upstream that was picked:
// until another one would be faster or, if there is none, as long as the call can afford.
func (j *job) permitWaitLimit() time.Duration {
	if j.pick.Alternative && j.info.Patience == 0 {
		return min(j.patience(), j.pick.Margin)
	}
	return j.patience()
}

// awaitPermit asks for a permit to send the call to a limited upstream and waits until it may be used.
// It returns false if there is none soon enough, or the upstream may not be used any more by then.
func (g *Gateway) awaitPermit(ctx context.Context, j *job, u *relay.Upstream, s limits.Statement) (bool, error) {
	asked := time.Now()
	grant, from, err := g.limits.ask(ctx, u, s, j.permitWaitLimit())
	if ctx.Err() != nil {
		return false, endOfCall(ctx)
	}
	if err != nil {
		g.metrics.permitsFailed.Inc(1)
		g.env.Requests.Info("permit_not_answered").Str("request", j.call.ID).Str("upstream", u.ID).Str("from", from).Err(err).End()
	}
	if !grant.Granted {
		g.metrics.permitsDenied.Inc(1)
		g.mu.Lock()
		g.balancer.Hold(u.ID, time.Now().Add(grant.Retry))
		g.mu.Unlock()
		j.permitsDenied++
		return false, nil
	}
	g.metrics.permitsGranted.Inc(1)
	sleep(ctx, grant.Wait)
	j.permitWait += time.Since(asked)
	j.permitFrom, j.limit = from, s.PerSecond
	if ctx.Err() != nil {
		return false, endOfCall(ctx)
	}
	if !g.usable(u) || j.left() <= 0 {
		return false, nil
	}
	g.mu.Lock()
	g.balancer.Permitted(u.ID, &j.info)
	g.mu.Unlock()
	return true, nil
}

// ask asks the entry that grants the sends to an upstream for one within maxWait. It also returns the
// name of that entry.
func (l *upstreamLimits) ask(ctx context.Context, u *relay.Upstream, s limits.Statement, maxWait time.Duration) (limits.Grant, string, error) {
	incarnation, now := incarnationHash(u), time.Now()
	p, eligible := l.grantor(now, incarnation)
	if p == nil {
		self := string(l.g.cfg.Node)
		if !eligible {
			return limits.Grant{Retry: permitRetry}, self, nil
		}
		grant, _ := l.grant(now, incarnation, maxWait)
		return grant, self, nil
	}
	b := binary.AppendUvarint(make([]byte, 0, 32), incarnation)
	b = binary.AppendUvarint(appendStatement(b, now, s), uint64(max(0, maxWait).Milliseconds()))
	v, err := l.g.mesh.Ask(ctx, p, permitTimeout, callPermit, b)
	if err != nil {
		return limits.Grant{Retry: permitRetry}, p.Node, err
	}
	wait := time.Duration(v.Value>>permitBits) * time.Millisecond
	switch v.Value & (1<<permitBits - 1) {
	case permitGranted:
		return limits.Grant{Granted: true, Wait: min(wait, limits.Horizon)}, p.Node, nil
	case permitDenied:
		return limits.Grant{Retry: max(wait, time.Millisecond)}, p.Node, nil
	default:
		return limits.Grant{Retry: permitRetry}, p.Node, errors.New("the entry does not grant sends to the upstream")
	}
}

// grant decides on a send to an upstream. It returns false if another entry grants them.
func (l *upstreamLimits) grant(now time.Time, incarnation uint64, maxWait time.Duration) (limits.Grant, bool) {
	p, eligible := l.grantor(now, incarnation)
	share := 0.0
	if p == nil && eligible {
		share = l.grantShare(now, incarnation)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setShareLocked(incarnation, share)
	if share == 0 {
		return limits.Grant{}, false
	}
	s, limited := l.known.Limit(incarnation)
	if !limited {
		return limits.Grant{Granted: true}, true // the limit has ended
	}
	return l.grants.Reserve(now, incarnation, s.PerSecond, share, maxWait), true
}

// setShareLocked records the share of an upstream's limit that this entry grants; 0 when another one
// grants the sends. l.mu must be held.
func (l *upstreamLimits) setShareLocked(incarnation uint64, share float64) {
	if l.shares[incarnation] == share {
		return
	}
	if share == 0 {
		delete(l.shares, incarnation)
		l.grants.Drop(incarnation)
	} else {
		l.shares[incarnation] = share
	}
	l.g.env.Requests.Info("limit_share").Str("upstream", l.g.fleet.Load().byIncarnation[incarnation]).
		Str("share", strconv.FormatFloat(share, 'g', 2, 64)).Int("entries", int64(l.g.mesh.Size())).End()
}

// permitAnswers holds the answers to the latest questions for permits, by who asked which one: a
// question that is sent again must not take a second permit.
type permitAnswers struct {
	byQuestion map[string]mesh.Answer
	// order holds the keys of byQuestion, the oldest first.
	order []string
}

// maxPermitAnswers covers the questions of the time in which one is sent again, in a burst.
const maxPermitAnswers = 1024

func (a *permitAnswers) get(question string) (mesh.Answer, bool) {
	v, known := a.byQuestion[question]
	return v, known
}

func (a *permitAnswers) put(question string, v mesh.Answer) {
	if a.byQuestion == nil {
		a.byQuestion = map[string]mesh.Answer{}
	}
	if len(a.order) >= maxPermitAnswers {
		delete(a.byQuestion, a.order[0])
		a.order = a.order[1:]
	}
	a.byQuestion[question] = v
	a.order = append(a.order, question)
}

// answerPermit answers another entry's question for a permit. s is the limit as that entry knows it.
func (l *upstreamLimits) answerPermit(question, from string, incarnation uint64, s limits.Statement, maxWait time.Duration) mesh.Answer {
	l.mu.Lock()
	v, known := l.answered.get(question)
	l.mu.Unlock()
	if known {
		return v
	}
	l.receiveStatement(from, incarnation, s)
	l.mu.Lock()
	l.known.Observe(incarnation, s) // also if the upstream is not listed here yet
	l.mu.Unlock()
	grant, here := l.grant(time.Now(), incarnation, maxWait)
	switch {
	case !here:
		v.Value = permitElsewhere
	case grant.Granted:
		v.Value = permitGranted | uint64(grant.Wait.Milliseconds())<<permitBits
	default:
		v.Value = permitDenied | uint64(grant.Retry.Milliseconds())<<permitBits
	}
	l.mu.Lock()
	l.answered.put(question, v)
	l.mu.Unlock()
	return v
}

// grantorKey returns the key by which entries are ranked for an upstream.
func grantorKey(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// grantor returns the entry that grants the sends to an upstream. nil stands for this entry; it is eligible
// if it can.
func (l *upstreamLimits) grantor(now time.Time, incarnation uint64) (best *mesh.Peer, eligible bool) {
	return l.g.mesh.OwnerAmong(mesh.FlagGrants, grantorKey(incarnation), now)
}

// grantShare returns the share of an upstream's limit that this entry grants, as its grantor. While an
// entry that ranks before it is silent, that one may still grant sends to others.
func (l *upstreamLimits) grantShare(now time.Time, incarnation uint64) float64 {
	if l.g.mesh.SilentBefore(mesh.FlagGrants, grantorKey(incarnation), now) {
		return limits.ShareBesideAnother
	}
	return 1
}
