package eventlog

import "github.com/sirupsen/logrus"

// Events of the entry process.
var (
	EntryStarted = register(1001, "entry_started", logrus.InfoLevel,
		"The entry listens and has joined; it takes work once it is ready.")
	EntryReady = register(1002, "entry_ready", logrus.InfoLevel,
		"The entry knows the preset in force and takes new work.")
	EntryNotReady = register(1003, "entry_not_ready", logrus.WarnLevel,
		"The entry takes no new work; the detail says why.")
	EntryStopping = register(1004, "entry_stopping", logrus.InfoLevel,
		"A graceful shutdown has begun: readiness is off, work under way finishes.")
	EntryStopped = register(1005, "entry_stopped", logrus.InfoLevel,
		"The entry has handed its programs over, sealed its log and exits.")
	EntryShutdownBoundReached = register(1006, "entry_shutdown_bound_reached", logrus.ErrorLevel,
		"The shutdown's time bound passed with work under way; count is the number of calls cut.")
	RequestRefused = register(1007, "request_refused", logrus.DebugLevel,
		"A caller's request was refused; code and outcome say how.")
	RequestFailed = register(1008, "request_failed", logrus.ErrorLevel,
		"A caller's request met an internal error. Report it with the trace.")
	RequestUnauthorized = register(1009, "request_unauthorized", logrus.WarnLevel,
		"A request showed no token, or an unknown one.")
	CallerGone = register(1010, "caller_gone", logrus.DebugLevel,
		"The caller closed its connection before the answer ended; the turn goes on.")
	CallForwarded = register(1011, "call_forwarded", logrus.DebugLevel,
		"A call went to the program's home at the peer.")
	CallRelayed = register(1012, "call_relayed", logrus.InfoLevel,
		"The home can't be reached from here; the call went through the peer.")
	HomeUnreachable = register(1013, "home_unreachable", logrus.WarnLevel,
		"No way to the program's home was found; the caller was told to come back.")
	CallRetried = register(1014, "call_retried", logrus.InfoLevel,
		"A repeatable call was sent again after a failure at the peer.")
	RetryBudgetExhausted = register(1015, "retry_budget_exhausted", logrus.WarnLevel,
		"A call was given up since retries have used their share of requests.")
	CircuitOpened = register(1016, "circuit_opened", logrus.WarnLevel,
		"Calls to the upstream stop after repeated failures; one probe at a time tests it.")
	CircuitClosed = register(1017, "circuit_closed", logrus.InfoLevel,
		"A probe succeeded; the upstream takes calls again.")
	RequestSuspected = register(1018, "request_suspected", logrus.WarnLevel,
		"An upstream failed while it ran the request; the next try runs alone elsewhere.")
	RequestQuarantined = register(1019, "request_quarantined", logrus.ErrorLevel,
		"A request has crashed upstreams twice and is refused everywhere; detail is its fingerprint.")
	SideUnreachable = register(1020, "side_unreachable", logrus.WarnLevel,
		"A side does not answer; its upstream gets no calls.")
	SideReachable = register(1021, "side_reachable", logrus.InfoLevel,
		"A side answers again.")
	SideDraining = register(1022, "side_draining", logrus.InfoLevel,
		"A side has closed its gate; its upstream gets no new calls.")
	TLSReloaded = register(1023, "tls_reloaded", logrus.InfoLevel,
		"Certificates were read again after a change.")
	TLSReloadFailed = register(1024, "tls_reload_failed", logrus.ErrorLevel,
		"Changed certificates can't be used; the former ones stay in use.")
	RingFull = register(1025, "ring_full", logrus.WarnLevel,
		"A ring between duties is full; its producers wait and admission refuses. Detail names it.")
	AnswerForOtherCall = register(1026, "answer_crossed", logrus.ErrorLevel,
		"An answer carried another call's id and was dropped; the call is sent again.")
	AnswerCut = register(1027, "answer_cut", logrus.WarnLevel,
		"An answer's stream ended early; it is resumed by offset or the call is sent again.")
	WorkerFailed = register(1029, "duty_failed", logrus.ErrorLevel,
		"A duty failed to handle an event; the step names the duty. Report it with the cause.")
	RequestCleared = register(1030, "request_cleared", logrus.InfoLevel,
		"A suspected request ran alone to its end and is no longer suspected.")
	AdmissionOverloaded = register(1028, "admission_overloaded", logrus.WarnLevel,
		"New work is refused since it can't finish in its callers' patience.")
)
