// Package soak is a randomized fault soak of the gateway: its tests run the real
// buckthorn-entry as separate processes on one machine, between callers, upstreams and
// a table that they play themselves, and break things from outside: loopback proxies
// that delay, reset, cut one way or silence connections, signals that stop, pause, kill
// and restart processes, a table that is away, slow or loses answers. All of it comes in
// series and overlaps, by a seed. What callers and upstreams saw is checked.
//
//	go test ./internal/soak                                   # the short run of CI
//	go test ./internal/soak -run Soak -seeds 50 -first 100 -length 12s -timeout 60m
package soak
