// Package routing decides which upstream runs a call. It is pure: no goroutine,
// socket, clock or global random source, and no decision depends on the order of a
// map.
//
// State keeps what an entry knows of each upstream: the last load reported, its own
// sends since then, the believed cache and its own experience. It yields Candidates,
// from which a Policy chooses for model calls and Services for calls of application
// engines.
package routing
