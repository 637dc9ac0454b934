package structs

import "time"

// Preset is a set of policy settings of which exactly one is in force.
type Preset struct {
	Name string `json:"name" toml:"name"`
	// LatencyWeight is the cost of one second of predicted program latency.
	LatencyWeight float64 `json:"latency_weight" toml:"latency_weight"`
	// WasteWeight is the cost of one second of recomputed prefill or evicted cache.
	WasteWeight float64 `json:"waste_weight" toml:"waste_weight"`
	// TurnTimeouts maps a program kind to how long its callers wait for a turn.
	TurnTimeouts map[string]Duration `json:"patience" toml:"patience"`
	// AdmitNew allows programs to be opened; maintenance presets set it false.
	AdmitNew bool `json:"admit_new" toml:"admit_new"`
	// MaxQueue bounds the calls waiting at one upstream.
	MaxQueue int `json:"max_queue" toml:"max_queue"`
	// Policy is "cost", or a baseline: "round_robin", "least_load", "sticky_hash".
	Policy string `json:"policy" toml:"policy"`
	// HoldMax bounds how long KV cache is held over a tool pause.
	HoldMax Duration `json:"hold_max" toml:"hold_max"`
}

// PresetInForce is the preset that is in force and the version of the switch
// that put it there. A version never names two presets.
type PresetInForce struct {
	Version uint64 `json:"version"`
	Preset  Preset `json:"preset"`
}

// Duration is a time.Duration that reads and writes as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; errors name the text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
