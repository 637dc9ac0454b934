// Package homelog decides how one process keeps its programs in the platform's
// table and object store.
//
// Each process has, for its life, one log: records 0, 1, 2, … each created on
// condition that its row is absent and that the log is unsealed. The process
// whose log holds a program is the program's home, and the log is called its home
// log. Another process takes the programs over by sealing the log: the seal record
// is created at the next number, together with the row that names the successor.
// Safety rests on those conditions alone, never on clocks.
//
// Machine is a pure state machine: it has no goroutine, socket, clock or global
// random source. A shell carries out the effects that Step returns and reports
// each with a Result; internal/committer is such a shell.
package homelog
