package membership

import "time"

// Config holds the settings of a Machine. A zero field takes its default.
type Config struct {
	// Self is this process.
	Self Member
	// Seeds are the peer addresses of the settings, greeted until their members are known.
	Seeds []string
	// HeartbeatInterval is the least time between two heartbeats to one watcher.
	HeartbeatInterval time.Duration
	// SuspicionTimeout is the least silence after which a member is suspected.
	SuspicionTimeout time.Duration
	// WireBytesPerSecond bounds what heartbeats put on the wire, sent and received, in bytes a second;
	// with many members the time between heartbeats grows to keep to it.
	WireBytesPerSecond int
	// TakeoverDelay is the time by which each further candidate waits before it adopts a log.
	TakeoverDelay time.Duration
	// IsolationTimeout is the time without the platform and without any peer after which this process
	// takes no new work.
	IsolationTimeout time.Duration
	// VMListMaxAge is the time without the platform's VM list after which it counts as stale.
	VMListMaxAge time.Duration
	// GoneRetention is how long members that are gone are remembered.
	GoneRetention time.Duration
	// GateRetention is how long VMs that are gone are remembered.
	GateRetention time.Duration
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval  = 200 * time.Millisecond
	DefaultSuspicionTimeout   = time.Second
	DefaultWireBytesPerSecond = 9000
	DefaultTakeoverDelay      = 300 * time.Millisecond
	DefaultIsolationTimeout   = 2 * time.Second
	DefaultVMListMaxAge       = time.Minute
	DefaultGoneRetention      = 10 * time.Minute
	DefaultGateRetention      = 24 * time.Hour
)

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&c.WireBytesPerSecond, DefaultWireBytesPerSecond)
	setDefault(&c.TakeoverDelay, DefaultTakeoverDelay)
	setDefault(&c.IsolationTimeout, DefaultIsolationTimeout)
	setDefault(&c.VMListMaxAge, DefaultVMListMaxAge)
	setDefault(&c.GoneRetention, DefaultGoneRetention)
	setDefault(&c.GateRetention, DefaultGateRetention)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
