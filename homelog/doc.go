// Package homelog decides how one process stores the programs that it runs, and how
// another process takes them over after it has stopped or crashed. A program is a sequence of
// entries with one program id; an entry is an element of the log here, not the process that
// other packages call an entry. The inputs are entries to append, takeover requests, the time
// and the platform's answers; the outputs are requests to the platform's table and object
// store, and reports of what is durable. Sizes are in bytes, rates in writes a second.
//
// A home log is the write-ahead log of one incarnation of a process: records 0, 1, 2, …,
// each created on condition that its row is absent and that the log is unsealed. The process
// that writes a log is its owner, and the home of the programs in it. While the log is
// unsealed, its open row exists. Another process takes the programs over by sealing the log:
// one transaction creates the seal record at the next number and the seal row, which names
// that process's log as the successor, and deletes the open row. This fences the old owner.
//
// The seal row also redirects callers, and is called the redirect row in that role: it leads
// from the log in a program's id to the log that holds the program now. It is deleted when no
// live program needs it any more.
//
// Safety rests on these conditions and on one time limit: no request to the platform is
// delayed on its way for longer than Config.RedirectRetention. It does not depend on
// synchronised clocks.
//
// Machine is a pure state machine: it has no goroutine, socket, clock or global random
// source. A driver carries out the effects that Step returns and reports the outcome of
// each request with a Result; internal/committer is such a driver.
package homelog
