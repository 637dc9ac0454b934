package eventlog

import "github.com/sirupsen/logrus"

// Events of buckthorn-load and the playground.
var (
	LoadStarted = register(8001, "load_started", logrus.InfoLevel,
		"A load run has started; detail is its workload and seed.")
	LoadFinished = register(8002, "load_finished", logrus.InfoLevel,
		"A load run has ended; count is the number of programs.")
	LoadProgramFailed = register(8003, "load_program_failed", logrus.WarnLevel,
		"A program of a load run did not finish successfully.")
	PlaygroundReady = register(8004, "playground_ready", logrus.InfoLevel,
		"All processes of the playground are ready.")
	PlaygroundProgramFailed = register(8005, "playground_program_failed", logrus.ErrorLevel,
		"A program of the playground did not finish successfully.")
)
