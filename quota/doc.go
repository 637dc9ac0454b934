// Package quota keeps the requests of an organisation within its limit over all entries together. Grants is
// for the entry that grants an organisation's tokens, Holdings for each entry that serves its requests, and
// Fair divides scarce capacity among organisations. docs/design/quota.md derives the bound that they keep.
//
// The package uses no goroutine, socket or clock. Times must carry the monotonic clock of one process.
package quota
