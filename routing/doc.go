// Package routing decides which upstream runs a call. It does no I/O, starts no
// goroutine, reads no clock and uses no global random source, and no decision depends
// on the iteration order of a map.
//
// There are two ways to route. State tracks what an entry knows of upstreams that send
// load reports: the last report, the entry's own calls since then, the estimated cache
// content, and observed failures and slowness. It returns Candidates, from which a
// Policy chooses for model calls and Services for calls to application engines.
//
// Balancer is for upstreams that send no load reports. It counts the calls of this and
// the other entries at each upstream, estimates latencies, failure rates and cache
// content from finished calls, and chooses the upstream of least estimated cost.
package routing
