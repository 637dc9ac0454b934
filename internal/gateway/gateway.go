// Package gateway implements the mode of buckthorn-entry in which callers run their own
// programs and send each turn and each tool call as an HTTP request. The entry forwards the
// request to an upstream, within the program's budget, and at most once if the route's calls
// must not be repeated.
//
// The package holds the goroutines, sockets and timers. The decisions are made by the
// packages admission, relay, routing, ledger, turnlog, retry and quarantine. Durable state is
// stored in the platform's table.
//
// The word call has three uses here: a caller's request that is forwarded to an upstream (job),
// a datagram by which an entry asks another one (package mesh), and an operation of the platform's
// table (tablerelay.Client).
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/internal/orgquota"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/tablerelay"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

// Environment holds the dependencies of a gateway.
type Environment struct {
	// Events logs changes of the process's state.
	Events *eventlog.Logger
	// Requests logs the outcomes of requests.
	Requests  *reqlog.Logger
	Telemetry *telemetry.Telemetry
	// Table is the direct client of the platform's table.
	Table platformapi.Watcher
	// Reload delivers changed settings; nil when they never change.
	Reload <-chan *settings.Gateway
}

// upstreamDialTimeout bounds dialling an upstream: about 10 times the network latency between
// two failure domains plus the time an upstream takes to set up a connection.
const upstreamDialTimeout = 200 * time.Millisecond

// Gateway is the state of one entry process.
type Gateway struct {
	cfg         *settings.Gateway
	env         Environment
	metrics     *metrics
	incarnation string
	started     time.Time
	// drainDelay is how long the load balancer may still send new connections after the
	// process reports that it is not ready.
	drainDelay time.Duration

	table   *tablerelay.Client
	mesh    *mesh.Mesh
	pool    *forward.Pool
	commits *committer
	expiry  *expiry
	budgets *budgets
	turns   *turnStore
	// quarantine stores the requests that must not be sent.
	quarantine *quarantineStore
	limits     *upstreamLimits
	leaving    *leavingUpstreams
	origins    *streamOrigins
	quota      *orgquota.Quota
	// budgetPeers, chains, reports and cached exchange the state of their parts with other entries.
	budgetPeers *budgetPeers
	chains      turnChains
	reports     *crashReports
	cached      *cachedPrompts
	// answers and bodies bound the memory of answers and of the bodies of requests.
	answers, bodies *sharedMemory
	documents       *documentSync

	// routes is the route table of the operator's document in force; nil before the first
	// document.
	routes atomic.Pointer[relay.RouteTable]
	fleet  atomic.Pointer[fleet]
	// documentConfirmedAt is a time at which no document newer than that in routes existed; nil
	// before the first confirmation. Read before routes, it holds for the document that routes has then.
	documentConfirmedAt atomic.Pointer[time.Time]
	draining            atomic.Bool
	// stopping says which calls are still sent; nil until the shutdown begins. callsCtx is the parent of the
	// contexts of all calls, cutCalls cancels it.
	stopping atomic.Pointer[admission.Shutdown]
	callsCtx context.Context
	cutCalls context.CancelCauseFunc
	// documentMu serialises the replacement of routes, so that the version never decreases. A document
	// is prepared under it alone: requests take g.mu but not this one.
	documentMu sync.Mutex
	inFlight   atomic.Int64

	// mu guards balancer, programs, crashes and sends.
	mu       sync.Mutex
	balancer *routing.Balancer
	programs *admission.Programs
	crashes  *quarantine.CrashCounter
	sends    *quarantine.EndedSends
}

// Run serves callers until ctx ends and then shuts down gracefully.
func Run(ctx context.Context, cfg *settings.Gateway, env Environment) error {
	g := newGateway(cfg, env)
	return g.run(ctx)
}

// newGateway returns a gateway with its parts connected. It opens no socket and starts no
// goroutine.
func newGateway(cfg *settings.Gateway, env Environment) *Gateway {
	g := &Gateway{
		cfg:         cfg,
		env:         env,
		metrics:     newMetrics(env.Telemetry.Scope),
		incarnation: newIncarnation(),
		started:     time.Now(),
		drainDelay:  loadBalancerDrainDelay,
		pool:        forward.NewPool(upstreamDialTimeout),
		programs:    admission.NewPrograms(admission.DefaultNewProgramPolicy()),
		crashes:     quarantine.NewCrashCounter(),
		sends:       quarantine.NewEndedSends(survivedHeartbeats * time.Duration(cfg.UpstreamHeartbeat)),
		balancer:    routing.NewBalancer(routing.BalancerConfig{Entry: string(cfg.Node), Seed: seedOf(string(cfg.Node))}),
	}
	g.callsCtx, g.cutCalls = context.WithCancelCause(context.Background())
	g.pool.OnDial = func() { g.metrics.connections.Inc(1) }
	g.leaving = newLeavingUpstreams()
	g.origins = newStreamOrigins(g)
	g.documents = newDocumentSync(g)
	g.answers, g.bodies = newSharedMemory(cfg.MemoryMB), newSharedMemory(cfg.MemoryMB)
	g.storeFleet(relay.NewRegistry())
	g.mesh = newMesh(g)
	g.quota = newQuota(g)
	g.budgetPeers, g.chains, g.reports, g.cached = &budgetPeers{g: g, handedOver: map[string]handover{}}, turnChains{g}, newCrashReports(g), &cachedPrompts{}
	g.table = tablerelay.NewClient(env.Table, g, g.emitTableEvent)
	g.commits = newCommitter(g.table, g.metrics, cfg.TableWritesPerSecond, g.mesh.Size)
	g.expiry = &expiry{commits: g.commits}
	g.budgets = newBudgets(g.table, g.commits, g.budgetPeers, env.Requests, g.holder(), g.incarnation)
	g.quarantine = newQuarantineStore(g)
	g.limits = newUpstreamLimits(g)
	g.turns = newTurnStore(g.table, g.commits, g.chains, g.expiry, cfg)
	g.budgets.usageOf = g.turns.usage
	g.joinMesh()
	return g
}

// holder returns the name of this incarnation of the entry in budget rows.
func (g *Gateway) holder() string { return string(g.cfg.Node) + "/" + g.incarnation }

// run does the work of Run. It returns an error when a socket can't be opened.
func (g *Gateway) run(ctx context.Context) error {
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	g.env.Events.Emit(eventlog.GatewayStarted, eventlog.Fields{Step: "start", Detail: "callers " + g.cfg.ListenCallers + ", life " + g.incarnation})
	g.mesh.SetConn(listeners.digests) // read by the tasks below
	// Background tasks outlive ctx, since calls in progress still need them during a graceful
	// shutdown.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, taskCtx := errgroup.WithContext(taskCtx)
	for _, task := range []func(context.Context){
		g.pool.Run, g.table.Probe, g.followDocument, g.documents.run, g.followUpstreams, g.commits.run, g.mesh.Run, g.budgetPeers.synchronise, g.reports.synchronise, g.quarantine.run, g.quarantine.follow, g.budgets.recordLoop, g.origins.recordSettled, g.quota.Run, g.expiry.run, g.budgets.expiry.run, g.cleanUp,
	} {
		group.Go(func() error {
			task(taskCtx)
			return nil
		})
	}
	servers := g.serve(listeners)
	g.reloadUntil(ctx)
	g.shutdown(servers)
	stop()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	g.env.Events.Emit(eventlog.GatewayStopped, eventlog.Fields{Step: "stop", Took: time.Since(g.started)})
	return nil
}

// reloadUntil applies reloaded settings until ctx ends. Only table_writes_per_second is
// applied. Addresses stay, since a process with another address would be another entry.
func (g *Gateway) reloadUntil(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case cfg := <-g.env.Reload:
			g.commits.setRate(cfg.TableWritesPerSecond)
			g.env.Events.Emit(eventlog.GatewayReloaded, eventlog.Fields{Step: "reload"})
		}
	}
}

// listeners are the sockets of the process.
type listeners struct {
	callers, ready, mesh net.Listener
	digests              net.PacketConn
}

// listen opens the sockets. An error names the setting of the address that can't be used.
func (g *Gateway) listen() (*listeners, error) {
	l := &listeners{}
	var err error
	open := func(key, address string) net.Listener {
		if err != nil {
			return nil
		}
		var ln net.Listener
		if ln, err = net.Listen("tcp", address); err != nil {
			err = errors.Wrapf(err, "%s %q", key, address)
		}
		return ln
	}
	l.callers = open("listen_callers", g.cfg.ListenCallers)
	l.ready = open("listen_ready", g.cfg.ListenReady)
	l.mesh = open("listen_mesh", g.cfg.ListenMesh)
	if err != nil {
		return nil, err
	}
	if l.digests, err = net.ListenPacket("udp", g.cfg.ListenDigests); err != nil {
		return nil, errors.Wrapf(err, "listen_digests %q", g.cfg.ListenDigests)
	}
	return l, nil
}

// emitTableEvent logs an event of the table client.
func (g *Gateway) emitTableEvent(event eventlog.Event, f eventlog.Fields) {
	g.env.Events.Emit(event, f)
}

// servers are the HTTP servers of the process.
type servers struct {
	callers, ready, mesh *http.Server
	listener             *callerListener
}

const (
	// internalHeaderTimeout bounds the time to read the headers of a readiness check or of
	// another entry's request.
	internalHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds a caller's headers. The longest is the list of the prompt's parts.
	// The limit that the operator's document sets is not applied.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time to read the headers of the first request on a caller's
	// connection.
	headerTimeout = 5 * time.Second
)

// serve starts the HTTP servers on the sockets, and the receiver of packets from other entries.
func (g *Gateway) serve(l *listeners) *servers {
	s := &servers{listener: newCallerListener(l.callers, g.idleTimeout)}
	s.listener.onEnd, s.listener.onRefused = g.connectionEnded, g.connectionRefused
	s.callers = &http.Server{
		Handler:           http.HandlerFunc(g.serveCaller),
		ReadHeaderTimeout: headerTimeout,
		// The server sets a deadline on idle connections only if this is not zero. callerConn
		// replaces that deadline by the idle timeout in force.
		IdleTimeout:    defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		BaseContext:    func(net.Listener) context.Context { return g.callsCtx },
		ConnContext:    connContext,
		ConnState:      s.listener.connState,
		ErrorLog:       nil,
	}
	s.ready = &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: internalHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	s.mesh = &http.Server{Handler: g.mesh.Handler(), ReadHeaderTimeout: internalHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	go g.serveOn(s.callers, s.listener)
	go g.serveOn(s.ready, l.ready)
	go g.serveOn(s.mesh, l.mesh)
	go g.mesh.Receive()
	return s
}

// serveOn serves HTTP on a socket until the server or the socket is closed. It logs any other
// error that ends it.
func (g *Gateway) serveOn(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		g.env.Events.Emit(eventlog.GatewayListenerFailed, eventlog.Fields{Step: "serve", Peer: l.Addr().String(), Err: err})
	}
}

// idleTimeout returns how long a caller's connection may stay idle: the limit of the document
// in force, or defaultIdleTimeout.
func (g *Gateway) idleTimeout() time.Duration {
	if t := g.routes.Load(); t != nil && t.Document().Limits.IdleTimeout > 0 {
		return t.Document().Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// serveReady answers the load balancer's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.notReady() != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady returns why the readiness check fails; empty when the process is ready.
func (g *Gateway) notReady() string {
	switch {
	case g.draining.Load():
		return "shutting down"
	case g.routes.Load() == nil:
		return "no document"
	case g.fleet.Load().registry.Len() == 0:
		return "no upstreams"
	default:
		return ""
	}
}
