// Package ledger accounts for the token budgets of programs whose turns are served by
// several entries.
//
// The budget row of a program in the platform's table records how many tokens each holder,
// which is one incarnation of an entry, has drawn. An entry draws a block of tokens by
// compare-and-swap and then reserves and settles turns against that block in memory, so that
// most turns need no write to the table. A block whose entry crashes stays drawn: a budget may
// run out too early, but drawn tokens are never spent twice.
//
// The owner of a program's budget is an entry chosen by rendezvous hashing. While the table is
// unreachable or slow, it may grant tokens provisionally, that is before the row records them,
// and record them later. If all entries that know of a provisional grant fail before that, its
// tokens can be granted again.
//
// The package starts no goroutine and uses neither sockets nor clocks.
package ledger
