package eventlog

import "github.com/sirupsen/logrus"

// Events of programs and actions.
var (
	ProgramOpened = register(5001, "program_opened", logrus.DebugLevel,
		"A program was opened.")
	ProgramEnded = register(5002, "program_ended", logrus.DebugLevel,
		"A program was closed or cancelled; detail states which.")
	ProgramResumed = register(5003, "program_resumed", logrus.InfoLevel,
		"A turn in progress was resumed after its program was taken over.")
	ProgramBudgetExhausted = register(5004, "program_budget_exhausted", logrus.InfoLevel,
		"A program was ended because its budget is used up; detail names the exhausted part of the budget.")
	ProgramLooped = register(5005, "program_looped", logrus.InfoLevel,
		"A program was ended because it repeated the same call.")
	TurnFinished = register(5006, "turn_finished", logrus.DebugLevel,
		"The answer of a turn is complete and stored; took is the latency of the turn.")
	TurnRefused = register(5007, "turn_refused", logrus.InfoLevel,
		"A turn ended with a refusal; code and outcome state how.")
	ToolTimedOut = register(5008, "tool_timed_out", logrus.WarnLevel,
		"A tool did not answer within its timeout.")
	ActionClaimed = register(5009, "action_claimed", logrus.DebugLevel,
		"The row of an irreversible action was created; the action may run now.")
	ActionFinished = register(5010, "action_finished", logrus.InfoLevel,
		"An irreversible action ran to its end.")
	ActionInDoubt = register(5011, "action_in_doubt", logrus.ErrorLevel,
		"It is unknown whether an irreversible action ran. Ask the service and settle the action with buckthornctl.")
	ActionSettled = register(5012, "action_settled", logrus.InfoLevel,
		"An action in doubt was settled by the answer of its service or by an operator; detail names the operator and the action.")
	ActionDuplicate = register(5013, "action_duplicate", logrus.InfoLevel,
		"An action was requested again; the recorded result was returned.")
	ActionKeyReused = register(5014, "action_key_reused", logrus.WarnLevel,
		"A key was reused with another payload; the request was refused.")
	HistoryMismatch = register(5015, "history_mismatch", logrus.ErrorLevel,
		"Programs of a log that was taken over could not be restored or resumed, such as because a record is malformed or missing, or a history does not match its digest; peer is the id of the log, error states why. Report it.")
)
