package eventlog

import "github.com/sirupsen/logrus"

// Events of the platform's services, the engines, tool services and stand-ins.
var (
	PlatformSlow = register(7001, "platform_slow", logrus.WarnLevel,
		"A request to the platform was slow; took is its duration.")
	PlatformRateLimited = register(7002, "platform_rate_limited", logrus.WarnLevel,
		"The platform refused a request because of its rate limit; the request is retried later.")
	PlatformAnswerInvalid = register(7003, "platform_answer_invalid", logrus.ErrorLevel,
		"The platform's answer does not decode.")
	EngineAnswerInvalid = register(7004, "engine_answer_invalid", logrus.ErrorLevel,
		"An engine's answer does not decode or violates the protocol.")
	EngineSlow = register(7005, "engine_slow", logrus.WarnLevel,
		"An engine was slow to produce the first token; took is the time until it arrived.")
	ToolFailed = register(7006, "tool_failed", logrus.WarnLevel,
		"A tool service refused a call or failed.")
	StandinStarted = register(7007, "standin_started", logrus.InfoLevel,
		"A stand-in listens; detail is its name and address.")
	StandinFault = register(7008, "standin_fault", logrus.InfoLevel,
		"A scripted fault was set at a stand-in; detail names it.")
)
