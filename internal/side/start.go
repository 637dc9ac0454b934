package side

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/hold"
	"github.com/buckthornroute/buckthornroute/internal/daemon"
	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Environment holds the dependencies that the program's main function passes to Run.
type Environment struct {
	Log       *eventlog.Logger
	Telemetry *telemetry.Telemetry
	Security  peer.Security
	// PeerListener and HTTPListener replace the listeners on the addresses in the
	// settings if they are not nil. Run closes them when it stops serving.
	PeerListener net.Listener
	HTTPListener net.Listener
}

// vmListInterval is the interval between two reads of the platform's list of VMs. Entries
// notify a side of a leaving VM within 1 to 2 heartbeats, so its own reads are only for a
// side that no entry can reach.
const vmListInterval = 15 * time.Second

// Run runs a side with the settings until ctx ends. It then shuts down gracefully:
// it closes the gate, waits for the calls in flight, and closes the listeners.
// Run calls ready once both listeners are open.
func Run(ctx context.Context, cfg *settings.Side, env Environment, ready func()) error {
	s, err := newFromSettings(cfg, env)
	if err != nil {
		return err
	}
	defer s.closeUpstream()
	peerListener, httpListener, err := daemon.Listen(env.PeerListener, cfg.ListenPeer, env.HTTPListener, cfg.ListenHTTP)
	if err != nil {
		return err
	}
	g := peer.NewServer(peer.Options{Security: env.Security, Telemetry: env.Telemetry})
	s.Register(g)
	h := httpapi.NewServer(s.healthRoutes(env.Telemetry))
	env.Log.Emit(eventlog.SideStarted, eventlog.Fields{Detail: cfg.ListenPeer})
	ready()
	return s.serve(ctx, cfg, env, g, peerListener, h, httpListener)
}

// serve serves gRPC and HTTP on the listeners until ctx ends, and shuts down.
func (s *Server) serve(ctx context.Context, cfg *settings.Side, env Environment, g *grpc.Server, peerListener net.Listener, h *http.Server, httpListener net.Listener) error {
	// The background work continues after ctx has ended, until the calls in flight have
	// finished.
	workContext, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var group errgroup.Group
	group.Go(func() error { return g.Serve(peerListener) })
	group.Go(func() error { return daemon.IgnoreServerClosed(h.Serve(httpListener)) })
	group.Go(func() error { return s.Run(workContext, s.vms, vmListInterval) })

	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), cfg.ShutdownGrace.Std())
	defer cancel()
	if err := s.Drain(grace); err != nil {
		env.Log.Emit(eventlog.SideShutdownBoundReached, eventlog.Fields{Count: int64(s.load().Running)})
	}
	stopWork()
	g.Stop()
	_ = h.Shutdown(grace) // pending HTTP requests are only health checks and metrics
	env.Log.Emit(eventlog.SideStopped, eventlog.Fields{})
	return group.Wait()
}

// newFromSettings returns a Server with the client of its upstream and, if the settings
// name a platform, the platform's client.
func newFromSettings(cfg *settings.Side, env Environment) (*Server, error) {
	c := Config{
		Node:         cfg.Node,
		VM:           cfg.VM,
		Domain:       cfg.FailureDomain,
		Upstream:     cfg.Upstream.ID,
		Kind:         cfg.Upstream.Kind,
		Models:       cfg.Upstream.Models,
		BatchLimit:   cfg.BatchLimit,
		QueueLimit:   cfg.QueueLimit,
		SilenceLimit: cfg.SilenceLimit.Std(),
		Hold:         holdConfig(cfg),
		Incarnation:  uuid.NewString(),
		Log:          env.Log,
	}
	transport := env.Telemetry.Transport(daemon.HTTPTransport())
	if cfg.Upstream.Kind == structs.KindModel {
		model := engine.NewModel(cfg.Upstream.ID, cfg.Upstream.URL, transport)
		c.Model, c.closeUpstream = model, model.Close
	} else {
		service := engine.NewService(cfg.Upstream.ID, cfg.Upstream.URL, transport)
		c.Service, c.closeUpstream = service, service.Close
	}
	var vms platform.VMList
	if cfg.PlatformURL != "" {
		client := platform.NewClientWithTransport(cfg.PlatformURL, env.Telemetry.Transport(daemon.HTTPTransport()))
		c.Table, vms = client, client
	}
	s, err := New(c)
	if err != nil {
		return nil, err
	}
	s.vms = vms
	return s, nil
}

// holdConfig returns the configuration of the leases.
func holdConfig(cfg *settings.Side) hold.Config {
	h := hold.DefaultConfig(cfg.Upstream.ID)
	h.ChecksFence = cfg.Upstream.Fencing == settings.FencingChecked
	h.LeaseTime = cfg.Hold.LeaseTime.Std()
	h.ReconcileInterval = cfg.Hold.ReconcileInterval.Std()
	h.MaxTokens = cfg.Hold.MaxTokens
	h.MaxLeases = cfg.Hold.MaxLeases
	return h
}

// closeUpstream closes the connections to the upstream.
func (s *Server) closeUpstream() {
	if s.cfg.closeUpstream != nil {
		s.cfg.closeUpstream()
	}
}

// healthRoutes serves /healthz, /readyz and /metrics.
func (s *Server) healthRoutes(t *telemetry.Telemetry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		reason := s.gate.ClosedReason(time.Now())
		s.mu.Unlock()
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", t.MetricsHandler())
	return mux
}
