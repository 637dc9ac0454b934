package structs

import "time"

// Preset is a named set of policy settings. One preset is in force in the whole deployment;
// during a switch, a process may lag behind.
type Preset struct {
	Name string `json:"name" toml:"name"`
	// LatencyWeight is the routing cost of 1 s of predicted program latency. Costs have no
	// unit; only the ratio of the two weights matters.
	LatencyWeight float64 `json:"latency_weight" toml:"latency_weight"`
	// WasteWeight is the routing cost of 1 s of wasted prefill: the prefill of the tokens
	// that the call recomputes, and of those that it evicts from the cache.
	WasteWeight float64 `json:"waste_weight" toml:"waste_weight"`
	// TurnTimeouts maps a program kind to how long its callers wait for the answer to a
	// turn. A kind without an entry has the value of the kind "default".
	TurnTimeouts map[string]Duration `json:"patience" toml:"patience"`
	// AdmitNew reports whether new programs may be opened; a preset for maintenance sets it
	// to false.
	AdmitNew bool `json:"admit_new" toml:"admit_new"`
	// MaxQueue is the maximum number of calls waiting at one upstream.
	MaxQueue int `json:"max_queue" toml:"max_queue"`
	// Policy is the routing policy: "cost", or for comparison one of the baselines
	// "round_robin", "least_load" and "sticky_hash".
	Policy string `json:"policy" toml:"policy"`
	// HoldMax is the longest time that KV cache is held over a tool pause.
	HoldMax Duration `json:"hold_max" toml:"hold_max"`
}

// PresetInForce is the preset in force and the version of the switch that put it in force.
// A version identifies one preset.
type PresetInForce struct {
	Version uint64 `json:"version"`
	Preset  Preset `json:"preset"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error quotes the malformed text.
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
