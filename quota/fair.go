package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fairRetention is the time constant of the counts of requests. It is short against a surge of some seconds
	// and long against the gaps between the requests of a usual organisation.
	fairRetention = 2 * time.Second
	// peerRetention is how long the counts of another entry are used: a peer counts as silent after it.
	peerRetention = time.Second
	// minServedPart is the part of the mean chance that each organisation keeps. The customers' bound is a
	// quarter; the rest is for counts that are up to a digest old.
	minServedPart = 0.4
	// fairCredit bounds the requests that an organisation may be served at once beyond its share.
	fairCredit = 3
)

// Offered is what an organisation has offered an entry recently, in requests per fairRetention.
type Offered struct {
	Organisation string
	Requests     float64
}

type offered struct {
	requests float64
	at       time.Time
	// credit decides which requests are served: each adds its organisation's chance and a served one takes 1.
	credit float64
	// refused counts offers refused for the share since the last served one.
	begun bool
}

type peerOffers struct {
	offers []Offered
	at     time.Time
}

// Fair divides scarce capacity among organisations, so that the surge of one within its limit does not
// crowd out others: it lowers the chance of those that offer most. It is not safe for concurrent use.
type Fair struct {
	own   map[string]*offered
	peers map[string]peerOffers
}

// NewFair returns a Fair that has counted nothing.
func NewFair() *Fair { return &Fair{own: map[string]*offered{}, peers: map[string]peerOffers{}} }

// Offer counts a request of an organisation and reports whether it should be admitted, while the capacity
// suffices for a part of what is offered. A part of 1 or more admits all.
func (f *Fair) Offer(now time.Time, organisation string, part float64) bool {
	o := f.own[organisation]
	if o == nil {
		o = &offered{at: now}
		f.own[organisation] = o
	}
	o.requests, o.at = o.now(now)+1, now
	if part >= 1 {
		o.credit = 0
		return true
	}
	chance := f.Chance(now, organisation, part)
	if !o.begun {
		o.begun, o.credit = true, 1-chance // the first request of an organisation is served
	}
	o.credit = min(fairCredit, o.credit+chance)
	if o.credit < 1-1e-9 {
		return false
	}
	o.credit--
	return true
}

func (o *offered) now(now time.Time) float64 {
	return o.requests * math.Exp(-max(0, now.Sub(o.at)).Seconds()/fairRetention.Seconds())
}

// Chance returns the part of an organisation's requests that is to be served: the capacity is divided
// so that all get the same number, except those that need less, which are served in full.
func (f *Fair) Chance(now time.Time, organisation string, part float64) float64 {
	total := map[string]float64{}
	for name, o := range f.own {
		total[name] += o.now(now)
	}
	for _, p := range f.peers {
		if now.Sub(p.at) < peerRetention {
			for _, o := range p.offers {
				total[o.Organisation] += o.Requests
			}
		}
	}
	all := make([]float64, 0, len(total))
	sum := 0.0
	for _, n := range total {
		all = append(all, n)
		sum += n
	}
	least := minServedPart * part
	if total[organisation] <= 0 {
		return 1
	}
	slices.Sort(all)
	// What each organisation gets at the least is taken from the capacity before the rest is divided.
	left, level := (part-least)*sum, 0.0
	for i, n := range all {
		need := n * (1 - least)
		if level = left / float64(len(all)-i); need > level {
			break
		}
		left -= need
	}
	return min(1, least+level/total[organisation])
}

// Report returns what the most offering organisations have offered this entry, for other entries.
func (f *Fair) Report(now time.Time, most int) []Offered {
	out := make([]Offered, 0, len(f.own))
	for name, o := range f.own {
		if n := o.now(now); n >= 0.1 {
			out = append(out, Offered{name, n})
		} else {
			delete(f.own, name)
		}
	}
	slices.SortFunc(out, func(a, b Offered) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Organisation, b.Organisation))
	})
	return out[:min(most, len(out))]
}

// Receive applies the report of another entry.
func (f *Fair) Receive(now time.Time, peer string, offers []Offered) {
	f.peers[peer] = peerOffers{offers, now}
	for name, p := range f.peers {
		if now.Sub(p.at) > peerRetention {
			delete(f.peers, name)
		}
	}
}
