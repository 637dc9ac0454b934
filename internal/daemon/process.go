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

// Process identifies a process and gives the settings that its setup needs.
type Process struct {
	// Service is the name of the daemon; File is the path of its settings.
	Service string
	File    string
	Node    structs.NodeID
	Domain  structs.FailureDomain

	Log       settings.Log
	TLS       settings.TLS
	Telemetry settings.Telemetry
}

// Environment holds the log, the telemetry and the connection security that the
// components of a process share.
type Environment struct {
	Log       *eventlog.Logger
	Telemetry *telemetry.Telemetry
	Security  peer.Security
}

// Setup sets up the log, the telemetry and the TLS keys of a process. The log goes to standard
// error. The keys are reloaded when their files change, until ctx ends. The caller must call
// shutdown last, after everything that uses the environment has stopped; it exports the pending
// spans also when ctx has ended. On an error shutdown is nil.
func Setup(ctx context.Context, p Process) (env Environment, shutdown func(), err error) {
	if env.Log, err = eventlog.New(os.Stderr, p.Node, p.Log); err != nil {
		return env, nil, err
	}
	security, watchKeys, err := LoadSecurity(p.TLS, p.File, env.Log)
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
	go watchKeys(ctx)
	return env, func() { _ = env.Telemetry.Shutdown(context.WithoutCancel(ctx)) }, nil
}
