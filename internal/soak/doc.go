// Package soak is a randomized fault soak test of the gateway. It runs the real
// buckthorn-entry as separate processes on one machine; the tests themselves play the
// callers, the upstreams and the platform's store. A seed decides a series of
// overlapping faults, injected from outside: loopback proxies that delay or reset
// connections or drop bytes in one direction, signals that stop, pause, kill and restart
// processes, and a store that is unavailable, slow or loses answers. At the end the
// tests compare what the callers received with what the upstreams ran.
//
// TestPlannedWork does planned work only, without any fault: stops, reloads and changes of the document.
//
//	go test ./internal/soak                                   # the short run of CI
//	go test ./internal/soak -run Soak -seeds 50 -first 100 -length 12s -timeout 60m
//	go test ./internal/soak -run PlannedWork -seeds 50 -first 100 -length 12s -busy 8 -timeout 60m
package soak
