package eventlog

import "github.com/sirupsen/logrus"

// Events of the side process.
var (
	SideStarted = register(2001, "side_started", logrus.InfoLevel,
		"The side listens and its gate is closed until the upstream answers.")
	SideGateOpened = register(2002, "side_gate_opened", logrus.InfoLevel,
		"The gate is open; the upstream gets calls.")
	SideGateClosed = register(2003, "side_gate_closed", logrus.InfoLevel,
		"The gate is closed to new work; the detail says by whom: list, operator, signal or silence.")
	SideDrained = register(2004, "side_drained", logrus.InfoLevel,
		"The last call at the upstream has ended after the gate closed.")
	SideStopped = register(2005, "side_stopped", logrus.InfoLevel,
		"The side exits.")
	SideShutdownBoundReached = register(2006, "side_shutdown_bound_reached", logrus.ErrorLevel,
		"The shutdown's time bound passed with calls running; count is the number of calls cut.")
	UpstreamFailed = register(2007, "upstream_failed", logrus.ErrorLevel,
		"The upstream failed or closed the connection; running calls end with their outcome unknown.")
	UpstreamRecovered = register(2008, "upstream_recovered", logrus.InfoLevel,
		"The upstream answers again.")
	OrderForwarded = register(2009, "order_obeyed", logrus.InfoLevel,
		"An order was passed to the upstream; count is its fencing number.")
	OrderFenced = register(2010, "order_fenced", logrus.WarnLevel,
		"An order with an old fencing number was refused; count is that number.")
	HoldGranted = register(2011, "hold_granted", logrus.DebugLevel,
		"KV cache is held for the program.")
	HoldReleased = register(2012, "hold_released", logrus.DebugLevel,
		"A hold was released at the home's word.")
	HoldExpired = register(2013, "hold_lapsed", logrus.WarnLevel,
		"A hold was released since its home did not renew it.")
	HoldReclaimed = register(2014, "hold_reclaimed", logrus.WarnLevel,
		"The engine held cache that no home renewed after a restart; it was released.")
	HoldFenced = register(2015, "hold_fenced", logrus.WarnLevel,
		"A renewal with an old fencing number was refused; another entry has adopted the program.")
	HoldRefused = register(2016, "hold_refused", logrus.DebugLevel,
		"A hold was refused by the limit of tokens or of leases.")
	CacheEventGap = register(2017, "cache_event_gap", logrus.InfoLevel,
		"Cache events were missed; a snapshot was asked for.")
	CallCancelled = register(2018, "call_cancelled", logrus.DebugLevel,
		"A call was cancelled and its place in the batch is free.")
	QueueFull = register(2019, "queue_full", logrus.WarnLevel,
		"Calls are refused since the queue at the side is full.")
	WeightsFetched = register(2020, "weights_fetched", logrus.InfoLevel,
		"Weights were fetched from the weight store; took is the time.")
	WeightsRateLimited = register(2021, "weights_rate_limited", logrus.WarnLevel,
		"The weight store refused a fetch by its rate; it is tried again.")
)
