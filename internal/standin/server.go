package standin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Config configures the stand-ins of one process. Each has its own port.
type Config struct {
	// TimeScale applies to every engine and service that has none of its own.
	TimeScale    float64         `toml:"time_scale"`
	Platform     *PlatformConfig `toml:"platform"`
	Models       []ModelConfig   `toml:"models"`
	Applications []ServiceConfig `toml:"applications"`
	Tools        []ServiceConfig `toml:"tools"`
}

// Group contains the running stand-ins of one process. All application engines share one
// ledger, all tool services another.
type Group struct {
	Platform     *Platform
	Models       []*Model
	Applications []*Service
	Tools        []*Service

	listeners []namedListener
	servers   []*http.Server
}

// namedListener is the listener of one stand-in and the handler that it serves.
type namedListener struct {
	name string
	*reopeningListener
	handler http.Handler
}

const (
	// readHeaderTimeout bounds the time for the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait of Close for requests in progress.
	shutdownTimeout = 2 * time.Second
)

// Start opens every port of the configuration and serves the stand-ins until Close.
// A stand-in whose address ends in ":0" takes a free port, which Addresses returns.
func Start(config Config) (*Group, error) {
	g := &Group{}
	if err := g.build(config); err != nil {
		g.Close()
		return nil, err
	}
	for _, l := range g.listeners {
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout}
		g.servers = append(g.servers, server)
		go server.Serve(l) //nolint:errcheck // Serve returns when Close closes the listener
	}
	return g, nil
}

func (g *Group) build(config Config) error {
	if config.Platform != nil {
		g.Platform = NewPlatform(*config.Platform)
		if err := g.listen("platform", config.Platform.Listen, g.Platform.Handler()); err != nil {
			return err
		}
	}
	for _, c := range config.Models {
		orDefault(&c.TimeScale, config.TimeScale)
		model := NewModel(c)
		g.Models = append(g.Models, model)
		if err := g.listen(c.Name, c.Listen, model.Handler()); err != nil {
			return err
		}
		model.onCrash(g.listeners[len(g.listeners)-1].crash)
	}
	var err error
	if g.Applications, err = g.services(config.Applications, config.TimeScale); err != nil {
		return err
	}
	g.Tools, err = g.services(config.Tools, config.TimeScale)
	return err
}

func (g *Group) services(configs []ServiceConfig, timeScale float64) ([]*Service, error) {
	ledger := NewLedger()
	var out []*Service
	for _, c := range configs {
		orDefault(&c.TimeScale, timeScale)
		service := NewServiceWithLedger(ledger, c)
		out = append(out, service)
		if err := g.listen(c.Name, c.Listen, service.Handler()); err != nil {
			return out, err
		}
	}
	return out, nil
}

func (g *Group) listen(name, address string, handler http.Handler) error {
	for _, l := range g.listeners {
		if l.name == name {
			return errors.Newf("stand-in %q is configured twice", name)
		}
	}
	l, err := newReopeningListener(address)
	if err != nil {
		return errors.Wrapf(err, "stand-in %q", name)
	}
	g.listeners = append(g.listeners, namedListener{name: name, reopeningListener: l, handler: handler})
	return nil
}

// Addresses returns the base URLs of the stand-ins by name; the platform's name is
// "platform".
func (g *Group) Addresses() map[string]string {
	out := make(map[string]string, len(g.listeners))
	for _, l := range g.listeners {
		out[l.name] = fmt.Sprintf("http://%s", l.Addr())
	}
	return out
}

// Close ends every call and closes the ports. It waits up to shutdownTimeout for the
// requests in progress, then closes the remaining connections.
func (g *Group) Close() {
	for _, model := range g.Models {
		model.Close()
	}
	for _, l := range g.listeners {
		_ = l.Close() // a port that cannot be closed here is closed when the process exits
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var stopping errgroup.Group
	for _, server := range g.servers {
		stopping.Go(func() error {
			if err := server.Shutdown(ctx); err != nil {
				return server.Close()
			}
			return nil
		})
	}
	_ = stopping.Wait() // an error here cannot be handled further
}
