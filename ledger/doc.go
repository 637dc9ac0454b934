// Package ledger accounts for the token budgets of programs whose turns are served by
// several entries. docs/design/budget.md describes the protocol.
//
// The budget row of a program in the platform's table shows how many tokens are used, reserved for
// turns in progress, or drawn as a block by one incarnation of an entry. Program holds what one
// entry knows of a program and plans changes of the row; Row.Apply carries them out, and may be
// repeated when the answer to a write was lost.
//
// While the row can't be reached, the owner of the budget may claim up to the tokens of one turn for a
// program in all. A majority of its witnesses knows each claim until the row shows it.
//
// The package starts no goroutine and uses neither sockets nor clocks.
package ledger
