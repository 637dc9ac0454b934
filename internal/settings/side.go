package settings

import (
	"slices"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Side is the settings of one buckthorn-side process.
type Side struct {
	// Node is the name of the process. Required.
	Node structs.NodeID `toml:"node"`
	// VM is the id of the upstream's VM in the platform's VM list. Required.
	VM structs.VMID `toml:"vm"`
	// FailureDomain and Region locate the VM. Required.
	FailureDomain structs.FailureDomain `toml:"failure_domain"`
	Region        string                `toml:"region"`
	// PlatformURL is the base URL of the platform's services: the side reads the VM list, its
	// VM's drain row and the fencing numbers. Default: none; then only orders of entries,
	// process signals and SilenceLimit open or close the admission gate.
	PlatformURL string `toml:"platform_url"`
	// ListenPeer is the address of the listener for entries. Required.
	ListenPeer string `toml:"listen_peer"`
	// ListenHTTP is the address of the listener for health checks and metrics. Required.
	ListenHTTP string `toml:"listen_http"`
	// Upstream is the upstream to which this side forwards calls.
	Upstream Upstream `toml:"upstream"`
	// BatchLimit bounds the calls that run at the upstream at the same time. Default 16.
	BatchLimit int `toml:"batch_limit"`
	// QueueLimit bounds the calls that wait in this side's queue. Default 128.
	QueueLimit int `toml:"queue_limit"`
	// SilenceLimit is the time after which the gate closes when the side has had contact
	// neither with an entry nor with the platform. Default 5s.
	SilenceLimit structs.Duration `toml:"silence_limit"`
	// Hold bounds the KV cache that is held for programs.
	Hold HoldLimits `toml:"hold"`
	// ShutdownGrace bounds a graceful shutdown. Default 30s.
	ShutdownGrace structs.Duration `toml:"shutdown_grace"`
	TLS           TLS              `toml:"tls"`
	Telemetry     Telemetry        `toml:"telemetry"`
	Log           Log              `toml:"log"`
}

// Values of Upstream.Fencing.
const (
	// FencingChecked means that the engine itself refuses orders with an old fencing number.
	FencingChecked = "checked"
	// FencingIgnored means that the engine obeys any order; only the side refuses old ones.
	FencingIgnored = "ignored"
)

// Upstream describes the engine to which the side forwards calls.
type Upstream struct {
	// ID is the id of the upstream. Required.
	ID structs.UpstreamID `toml:"id"`
	// Kind is "model" or "application". Required.
	Kind structs.UpstreamKind `toml:"kind"`
	// URL is the base URL of the engine. Required.
	URL string `toml:"url"`
	// Models are the models that the engine serves. A model engine needs at least one.
	Models []string `toml:"models"`
	// Fencing is "checked" or "ignored": whether the engine refuses old fencing numbers.
	// Default "ignored".
	Fencing string `toml:"fencing"`
}

// HoldLimits bounds the KV cache that is held for programs that wait for their tools.
type HoldLimits struct {
	// LeaseTime is how long the lease of a hold lasts without renewal. Default 3s.
	LeaseTime structs.Duration `toml:"lease_time"`
	// MaxTokens bounds the tokens held in total. Default 200,000.
	MaxTokens int64 `toml:"max_tokens"`
	// MaxLeases bounds the number of holds. Default 512.
	MaxLeases int `toml:"max_leases"`
	// ReconcileInterval is the time between two comparisons of the side's holds with the
	// engine's list of holds. Default 1s.
	ReconcileInterval structs.Duration `toml:"reconcile_interval"`
}

func defaultSide() *Side {
	return &Side{
		Upstream:      Upstream{Fencing: FencingIgnored},
		BatchLimit:    16,
		QueueLimit:    128,
		SilenceLimit:  seconds(5),
		Hold:          HoldLimits{LeaseTime: seconds(3), MaxTokens: 200_000, MaxLeases: 512, ReconcileInterval: seconds(1)},
		ShutdownGrace: seconds(30),
		Telemetry:     defaultTelemetry(),
		Log:           defaultLog(),
	}
}

func (s *Side) check(c *checker) {
	c.name("node", string(s.Node))
	c.required("vm", string(s.VM))
	c.required("failure_domain", string(s.FailureDomain))
	c.required("region", s.Region)
	if s.PlatformURL != "" {
		c.httpURL("platform_url", s.PlatformURL)
	}
	c.address("listen_peer", s.ListenPeer)
	c.address("listen_http", s.ListenHTTP)
	s.Upstream.check(c)
	c.positive("batch_limit", int64(s.BatchLimit))
	c.positive("queue_limit", int64(s.QueueLimit))
	c.duration("silence_limit", s.SilenceLimit)
	c.duration("hold.lease_time", s.Hold.LeaseTime)
	c.positive("hold.max_tokens", s.Hold.MaxTokens)
	c.positive("hold.max_leases", int64(s.Hold.MaxLeases))
	c.duration("hold.reconcile_interval", s.Hold.ReconcileInterval)
	c.duration("shutdown_grace", s.ShutdownGrace)
	s.TLS.check(c)
	s.Telemetry.check(c)
	s.Log.check(c)
}

func (u *Upstream) check(c *checker) {
	c.name("upstream.id", string(u.ID))
	c.kind("upstream.kind", u.Kind)
	c.httpURL("upstream.url", u.URL)
	c.oneOf("upstream.fencing", u.Fencing, FencingChecked, FencingIgnored)
	if u.Kind == structs.KindModel && len(u.Models) == 0 {
		c.fail("upstream.models", "a model engine needs at least one model")
	}
	if slices.Contains(u.Models, "") {
		c.fail("upstream.models", "contains an empty model name")
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
