// Package homelog decides how one process stores the programs that it runs, and how
// another process takes them over after it has stopped or crashed. Its inputs are entries
// to append, takeover requests, the time and the platform's answers; its outputs are
// requests to the platform's table and object store, and reports of what is durable.
// Sizes are in bytes, rates in writes a second.
//
// A home log is the write-ahead log of one incarnation of a process: records 0, 1, 2, …,
// each created on condition that its row is absent and that the log is unsealed. The
// process whose log holds a program is the program's home, and the owner of the log.
// Another process takes the programs over by sealing the log: it creates the seal record
// at the next number, together with the seal row, which names its own log as the
// successor. The seal fences the old owner. Safety rests on these conditions alone, never
// on clocks.
//
// The seal row also redirects callers: it leads from the log in a program's id to the log
// that holds the program now. It is deleted when no live program needs it any more.
//
// Machine is a pure state machine: it has no goroutine, socket, clock or global random
// source. A driver carries out the effects that Step returns and reports the outcome of
// each request with a Result; internal/committer is such a driver.
package homelog
