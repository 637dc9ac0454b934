package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Limits and timeouts of connections between processes.
const (
	// MaxMessageBytes limits the size of one gRPC message. A conversation of 330,000
	// tokens fits with room to spare.
	MaxMessageBytes = 8 << 20
	// clientKeepaliveTime is the idle time after which a client pings its server, and
	// clientKeepaliveTimeout the time that it waits for the reply.
	clientKeepaliveTime    = 10 * time.Second
	clientKeepaliveTimeout = 3 * time.Second
	// serverKeepaliveTime and serverKeepaliveTimeout are the same times for a server that
	// pings its client. They are short, so that it detects a silent client, such as a
	// partitioned entry, within seconds.
	serverKeepaliveTime    = 2 * time.Second
	serverKeepaliveTimeout = 2 * time.Second
	// minReconnectDelay and maxReconnectDelay bound the backoff between dial attempts.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
	// dialTimeout limits one dial attempt.
	dialTimeout = 2 * time.Second
)

// Security configures how processes authenticate each other. With a nil TLS,
// connections are plain TCP.
type Security struct {
	// TLS returns the configuration for the next handshake, so that changed keys take effect
	// without a restart.
	TLS func() *tls.Config
}

// credentials returns the transport credentials for gRPC.
func (s Security) credentials() credentials.TransportCredentials {
	if s.TLS == nil {
		return insecure.NewCredentials()
	}
	return reloadingCredentials{TransportCredentials: credentials.NewTLS(s.TLS()), config: s.TLS}
}

// Options configures the connections of a process. The zero value uses plain TCP,
// records no spans and attaches no preset versions.
type Options struct {
	Security Security
	// Versions attaches the preset version to messages; nil attaches none.
	Versions *PresetVersions
	// Telemetry records the spans of calls; nil records none.
	Telemetry *telemetry.Telemetry
}

// telemetry returns the telemetry of the options, or a disabled one.
func (o Options) telemetry() *telemetry.Telemetry {
	if o.Telemetry == nil {
		return telemetry.Disabled()
	}
	return o.Telemetry
}

// NewServer returns a gRPC server with the options, which accepts messages of up to
// MaxMessageBytes.
func NewServer(o Options) *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(o.Security.credentials()),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.StatsHandler(o.telemetry().ServerStats()),
		grpc.ChainUnaryInterceptor(o.Versions.unaryServer),
		grpc.ChainStreamInterceptor(o.Versions.streamServer),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveTime, Timeout: serverKeepaliveTimeout}),
		// gRPC closes a connection whose client pings more often than MinTime; half of the
		// clients' interval leaves room for pings that arrive early.
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: clientKeepaliveTime / 2, PermitWithoutStream: true}),
	)
}

// Pool holds one client connection to each address. Its methods may be called from any
// goroutine.
type Pool struct {
	options Options

	mu     sync.Mutex
	closed bool
	conns  map[string]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	return &Pool{options: o, conns: map[string]*grpc.ClientConn{}}
}

// Conn returns the connection to address. A new one dials when it is first used. After
// Close, Conn returns a refusal.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, "connect", "the process ends")
	}
	if c := p.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.options.Security.credentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithStatsHandler(p.options.telemetry().ClientStats()),
		grpc.WithStatsHandler(sentFlagSetter{}),
		grpc.WithChainUnaryInterceptor(withSentFlagUnary, p.options.Versions.unaryClient),
		grpc.WithChainStreamInterceptor(withSentFlagStream, p.options.Versions.streamClient),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(dial),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: clientKeepaliveTime, Timeout: clientKeepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: dialTimeout,
		}))
	if err != nil {
		return nil, &structs.Refusal{
			Code:    structs.CodeUpstreamFailed,
			Outcome: structs.OutcomeNotRun,
			Step:    "connect",
			Peer:    address,
			Detail:  err.Error(),
		}
	}
	p.conns[address] = c
	return c, nil
}

// dial opens a TCP connection with a timeout.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Close closes all connections. The pool makes no new ones after it.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.conns {
		_ = c.Close()
		delete(p.conns, address)
	}
}
