package eventlog

import "github.com/sirupsen/logrus"

// Events of membership.
var (
	PeerJoined = register(4001, "peer_joined", logrus.InfoLevel,
		"The first heartbeat of a peer was received.")
	PeerSuspected = register(4002, "peer_suspected", logrus.WarnLevel,
		"No heartbeat of a peer was received for longer than the suspicion time.")
	PeerConfirmedSilent = register(4003, "peer_confirmed_silent", logrus.WarnLevel,
		"Peers in another failure domain receive no heartbeat of the suspected peer either; another entry is now allowed to seal the peer's log.")
	PeerRecovered = register(4004, "peer_heard_again", logrus.InfoLevel,
		"A heartbeat of a suspected peer was received again.")
	PeerRestarted = register(4005, "peer_restarted", logrus.InfoLevel,
		"A peer restarted with a new incarnation.")
	VMLeaving = register(4006, "vm_leaving", logrus.InfoLevel,
		"The platform's VM list marks the VM as leaving; detail is the VM.")
	VMGone = register(4007, "vm_gone", logrus.InfoLevel,
		"The platform's VM list marks the VM as gone; detail is the VM.")
	VMListStale = register(4008, "vm_list_stale", logrus.WarnLevel,
		"The platform's VM list has not been read for too long and may be out of date.")
	DrainOrdered = register(4009, "drain_ordered", logrus.InfoLevel,
		"An operator ordered a VM to drain; peer is the VM, detail the operator, count the version of the order.")
	DrainRevoked = register(4010, "drain_revoked", logrus.InfoLevel,
		"An operator revoked the drain of a VM; peer is the VM, detail the operator, count the version of the order.")
	PeerGone = register(4011, "peer_gone", logrus.InfoLevel,
		"The log of an entry is sealed or deleted; its programs, if any, run on other entries.")
)
