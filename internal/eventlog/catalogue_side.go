package eventlog

import "github.com/sirupsen/logrus"

// Events of the side process.
var (
	SideStarted = register(2001, "side_started", logrus.InfoLevel,
		"The side listens; detail is its address. Its admission gate is open unless side_gate_closed is logged.")
	SideGateOpened = register(2002, "side_gate_opened", logrus.InfoLevel,
		"The admission gate is open; the upstream gets calls.")
	SideGateClosed = register(2003, "side_gate_closed", logrus.InfoLevel,
		"The admission gate is closed to new calls; detail is the cause in words: the platform lists the VM as leaving, an operator drains the VM, the process is stopping, or no message from an entry or the platform arrived within silence_limit.")
	SideDrained = register(2004, "side_drained", logrus.InfoLevel,
		"The admission gate is closed and the last call at the upstream has ended.")
	SideStopped = register(2005, "side_stopped", logrus.InfoLevel,
		"The side exits.")
	SideShutdownBoundReached = register(2006, "side_shutdown_bound_reached", logrus.ErrorLevel,
		"The shutdown reached its time limit while calls were running; count is the number of calls cut off.")
	UpstreamFailed = register(2007, "upstream_failed", logrus.ErrorLevel,
		"The upstream failed or closed the connection; running calls end with outcome unknown.")
	UpstreamRecovered = register(2008, "upstream_recovered", logrus.InfoLevel,
		"The upstream answers again.")
	OrderForwarded = register(2009, "order_obeyed", logrus.InfoLevel,
		"The upstream executed an order; detail is the id of the order.")
	OrderRefused = register(2010, "order_fenced", logrus.WarnLevel,
		"An order was refused for any reason, such as an old fencing number, or its outcome is unknown; detail is the id of the order. The answer to the order states the reason.")
	HoldGranted = register(2011, "hold_granted", logrus.DebugLevel,
		"The engine holds the KV cache of the program; took is the remaining time of the lease.")
	HoldReleased = register(2012, "hold_released", logrus.DebugLevel,
		"A hold was released because the program's home asked for it.")
	HoldExpired = register(2013, "hold_lapsed", logrus.WarnLevel,
		"A hold ended because the program's home did not renew its lease in time, or because the engine lost the cache; detail states the latter.")
	HoldReclaimed = register(2014, "hold_reclaimed", logrus.WarnLevel,
		"The engine held KV cache without a lease, such as after a restart of the side, and no home renewed it within the lease time; it was released.")
	HoldFenced = register(2015, "hold_fenced", logrus.WarnLevel,
		"The renewal of a hold with an old fencing number was refused; another entry has taken over the program.")
	HoldRefused = register(2016, "hold_refused", logrus.DebugLevel,
		"A hold was refused; code states why, such as the limit on tokens or on leases, or an old fencing number.")
	CacheEventGap = register(2017, "cache_event_gap", logrus.InfoLevel,
		"Cache events are missing; a snapshot was requested.")
	CallCancelled = register(2018, "call_cancelled", logrus.DebugLevel,
		"A call was cancelled; its slot in the batch is free.")
	QueueFull = register(2019, "queue_full", logrus.WarnLevel,
		"Calls are refused because the queue at the side is full.")
	WeightsFetched = register(2020, "weights_fetched", logrus.InfoLevel,
		"Weights were fetched from the weight store; took is the duration of the fetch.")
	WeightsRateLimited = register(2021, "weights_rate_limited", logrus.WarnLevel,
		"The weight store refused a fetch because of its rate limit; the fetch is retried.")
)
