package eventlog

import "github.com/sirupsen/logrus"

// Events of an entry whose callers run their programs themselves.
var (
	GatewayStarted = register(9001, "gateway_started", logrus.InfoLevel,
		"The process listens; detail is its address and its incarnation.")
	GatewayStopping = register(9002, "gateway_stopping", logrus.InfoLevel,
		"A graceful shutdown has begun; count is the number of running calls.")
	GatewayStopped = register(9003, "gateway_stopped", logrus.InfoLevel,
		"The process exits; took is how long it ran.")
	GatewayReloaded = register(9004, "gateway_reloaded", logrus.InfoLevel,
		"Changed settings were loaded and are in force.")
	GatewayReloadFailed = register(9005, "gateway_reload_failed", logrus.ErrorLevel,
		"Changed settings can't be used; the previous ones stay in force.")
	GatewayListenerFailed = register(9006, "gateway_listener_failed", logrus.ErrorLevel,
		"A listener failed; peer is its address.")
	GatewayTableDirectLost = register(9007, "gateway_table_direct_lost", logrus.WarnLevel,
		"The platform's table does not answer this entry; requests to it go through other entries until it answers this entry again.")
	GatewayTableDirectRestored = register(9008, "gateway_table_direct_back", logrus.InfoLevel,
		"The platform's table answers this entry directly again.")
	GatewayTableLost = register(9009, "gateway_table_lost", logrus.ErrorLevel,
		"The platform's table can't be reached, directly or through other entries; calls continue with the state in memory.")
	GatewayTableRestored = register(9010, "gateway_table_back", logrus.InfoLevel,
		"The platform's table can be reached again.")
	GatewayHistoryGone = register(9011, "gateway_history_gone", logrus.InfoLevel,
		"The table no longer has the changes since a version, so all rows under a prefix are read again; count is the version, detail the prefix.")
	GatewayRowMalformed = register(9012, "gateway_row_malformed", logrus.ErrorLevel,
		"A row of the table does not decode; the previous value stays in force. Detail is the key of the row, count its version.")
	GatewayPeerRecovered = register(9013, "gateway_peer_back", logrus.InfoLevel,
		"Messages from an entry that was silent arrive again; peer is the entry.")
)
