// Package admission decides which calls are admitted and in which order waiting calls are
// served. Machine admits turns at an entry: a turn must be predicted to finish before the
// caller's deadline, and organisations share the capacity. Queue orders the calls that wait at
// one upstream. NewProgramPolicy decides by the load whether a new program may start. All of
// them use no goroutine, socket or clock.
package admission
