// Package faulttrial runs buckthorn-entry and buckthorn-side as separate processes over
// loopback under load and injects faults: it kills, stops and drains processes and makes
// the platform unavailable. The stand-ins for the platform and the upstreams run in the
// process of the trial and count what the upstreams executed. The report has counts, of
// which four must be zero: lost turns, double actions, false "not run" and cut requests.
// Only fault trials use this package.
package faulttrial
