package eventlog

import "github.com/sirupsen/logrus"

// Events of presets.
var (
	PresetInForce = register(6001, "preset_in_force", logrus.InfoLevel,
		"A preset came into force on this node; count is its version.")
	PresetAccepted = register(6002, "preset_accepted", logrus.InfoLevel,
		"An operator's preset switch was accepted; count is its version.")
	PresetConflict = register(6003, "preset_conflict", logrus.InfoLevel,
		"A preset switch was refused with outcome not_run: another operator's switch came first, or the platform could not be reached. Code states which.")
	PresetSwitchResolved = register(6004, "preset_settled", logrus.InfoLevel,
		"The answer to a preset switch was lost; reading the row back showed whether it was stored.")
	PresetUnknown = register(6005, "preset_unknown", logrus.ErrorLevel,
		"It is unknown whether a preset switch takes effect: the platform did not answer it, or too few voters confirmed it. Check the preset in force before you retry.")
	PresetStale = register(6006, "preset_stale", logrus.WarnLevel,
		"This node reaches neither the platform nor its peers, so its preset may be out of date; it accepts no new work until it reaches them.")
	PresetFresh = register(6007, "preset_fresh", logrus.InfoLevel,
		"This node reaches the platform or its peers again.")
	PresetDefined = register(6008, "preset_defined", logrus.InfoLevel,
		"An operator stored a preset definition; detail is its name.")
	PresetRowInvalid = register(6009, "preset_row_invalid", logrus.ErrorLevel,
		"The row of the preset in force does not decode; the previous preset stays in force.")
)
