// Package faulttrial runs the real programs as separate processes over loopback,
// puts a load on them, and breaks them: it kills, stops and drains processes and
// takes the platform away, while the stand-ins, which live in the trial's own
// process, count what the upstreams executed. It reports counts; four of them must
// be zero. Only trials use it.
package faulttrial
