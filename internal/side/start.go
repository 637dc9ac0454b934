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

// Environment is what a side gets from the program it runs in.
type Environment struct {
	Log       *eventlog.Logger
	Telemetry *telemetry.Telemetry
	Security  peer.Security
	// PeerListener and HTTPListener replace the settings' addresses when they are
	// set; Run closes them.
	PeerListener net.Listener
	HTTPListener net.Listener
}

// vmListInterval is the time between two reads of the platform's list. Entries tell
// a side within a heartbeat or two; its own reads are for a side that none reaches.
const vmListInterval = 15 * time.Second

// Run runs a side by its settings until ctx ends, and then shuts it down
// gracefully: the gate closes, the calls in flight finish, the listeners close.
// ready is called once both listeners are open.
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

func (s *Server) serve(ctx context.Context, cfg *settings.Side, env Environment, g *grpc.Server, peerListener net.Listener, h *http.Server, httpListener net.Listener) error {
	// Duties go on while calls in flight finish after ctx has ended.
	dutyContext, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	var group errgroup.Group
	group.Go(func() error { return g.Serve(peerListener) })
	group.Go(func() error { return daemon.IgnoreServerClosed(h.Serve(httpListener)) })
	group.Go(func() error { return s.Run(dutyContext, s.vms, vmListInterval) })

	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), cfg.ShutdownGrace.Std())
	defer cancel()
	if err := s.Drain(grace); err != nil {
		env.Log.Emit(eventlog.SideShutdownBoundReached, eventlog.Fields{Count: int64(s.load().Running)})
	}
	stopDuties()
	g.Stop()
	_ = h.Shutdown(grace) // its requests are health checks
	env.Log.Emit(eventlog.SideStopped, eventlog.Fields{})
	return group.Wait()
}

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

func holdConfig(cfg *settings.Side) hold.Config {
	h := hold.DefaultConfig(cfg.Upstream.ID)
	h.ChecksFence = cfg.Upstream.Fencing == settings.FencingChecked
	h.LeaseTime = cfg.Hold.LeaseTime.Std()
	h.ReconcileInterval = cfg.Hold.ReconcileInterval.Std()
	h.MaxTokens = cfg.Hold.MaxTokens
	h.MaxLeases = cfg.Hold.MaxLeases
	return h
}

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
		reason := s.gate.Closed(time.Now())
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
