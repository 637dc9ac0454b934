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

// Limits and times of connections between processes.
const (
	// MaxMessageBytes bounds one gRPC message: a history of 330,000 tokens and room to spare.
	MaxMessageBytes = 8 << 20
	keepaliveTime   = 10 * time.Second
	keepaliveWait   = 3 * time.Second
	// serverKeepalive finds a silent client, such as a cut-off entry, within seconds.
	serverKeepalive     = 2 * time.Second
	serverKeepaliveWait = 2 * time.Second
	minRedial           = 50 * time.Millisecond
	maxRedial           = time.Second
	dialTimeout         = 2 * time.Second
)

// Security says how processes authenticate each other. A nil TLS is plain TCP.
type Security struct {
	// TLS returns the configuration for the next handshake, so that changed keys take effect.
	TLS func() *tls.Config
}

func (s Security) credentials() credentials.TransportCredentials {
	if s.TLS == nil {
		return insecure.NewCredentials()
	}
	return reloadingCredentials{TransportCredentials: credentials.NewTLS(s.TLS()), config: s.TLS}
}

// Options says how a process talks to the others. The zero value is plain TCP
// without spans and preset versions.
type Options struct {
	Security Security
	// Versions is carried on every message; nil carries none.
	Versions *PresetVersions
	// Telemetry makes the spans; nil makes none.
	Telemetry *telemetry.Telemetry
}

func (o Options) telemetry() *telemetry.Telemetry {
	if o.Telemetry == nil {
		return telemetry.Disabled()
	}
	return o.Telemetry
}

// NewServer returns a gRPC server with the limits and spans of this package.
func NewServer(o Options) *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(o.Security.credentials()),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.StatsHandler(o.telemetry().ServerStats()),
		grpc.ChainUnaryInterceptor(o.Versions.unaryServer),
		grpc.ChainStreamInterceptor(o.Versions.streamServer),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepalive, Timeout: serverKeepaliveWait}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)
}

// Pool holds one connection to each address. Its methods may be called from any goroutine.
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

// Conn returns the connection to address, which dials when first used.
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
		grpc.WithStatsHandler(sentRecorder{}),
		grpc.WithChainUnaryInterceptor(unarySent, p.options.Versions.unaryClient),
		grpc.WithChainStreamInterceptor(streamSent, p.options.Versions.streamClient),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(dial),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveWait, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedial, Multiplier: 2, Jitter: 0.2, MaxDelay: maxRedial},
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

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Close closes all connections; no others are made after it.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.conns {
		_ = c.Close()
		delete(p.conns, address)
	}
}
