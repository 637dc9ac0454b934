package structs

import "time"

// UpstreamKind tells model engines from application engines.
type UpstreamKind string

// Kinds of upstreams.
const (
	KindModel       UpstreamKind = "model"
	KindApplication UpstreamKind = "application"
)

// Load is what a side knows of its upstream at one moment.
type Load struct {
	Upstream UpstreamID    `json:"upstream"`
	VM       VMID          `json:"vm"`
	Domain   FailureDomain `json:"domain"`
	Kind     UpstreamKind  `json:"kind"`
	// Models are the models loaded, sorted.
	Models []string `json:"models"`
	// Running is the number of calls in the engine's batch, Queued of those waiting at the side.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedPrefillTokens is the sum of prompt tokens not cached of the waiting calls.
	QueuedPrefillTokens int64 `json:"queued_prefill_tokens"`
	// BatchLimit is the number of calls that the engine runs at once.
	BatchLimit int `json:"batch_limit"`
	// KVUsedTokens and KVLimitTokens are the engine's cache memory.
	KVUsedTokens  int64 `json:"kv_used_tokens"`
	KVLimitTokens int64 `json:"kv_limit_tokens"`
	// HeldTokens are the tokens of cache held for programs over tool pauses.
	HeldTokens int64 `json:"held_tokens"`
	// EvictionAge is how long a block that nobody uses survives; zero says that nothing is evicted.
	EvictionAge time.Duration `json:"turnover"`
	// PrefillRate is in tokens a second, StepTime the time of one decode step at the present batch.
	PrefillRate float64       `json:"prefill_rate"`
	StepTime    time.Duration `json:"step_time"`
	// Draining says that the gate is closed to new work.
	Draining bool `json:"draining"`
	// Sequence grows with each report of one incarnation of the side.
	Sequence uint64 `json:"sequence"`
	// Incarnation tells restarts of the side apart.
	Incarnation string `json:"incarnation"`
}
