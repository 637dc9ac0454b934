package eventlog

import "github.com/sirupsen/logrus"

// Events of the entry process.
var (
	EntryStarted = register(1001, "entry_started", logrus.InfoLevel,
		"The entry listens and has joined the membership; it accepts work once it is ready. Detail is the id of its home log.")
	EntryReady = register(1002, "entry_ready", logrus.InfoLevel,
		"The home log is open, the entry knows the preset in force, and it reaches the platform or other entries: it accepts new work.")
	EntryNotReady = register(1003, "entry_not_ready", logrus.WarnLevel,
		"The entry accepts no new work; detail states why.")
	EntryStopping = register(1004, "entry_stopping", logrus.InfoLevel,
		"A graceful shutdown has begun: the entry reports that it is not ready, and running work finishes.")
	EntryStopped = register(1005, "entry_stopped", logrus.InfoLevel,
		"The entry has shut down. Its programs were handed over if log_handed_over was logged before.")
	EntryShutdownBoundReached = register(1006, "entry_shutdown_bound_reached", logrus.ErrorLevel,
		"The shutdown reached a time limit. Step states which: drain (turns still ran after 3/4 of shutdown_grace and are handed over), or close API (requests were still open at the end of shutdown_grace and were cut off).")
	RequestRefused = register(1007, "request_refused", logrus.DebugLevel,
		"A caller's request was refused; code and outcome state how.")
	RequestFailed = register(1008, "request_failed", logrus.ErrorLevel,
		"A caller's request failed with an internal error. Report it with the trace.")
	RequestUnauthorized = register(1009, "request_unauthorized", logrus.WarnLevel,
		"A request carried no token or an unknown one.")
	CallerGone = register(1010, "caller_gone", logrus.DebugLevel,
		"The caller closed its connection before the answer ended; the turn continues.")
	CallForwarded = register(1011, "call_forwarded", logrus.DebugLevel,
		"A call was forwarded to the program's home; peer is that entry.")
	CallRelayed = register(1012, "call_relayed", logrus.InfoLevel,
		"This entry can't reach the program's home; the call was relayed by another entry, named in peer.")
	HomeUnreachable = register(1013, "home_unreachable", logrus.WarnLevel,
		"The program's home could not be reached, directly or through another entry; the caller was asked to retry later.")
	CallRetried = register(1014, "call_retried", logrus.InfoLevel,
		"A repeatable call was sent again after it failed at the peer.")
	RetryBudgetExhausted = register(1015, "retry_budget_exhausted", logrus.WarnLevel,
		"A failed call was not retried, because retries have used up their share of the requests.")
	CircuitOpened = register(1016, "circuit_opened", logrus.WarnLevel,
		"The circuit breaker opened after repeated failures: the upstream gets no calls except one probe at a time.")
	CircuitClosed = register(1017, "circuit_closed", logrus.InfoLevel,
		"A probe succeeded; the upstream gets calls again.")
	RequestSuspected = register(1018, "request_suspected", logrus.WarnLevel,
		"An upstream failed while it ran the request; the next attempt runs alone on another upstream. Detail is the fingerprint of the request.")
	RequestQuarantined = register(1019, "request_quarantined", logrus.ErrorLevel,
		"A request has crashed upstreams 2 times and is refused at all entries; detail is its fingerprint.")
	SideUnreachable = register(1020, "side_unreachable", logrus.WarnLevel,
		"A side does not answer; its upstream gets no calls.")
	SideReachable = register(1021, "side_reachable", logrus.InfoLevel,
		"A side answers again.")
	SideDraining = register(1022, "side_draining", logrus.InfoLevel,
		"A side has closed its admission gate; its upstream gets no new calls.")
	TLSReloaded = register(1023, "tls_reloaded", logrus.InfoLevel,
		"Changed certificates were loaded.")
	TLSReloadFailed = register(1024, "tls_reload_failed", logrus.ErrorLevel,
		"Changed certificates can't be used; the previous ones stay in use.")
	RingFull = register(1025, "ring_full", logrus.WarnLevel,
		"A queue between goroutines is full; senders wait and new work is refused. Detail is the name of the queue.")
	AnswerForOtherCall = register(1026, "answer_crossed", logrus.ErrorLevel,
		"An answer carried the id of another call and was dropped; the call is sent again.")
	AnswerCut = register(1027, "answer_cut", logrus.WarnLevel,
		"The stream of an answer ended early; it is resumed from its offset, or the call is sent again.")
	WorkerFailed = register(1029, "duty_failed", logrus.ErrorLevel,
		"A worker failed to handle an internal event; step names the worker. Report it with the error.")
	RequestCleared = register(1030, "request_cleared", logrus.InfoLevel,
		"A request suspected of crashing upstreams ran alone to its end and is no longer suspected; detail is its fingerprint.")
	AdmissionOverloaded = register(1028, "admission_overloaded", logrus.WarnLevel,
		"New work is refused because it can't finish within the time that its callers wait.")
)
