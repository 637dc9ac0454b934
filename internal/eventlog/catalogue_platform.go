package eventlog

import "github.com/sirupsen/logrus"

// Events of the platform's services and the engines.
var (
	PlatformSlow = register(7001, "platform_slow", logrus.WarnLevel,
		"A request to the platform took the time in took.")
	PlatformRateLimited = register(7002, "platform_rate_limited", logrus.WarnLevel,
		"The platform refused a request by its rate limit; it is tried again later.")
	PlatformAnswerInvalid = register(7003, "platform_answer_invalid", logrus.ErrorLevel,
		"The platform's answer does not decode.")
	EngineAnswerInvalid = register(7004, "engine_answer_invalid", logrus.ErrorLevel,
		"An engine's answer does not decode or breaks its protocol.")
	EngineSlow = register(7005, "engine_slow", logrus.WarnLevel,
		"An engine's first token took the time in took.")
	ToolFailed = register(7006, "tool_failed", logrus.WarnLevel,
		"A tool service refused or failed.")
	StandinStarted = register(7007, "standin_started", logrus.InfoLevel,
		"A stand-in listens; detail is its name and address.")
	StandinFault = register(7008, "standin_fault", logrus.InfoLevel,
		"A scripted fault was set at a stand-in; detail says which.")
)
