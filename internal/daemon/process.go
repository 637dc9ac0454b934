package daemon

import (
	"context"
	"os"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Process says which process is set up and by which settings.
type Process struct {
	// Service is the program's name, File that of its settings.
	Service string
	File    string
	Node    structs.NodeID
	Domain  structs.FailureDomain

	Log       settings.Log
	TLS       settings.TLS
	Telemetry settings.Telemetry
}

// Environment is what every process needs before it starts.
type Environment struct {
	Log       *eventlog.Logger
	Telemetry *telemetry.Telemetry
	Security  peer.Security
}

// Setup sets up the log, the telemetry and the keys of a process. Keys are followed
// until ctx ends; the caller must call shutdown last.
func Setup(ctx context.Context, p Process) (env Environment, shutdown func(), err error) {
	if env.Log, err = eventlog.New(os.Stderr, p.Node, p.Log); err != nil {
		return env, nil, err
	}
	security, follow, err := Security(p.TLS, p.File, env.Log)
	if err != nil {
		return env, nil, err
	}
	env.Security = security
	env.Telemetry, err = telemetry.New(ctx, p.Telemetry, telemetry.Options{
		Service: p.Service,
		Node:    p.Node,
		Domain:  p.Domain,
	})
	if err != nil {
		return env, nil, err
	}
	go follow(ctx)
	return env, func() { _ = env.Telemetry.Shutdown(context.WithoutCancel(ctx)) }, nil
}
