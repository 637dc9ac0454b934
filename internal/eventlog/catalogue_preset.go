package eventlog

import "github.com/sirupsen/logrus"

// Events of presets.
var (
	PresetInForce = register(6001, "preset_in_force", logrus.InfoLevel,
		"A preset came into force on this node; count is its version.")
	PresetAccepted = register(6002, "preset_accepted", logrus.InfoLevel,
		"An operator's switch was accepted by the platform; count is its version.")
	PresetConflict = register(6003, "preset_conflict", logrus.InfoLevel,
		"A switch was refused as not run, since another operator's came first or the platform did not answer; the code says which.")
	PresetSwitchResolved = register(6004, "preset_settled", logrus.InfoLevel,
		"The answer to a switch was lost; reading the row back settled it.")
	PresetUnknown = register(6005, "preset_unknown", logrus.ErrorLevel,
		"The platform did not answer a switch, or too few voters confirmed it. Look at the preset in force before trying again.")
	PresetStale = register(6006, "preset_stale", logrus.WarnLevel,
		"This node hears neither the platform nor its peers and takes no new work until it does.")
	PresetFresh = register(6007, "preset_fresh", logrus.InfoLevel,
		"This node hears the platform or its peers again.")
	PresetDefined = register(6008, "preset_defined", logrus.InfoLevel,
		"An operator has stored a preset definition; detail is its name.")
	PresetRowInvalid = register(6009, "preset_row_invalid", logrus.ErrorLevel,
		"The row of the preset in force does not decode; the former preset stays in force.")
)
