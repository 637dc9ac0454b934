package eventlog

import "github.com/sirupsen/logrus"

// Events of the home log.
var (
	LogOpened = register(3001, "log_opened", logrus.InfoLevel,
		"A new home log was opened; detail is its id.")
	LogSealedByOther = register(3002, "log_sealed_by_other", logrus.ErrorLevel,
		"Another entry sealed this entry's log because it considered the entry dead; peer is the log that took over the programs, and is missing if the sealed log was deleted. The entry stops; buckthorn-entry then starts it again with a new log.")
	LogSealed = register(3003, "log_sealed", logrus.InfoLevel,
		"This entry sealed the log of another entry; detail is the id of the log.")
	LogTakenOver = register(3004, "log_adopted", logrus.InfoLevel,
		"This entry took over the programs of a log; peer is the id of the log, count the number of records of its live programs.")
	LogTakeoverFailed = register(3005, "log_adoption_failed", logrus.WarnLevel,
		"The takeover or the handover of a log failed; step states which. A takeover is attempted again.")
	LogHandedOver = register(3006, "log_handed_over", logrus.InfoLevel,
		"The programs of this entry's log were handed over during a graceful shutdown; count is their number.")
	CommitResolved = register(3007, "commit_settled", logrus.InfoLevel,
		"The answer to a commit was lost; reading the record back showed whether it was stored.")
	CommitDelayed = register(3008, "commit_delayed", logrus.WarnLevel,
		"A commit has not been acknowledged; took is the time since it was sent.")
	PlatformOutageBegan = register(3009, "platform_outage_began", logrus.ErrorLevel,
		"The platform's table does not answer; took is how long it has not answered. Repeatable work continues; irreversible steps wait or are refused with outcome not_run.")
	PlatformOutageEnded = register(3010, "platform_outage_ended", logrus.InfoLevel,
		"The platform's table answers again; took is how long the outage lasted.")
	CheckpointWritten = register(3011, "checkpoint_written", logrus.DebugLevel,
		"A checkpoint was written; the records before it can now be deleted.")
	RecordsDeleted = register(3012, "records_deleted", logrus.DebugLevel,
		"Records before a checkpoint were deleted; count is their number.")
	LogRemoved = register(3013, "log_removed", logrus.InfoLevel,
		"The last program of a sealed log has ended, and the rows of the log were deleted.")
	RecordCorrupt = register(3014, "record_corrupt", logrus.ErrorLevel,
		"A record that was read back does not decode or belongs to another program. Report it.")
	WriteShareReached = register(3015, "write_share_reached", logrus.WarnLevel,
		"Commits are delayed to stay within this entry's share of the platform's write rate.")
)
