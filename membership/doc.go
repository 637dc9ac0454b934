// Package membership tracks which entries are members of the cluster, detects the ones that
// have failed, and decides when this process should attempt to take over the home log of
// another. It also tracks which VMs accept no new work. A home log is the write-ahead log of
// one incarnation of an entry, which is called the holder of the log. Log ids therefore
// identify incarnations.
//
// Each process sends heartbeats to a few others, its watchers, which are chosen by rendezvous
// hashing; their number grows with the logarithm of the number of members. Updates (joins,
// shutdowns, gates of VMs) are piggybacked on the heartbeats. A watcher that misses heartbeats
// suspects the member and probes it through peers in other failure domains. A log is taken over
// only if such peers confirm the failure, if the platform's list shows the VM as gone, or if a
// newer incarnation of the same node runs. These rules only decide when to attempt a takeover.
// A takeover seals the log against further appends and so fences the old holder; a wrong
// suspicion therefore does no harm.
//
// Machine is a pure state machine: it uses no goroutine, socket, clock or random source. Its
// driver passes it messages and carries out the effects that it returns.
package membership
