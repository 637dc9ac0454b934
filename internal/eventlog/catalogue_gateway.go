package eventlog

import "github.com/sirupsen/logrus"

// Events of an entry on which callers drive their own programs.
var (
	GatewayStarted = register(9001, "gateway_started", logrus.InfoLevel,
		"The process listens; detail is its address and the name of this life.")
	GatewayStopping = register(9002, "gateway_stopping", logrus.InfoLevel,
		"A graceful shutdown began; count is the number of calls under way.")
	GatewayStopped = register(9003, "gateway_stopped", logrus.InfoLevel,
		"The process ends after the time in took.")
	GatewayReloaded = register(9004, "gateway_reloaded", logrus.InfoLevel,
		"Changed settings are in force.")
	GatewayReloadFailed = register(9005, "gateway_reload_failed", logrus.ErrorLevel,
		"Changed settings can't be used; the former ones stay in force.")
	GatewayListenerFailed = register(9006, "gateway_listener_failed", logrus.ErrorLevel,
		"A listener ended; peer is its address.")
	GatewayTableDirectLost = register(9007, "gateway_table_direct_lost", logrus.WarnLevel,
		"The table does not serve this entry; it is asked through other entries meanwhile.")
	GatewayTableDirectRestored = register(9008, "gateway_table_direct_back", logrus.InfoLevel,
		"The table serves this entry again.")
	GatewayTableLost = register(9009, "gateway_table_lost", logrus.ErrorLevel,
		"The table can't be reached by any way; calls go on from memory.")
	GatewayTableRestored = register(9010, "gateway_table_back", logrus.InfoLevel,
		"The table is reached again.")
	GatewayHistoryGone = register(9011, "gateway_history_gone", logrus.InfoLevel,
		"The table no longer has the changes since version count; detail is read anew.")
	GatewayRowMalformed = register(9012, "gateway_row_malformed", logrus.ErrorLevel,
		"A row, named in detail with its version in count, does not decode; what was in force stays.")
	GatewayPeerRecovered = register(9013, "gateway_peer_back", logrus.InfoLevel,
		"An entry that was silent is heard again.")
)
