// Package ledger accounts for the token budgets of programs whose turns are served by
// several entries.
//
// The budget row of a program in the platform's table records how many tokens each
// incarnation of an entry has drawn. An entry draws a block of tokens by compare-and-swap
// and then reserves and settles turns against that block in memory, so that most turns
// need no write to the table. A block whose entry crashes stays drawn: a budget may run
// out too early, but it is never spent twice.
//
// While the table is unreachable, the program's owner, an entry chosen by rendezvous
// hashing, may grant tokens provisionally, before they are stored in the row. It records
// them there later.
//
// The package starts no goroutine and uses neither sockets nor clocks.
package ledger
