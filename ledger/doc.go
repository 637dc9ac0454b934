// Package ledger accounts for the token budgets of programs whose turns are served by
// several entries.
//
// The budget row of a program in the platform's table records how many tokens each
// incarnation (process lifetime) of an entry has drawn. An entry draws a block of tokens by compare-and-swap
// and then reserves and settles turns against that block in memory, so that most turns
// need no write to the table. A block whose entry crashes stays drawn: a budget may run
// out too early, but drawn tokens are never spent twice.
//
// While the table is unreachable or slow, the program's owner, an entry chosen by
// rendezvous hashing, may grant tokens provisionally and record them in the row later. If
// all entries that know of a provisional grant fail before that, its tokens can be granted
// again.
//
// The package starts no goroutine and uses neither sockets nor clocks.
package ledger
