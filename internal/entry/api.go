package entry

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/internal/command"
	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/structs"
)

// register registers the gRPC service that other entries call.
func (e *entry) register(g *grpc.Server) { newPeerServer(e).register(g) }

// api returns the HTTP handler for callers and operators.
func (e *entry) api() http.Handler {
	o := operators{e}
	callers := map[string]structs.OrganisationID{}
	for _, c := range e.cfg.Callers {
		callers[c.Token] = c.Organisation
	}
	names := map[string]string{}
	for _, op := range e.cfg.Operators {
		names[op.Token] = op.Name
	}
	return httpapi.New(httpapi.Config{
		Tokens:    httpapi.NewTokens(callers, names),
		Home:      e.directory,
		Services:  serviceInvoker{e},
		Presets:   o,
		Drainer:   o,
		Orderer:   o,
		Actions:   o,
		System:    o,
		Limits:    command.DefaultLimits,
		BodyBytes: e.cfg.Limits.BodyBytes,
		NotReady:  e.notReady,
		Telemetry: e.env.Telemetry,
	})
}

// serviceInvoker implements command.Invoker. It invokes the plain services of application
// engines on behalf of callers.
type serviceInvoker struct {
	*entry
}

// Irreversible implements command.Invoker.
func (s serviceInvoker) Irreversible(name string) (irreversible, exists bool) {
	service, ok := s.tools.plainServices[name]
	return service.Irreversible, ok
}

// Invoke implements command.Invoker.
func (s serviceInvoker) Invoke(ctx context.Context, request structs.ToolRequest) (string, error) {
	if reason := s.notReady(); reason != "" {
		return "", errNotReady("invoke "+request.Name, reason)
	}
	request.Call = structs.CallID("service/" + uuid.NewString())
	request.Timeout = s.tools.plainServices[request.Name].Timeout.Std()
	return s.runner.Invoke(ctx, request)
}
