package eventlog

import "github.com/sirupsen/logrus"

// Events of membership.
var (
	PeerJoined = register(4001, "peer_joined", logrus.InfoLevel,
		"A peer was heard for the first time.")
	PeerSuspected = register(4002, "peer_suspected", logrus.WarnLevel,
		"A peer has been silent for longer than the suspicion time.")
	PeerConfirmedSilent = register(4003, "peer_confirmed_silent", logrus.WarnLevel,
		"Peers in another failure domain don't hear it either; its log may be sealed.")
	PeerRecovered = register(4004, "peer_heard_again", logrus.InfoLevel,
		"A suspected peer was heard again.")
	PeerRestarted = register(4005, "peer_restarted", logrus.InfoLevel,
		"A peer came back as a new incarnation.")
	VMLeaving = register(4006, "vm_leaving", logrus.InfoLevel,
		"The platform's list says that the VM is leaving.")
	VMGone = register(4007, "vm_gone", logrus.InfoLevel,
		"The platform's list says that the VM is gone.")
	VMListStale = register(4008, "vm_list_stale", logrus.WarnLevel,
		"The platform's list has not been read for the time in took.")
	DrainOrdered = register(4009, "drain_ordered", logrus.InfoLevel,
		"An operator has ordered the VM in detail to drain.")
	DrainRevoked = register(4010, "drain_revoked", logrus.InfoLevel,
		"An operator has taken back the drain of the VM in detail.")
	PeerGone = register(4011, "peer_gone", logrus.InfoLevel,
		"An entry's log is sealed or deleted; its programs, if any, run elsewhere.")
)
