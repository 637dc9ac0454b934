// Package membership decides which processes count as members, which of them are dead
// enough that another should adopt their log, and which VMs take no new work.
//
// Each process sends heartbeats to a few others, its watchers, chosen by rendezvous
// hashing; their number grows with the logarithm of the members. What changes (joins,
// ends, gates of VMs) travels with the heartbeats. A watcher that misses heartbeats asks
// peers in other failure domains; only their confirmation, the platform's list of VMs, or
// a newer incarnation of the same node makes a log fit for adoption. All that decides only
// when to try: the journal's seal keeps a wrong suspicion from doing harm.
//
// Machine is a pure state machine: it has no goroutine, socket, clock or random source.
package membership
