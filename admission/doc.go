// Package admission decides which turns are admitted and in which order waiting calls are served.
//
// Machine admits turns at an entry that runs programs itself. A new program's turn must be
// predicted to finish before the caller's deadline, a started program's turn to start before it,
// and organisations share the capacity. NewProgramPolicy is for an entry whose callers run the
// programs: it decides by the load whether a new program may start. Queue orders the calls that
// wait at one upstream.
//
// A block is a number of turns here. In package ledger it is a number of tokens, in package kvcache
// a part of a conversation of BlockTokens tokens.
//
// The package uses no goroutine, socket or clock.
package admission
