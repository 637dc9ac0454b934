// Package faulttrial runs buckthorn-entry and buckthorn-side as separate processes over
// loopback under load and injects faults: it kills, stops and drains processes and makes
// the platform unavailable. The stand-ins for the platform and the upstreams run in the
// process of the trial and count what the upstreams executed. Four counts of the report
// must be zero: turns that were lost, actions executed more than once, requests that ran
// although they were reported as not run, and requests cut during a graceful shutdown.
// Only fault trials use this package.
package faulttrial
