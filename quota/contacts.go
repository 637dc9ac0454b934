package quota

import "time"

// Peer is another entry that has to be counted: it is listed or was heard from, and has not announced its end.
type Peer struct {
	Name string
	// InTouch says that its digests arrive and that it may grant.
	InTouch bool
}

// Contacts keeps which entries are in touch, for the share of the limits that this one may grant. Each entry must
// count in the share of one grantor only; when entries change sides in partitions, the former grantor
// counts them until it notices. It is not safe for concurrent use.
type Contacts struct {
	start, stable time.Time
	since         map[string]time.Time
	peers         int
}

// NewContacts returns the Contacts of an entry that starts now.
func NewContacts(now time.Time) *Contacts {
	return &Contacts{start: now, stable: now, since: map[string]time.Time{}}
}

// Observe applies the present peers.
func (c *Contacts) Observe(now time.Time, peers []Peer) {
	c.peers = len(peers)
	inTouch := 0
	for _, p := range peers {
		_, before := c.since[p.Name]
		switch {
		case p.InTouch:
			inTouch++
			if !before {
				c.since[p.Name], c.stable = now, now
			}
		case before:
			delete(c.since, p.Name)
			c.stable = now
		}
	}
	if len(c.since) > inTouch { // a peer is not listed any more
		known := make(map[string]bool, len(peers))
		for _, p := range peers {
			known[p.Name] = true
		}
		for name := range c.since {
			if !known[name] {
				delete(c.since, name)
				c.stable = now
			}
		}
	}
}

// Gap records that the entry was suspended, so that others may have changed meanwhile.
func (c *Contacts) Gap(now time.Time) { c.stable = now }

// Stable returns since when the same entries have been in touch.
func (c *Contacts) Stable() time.Time { return c.stable }

// Share returns the part of all entries that have been in touch for RaiseAfter, or since this one started.
func (c *Contacts) Share(now time.Time) float64 {
	n := 1
	for _, since := range c.since {
		if now.Sub(since) >= RaiseAfter || since.Sub(c.start) <= 2*Settle {
			n++
		}
	}
	return float64(n) / float64(c.peers+1)
}
