package membership

import "time"

// Config holds the settings of a Machine. A zero field takes its default.
type Config struct {
	// Self describes this process.
	Self Member
	// Seeds are peer addresses from the settings. They are contacted until a responsive member
	// is known at each.
	Seeds []string
	// HeartbeatInterval is the minimum time between two periodic heartbeats to one watcher.
	HeartbeatInterval time.Duration
	// SuspicionTimeout is the minimum time without a packet from a watched member before the
	// member is suspected.
	SuspicionTimeout time.Duration
	// WireBytesPerSecond bounds the network traffic of heartbeats, sent and received. With many
	// members the time between heartbeats grows to stay within it.
	WireBytesPerSecond int
	// TakeoverDelay times the rank of a candidate, counted from 0, is the delay before its
	// first attempt to take over a log.
	TakeoverDelay time.Duration
	// IsolationTimeout is the time without an answer of the platform and without a packet from
	// any peer after which this process counts as isolated and accepts no new work.
	IsolationTimeout time.Duration
	// VMListMaxAge is the time since the last read of the platform's VM list after which the
	// list counts as stale.
	VMListMaxAge time.Duration
	// GoneRetention is how long members in the state Gone are retained.
	GoneRetention time.Duration
	// GateRetention is how long the gates of VMs that are gone are retained.
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
