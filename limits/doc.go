// Package limits keeps the rates of requests that upstreams in need accept from all entries together.
// An upstream names its limit in its answers, for as long as it is in need. Known holds what an entry
// knows of limits, from answers that it has received and from other entries. Grants is for the one
// entry that grants the sends to a limited upstream: it schedules them.
//
// The package uses no goroutine, socket or clock.
package limits
