package eventlog

import "github.com/sirupsen/logrus"

// Events of the home log.
var (
	LogOpened = register(3001, "log_opened", logrus.InfoLevel,
		"A new home log was opened; detail is its id.")
	LogSealedByOther = register(3002, "log_sealed_by_other", logrus.ErrorLevel,
		"Another entry has sealed this log: this process was taken for dead, stops as home and starts with a new log.")
	LogSealed = register(3003, "log_sealed", logrus.InfoLevel,
		"This entry has sealed the log in detail.")
	LogTakenOver = register(3004, "log_adopted", logrus.InfoLevel,
		"This entry goes on with the programs of the log in detail; count is their number.")
	LogTakeoverFailed = register(3005, "log_adoption_failed", logrus.WarnLevel,
		"A log could not be adopted; it is tried again.")
	LogHandedOver = register(3006, "log_handed_over", logrus.InfoLevel,
		"The log's programs went to the peer before a graceful shutdown.")
	CommitResolved = register(3007, "commit_settled", logrus.InfoLevel,
		"The answer to a commit was lost; reading the record back settled it.")
	CommitDelayed = register(3008, "commit_delayed", logrus.WarnLevel,
		"A commit has not been acknowledged for the time in took.")
	PlatformOutageBegan = register(3009, "platform_outage_began", logrus.ErrorLevel,
		"The platform's table does not answer. Repeatable work goes on; irreversible steps wait or are refused as not run.")
	PlatformOutageEnded = register(3010, "platform_outage_ended", logrus.InfoLevel,
		"The platform's table answers again; took is the outage's length.")
	CheckpointWritten = register(3011, "checkpoint_written", logrus.DebugLevel,
		"A checkpoint was written; records behind it are deleted.")
	RecordsDeleted = register(3012, "records_deleted", logrus.DebugLevel,
		"Records behind a checkpoint were deleted; count is their number.")
	LogRemoved = register(3013, "log_removed", logrus.InfoLevel,
		"A sealed log's last program has ended and its rows were deleted.")
	RecordCorrupt = register(3014, "record_corrupt", logrus.ErrorLevel,
		"A record read back does not decode or belongs to another program. Report it.")
	WriteShareReached = register(3015, "write_share_reached", logrus.WarnLevel,
		"Commits are spaced out to stay within this entry's share of the platform's writes.")
)
