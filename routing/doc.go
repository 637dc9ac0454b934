// Package routing decides which upstream runs a call. It does no I/O, starts no
// goroutine, reads no clock and uses no global random source, and no decision depends
// on the iteration order of a map.
//
// There are two ways to route, with types of their own. State tracks what an entry knows
// of upstreams whose sides (the process beside each upstream) send load reports: the last
// report, the entry's own calls since then, the estimated cache content, and observed
// failures and slowness. It returns Candidates, from which a Policy chooses for model calls
// and Services for calls to application engines. Hedger decides about second attempts of
// slow calls, and Placement about the models that engines load.
//
// Balancer is for upstreams that send no load reports. It counts the calls of this and
// the other entries at each upstream, estimates latencies, failure rates and cache
// content from its own calls and the digests of other entries, and chooses the upstream of
// least estimated cost. A digest is the periodic message by which an entry reports its
// calls to the others.
package routing
