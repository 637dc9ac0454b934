// Package admission decides which calls are let in and in which order those that wait
// are served. Machine lets calls in at an entry: by predicted finish against the
// caller's patience, and by shares of the organisations. Queue orders the calls that
// wait at one upstream. Both are pure: no goroutine, socket or clock.
package admission
