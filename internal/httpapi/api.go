// Package httpapi serves the HTTP APIs of callers and operators. It authenticates and
// decodes requests, passes them to the handlers of packages command and query, and
// encodes their results. It makes no scheduling decisions. Every error is a problem
// document as defined by RFC 9457.
package httpapi

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/buckthornroute/buckthornroute/internal/command"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
)

// Config holds the dependencies and limits of the API.
type Config struct {
	Tokens *Tokens
	Home   home.Home
	// Services invokes the services that callers use outside a program.
	Services command.Invoker
	// Presets, Drainer, Orderer and Actions carry out the operators' changes.
	Presets command.Presets
	Drainer command.Drainer
	Orderer command.Orderer
	Actions command.Actions
	// System answers the operators' queries.
	System query.System
	Limits command.Limits
	// BodyBytes bounds a request body. 0 means DefaultBodyBytes.
	BodyBytes int64
	// NotReady returns the reason why the process accepts no new work; empty if it accepts new work.
	NotReady func() string
	// Telemetry records the spans and serves GET /metrics. Nil disables both.
	Telemetry *telemetry.Telemetry
}

// DefaultBodyBytes bounds a request body when Config.BodyBytes is 0.
const DefaultBodyBytes = 2 << 20

// maxHeaderBytes bounds the size of a request's headers.
const maxHeaderBytes = 16 << 10

// readHeaderTimeout bounds the time a client may take to send the headers.
const readHeaderTimeout = 10 * time.Second

// api has the HTTP handler functions of all routes as its methods. Each of its fields but
// Config carries out one kind of command or query.
type api struct {
	Config

	open     command.OpenProgramHandler
	turn     command.SendTurnHandler
	end      command.EndProgramHandler
	invoke   command.InvokeServiceHandler
	put      command.PutPresetHandler
	switchTo command.SwitchPresetHandler
	drain    command.DrainVMHandler
	settle   command.SettleActionHandler
	order    command.OrderUpstreamHandler
	read     query.ReadProgramHandler
	list     query.ListProgramsHandler
}

// New returns the handler for all routes.
func New(c Config) http.Handler {
	if c.BodyBytes == 0 {
		c.BodyBytes = DefaultBodyBytes
	}
	if c.Telemetry == nil {
		c.Telemetry = telemetry.Disabled()
	}
	a := &api{
		Config:   c,
		open:     command.OpenProgramHandler{Home: c.Home, Limits: c.Limits},
		turn:     command.SendTurnHandler{Home: c.Home, Limits: c.Limits},
		end:      command.EndProgramHandler{Home: c.Home},
		invoke:   command.InvokeServiceHandler{Services: c.Services, Limits: c.Limits},
		put:      command.PutPresetHandler{Presets: c.Presets},
		switchTo: command.SwitchPresetHandler{Presets: c.Presets},
		drain:    command.DrainVMHandler{Drainer: c.Drainer},
		settle:   command.SettleActionHandler{Actions: c.Actions},
		order:    command.OrderUpstreamHandler{Orderer: c.Orderer},
		read:     query.ReadProgramHandler{Home: c.Home},
		list:     query.ListProgramsHandler{Home: c.Home},
	}
	r := chi.NewRouter()
	r.Use(recoverPanic)
	r.NotFound(a.notFound)
	r.MethodNotAllowed(a.notFound)
	r.Get("/healthz", a.healthz)
	r.Get("/readyz", a.readyz)
	r.Handle("/metrics", c.Telemetry.MetricsHandler())
	r.Route("/v1", a.callerRoutes)
	r.Route("/operator", a.operatorRoutes)
	return c.Telemetry.Middleware("http")(r)
}

// callerRoutes adds the routes below /v1. Their handlers see only the programs of the caller's
// organisation.
func (a *api) callerRoutes(r chi.Router) {
	r.Use(a.Tokens.requireCaller)
	r.Get("/programs", a.listOwnPrograms)
	r.Post("/programs", a.openProgram)
	r.Get("/programs/{program}", a.readProgram)
	r.Delete("/programs/{program}", a.closeProgram)
	r.Get("/programs/{program}/history", a.readHistory)
	r.Post("/programs/{program}/turns", a.sendTurn)
	r.Get("/programs/{program}/turns/{turn}", a.attachTurn)
	r.Post("/programs/{program}/cancel", a.cancelProgram)
	r.Post("/services/{service}", a.invokeService)
}

// operatorRoutes adds the routes below /operator. readProgram and readHistory serve operators
// too: without a caller's organisation they read the programs of all organisations.
func (a *api) operatorRoutes(r chi.Router) {
	r.Use(a.Tokens.requireOperator)
	r.Get("/presets", a.listPresets)
	r.Get("/presets/{preset}", a.showPreset)
	r.Put("/presets/{preset}", a.putPreset)
	r.Post("/presets/{preset}/switch", a.switchPreset)
	r.Get("/preset", a.presetInForce)
	r.Get("/nodes", a.listNodes)
	r.Post("/vms/{vm}/drain", a.drainVM)
	r.Post("/vms/{vm}/undrain", a.undrainVM)
	r.Post("/upstreams/{upstream}/orders", a.orderUpstream)
	r.Get("/programs", a.listPrograms)
	r.Get("/programs/{program}", a.readProgram)
	r.Get("/programs/{program}/history", a.readHistory)
	r.Get("/actions", a.listActions)
	r.Post("/actions/settle", a.settleAction)
	r.Get("/status", a.status)
}

// NewServer returns an HTTP server with this package's limits on headers.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
