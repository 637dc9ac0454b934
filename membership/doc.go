// Package membership tracks which entries are members of the cluster, detects the ones that
// have failed, and decides when this process should attempt to take over the home log of
// another entry. An entry is one process of the cluster. The inputs are packets of other
// entries, the platform's VM list and its table of open logs, operators' drain orders, and the
// time. The outputs are packets to send, takeovers to attempt, events to report, and changes of
// this process's isolation and of the gates of VMs, which are closed while a VM accepts no new
// work. Times are time.Duration, traffic is in bytes per second, and Gate.Since is in seconds
// of Unix time.
//
// A node is an entry under its permanent name; a member is one incarnation of a node. A home log
// is the write-ahead log of one member, which is the owner of the log, so a log id identifies a
// member.
//
// Each member sends heartbeats to a few others, its watchers, which are chosen by rendezvous
// hashing; their number grows with the logarithm of the number of members. Updates of members
// and gates of VMs are piggybacked on the heartbeats. A watcher that misses heartbeats suspects
// the member and asks peers in failure domains other than its own about it. A log is taken over
// only if such peers confirm the failure, if the platform's list shows the VM as gone, or if a
// newer incarnation of the same node runs. These rules only decide when to attempt a takeover.
// A takeover seals the log against further appends and so fences the old owner: a wrong
// takeover costs a live owner its programs, but two owners never append to one log.
//
// Machine is a pure state machine: it uses no goroutine, socket, clock or random source. Its
// driver passes it messages and carries out the effects that it returns.
package membership
