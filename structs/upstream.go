package structs

import "time"

// UpstreamKind distinguishes model engines from application engines.
type UpstreamKind string

// Kinds of upstreams.
const (
	KindModel       UpstreamKind = "model"
	KindApplication UpstreamKind = "application"
)

// Load is a report of a side on the load of its upstream.
type Load struct {
	Upstream UpstreamID    `json:"upstream"`
	VM       VMID          `json:"vm"`
	Domain   FailureDomain `json:"domain"`
	Kind     UpstreamKind  `json:"kind"`
	// Models are the names of the loaded models, sorted.
	Models []string `json:"models"`
	// Running is the number of calls in the engine's batch, Queued the number waiting
	// at the side.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedPrefillTokens is the sum of the uncached prompt tokens of the waiting calls.
	QueuedPrefillTokens int64 `json:"queued_prefill_tokens"`
	// BatchLimit is the maximum number of calls that the engine runs at once.
	BatchLimit int `json:"batch_limit"`
	// KVUsedTokens and KVLimitTokens are the used part and the size of the engine's KV
	// cache, in tokens.
	KVUsedTokens  int64 `json:"kv_used_tokens"`
	KVLimitTokens int64 `json:"kv_limit_tokens"`
	// HeldTokens is the number of cached tokens held for programs over tool pauses.
	HeldTokens int64 `json:"held_tokens"`
	// EvictionAge is the estimated time that an unused block stays cached; zero means that
	// nothing is evicted.
	EvictionAge time.Duration `json:"turnover"`
	// PrefillRate is the prefill speed of the engine in tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	// StepTime is the duration of one decode step with the present batch.
	StepTime time.Duration `json:"step_time"`
	// Draining reports whether the side accepts no new calls for the upstream.
	Draining bool `json:"draining"`
	// Sequence increases with each report of one incarnation of the side.
	Sequence uint64 `json:"sequence"`
	// Incarnation identifies one run of the side; a restart gives it a new value.
	Incarnation string `json:"incarnation"`
}
