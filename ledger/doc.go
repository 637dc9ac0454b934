// Package ledger keeps the token budgets of programs over many entries.
//
// The row of a program in the platform's table says how many tokens each entry has
// drawn. An entry draws a lump by compare-and-swap and then reserves and settles
// turns against it in memory, so that most turns cost no write. A lump that is lost
// with its entry stays drawn: a budget may be spent too early, never twice.
//
// While the table can't be reached, the program's owner, an entry found by
// rendezvous hashing, may advance tokens against its own record of what was drawn.
//
// The package is pure: no goroutine, socket or clock.
package ledger
