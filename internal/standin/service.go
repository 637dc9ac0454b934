package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// ServiceConfig configures a stand-in of an application engine or tool service.
type ServiceConfig struct {
	Name   string                `toml:"name"`
	Listen string                `toml:"listen"`
	VM     structs.VMID          `toml:"vm"`
	Domain structs.FailureDomain `toml:"domain"`
	// Names are the names of the services; when empty, any name is served.
	Names []string `toml:"names"`
	// Time is how long an invocation takes unless its arguments contain pause_ms.
	Time structs.Duration `toml:"time"`
	// Limit is the maximum number of invocations in progress; further ones are refused as
	// not run.
	Limit int `toml:"limit"`
	// TimeScale is the number of real seconds per modelled second.
	TimeScale float64 `toml:"time_scale"`
}

const (
	// defaultServiceLimit is the default of ServiceConfig.Limit.
	defaultServiceLimit = 1024
	// maxInvokeBytes bounds the body of an invocation.
	maxInvokeBytes = 4 << 20
)

// Service is a stand-in of an application engine or tool service. It executes a
// repeated key again and counts the executions, so that tests can find duplicates.
type Service struct {
	Faults *Faults
	config ServiceConfig

	ledger *Ledger
	// incarnation identifies the stand-in in load reports; FaultCrashMarked does not change it.
	incarnation string

	mu        sync.Mutex
	running   int
	downUntil time.Time
	lastStart time.Time
}

// NewService returns a service stand-in with a ledger of its own.
func NewService(config ServiceConfig) *Service { return NewServiceWithLedger(NewLedger(), config) }

// NewServiceWithLedger returns a service stand-in that shares a ledger with others, like
// application engines in front of one application.
func NewServiceWithLedger(ledger *Ledger, config ServiceConfig) *Service {
	orDefault(&config.Limit, defaultServiceLimit)
	orDefault(&config.TimeScale, 1)
	return &Service{
		Faults:      newFaults(),
		config:      config,
		ledger:      ledger,
		incarnation: uuid.NewString(),
	}
}

// ServiceStats counts the work of a service since its start. Executions and Duplicates are
// those of the ledger, which other services may share.
type ServiceStats struct {
	Executions uint64      `json:"executions"`
	Duplicates []Duplicate `json:"doubles"`
	LastStart  time.Time   `json:"last_start"`
}

// Stats returns the counters and the duplicate executions.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceStats{
		Executions: s.ledger.Total(),
		Duplicates: s.ledger.Duplicates(),
		LastStart:  s.lastStart,
	}
}

// Ledger returns the ledger of the service's executions.
func (s *Service) Ledger() *Ledger { return s.ledger }

// Handler returns the service's HTTP routes.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/invoke/{name}", s.serveInvoke)
	r.Get("/status", s.serveStatus)
	r.Get("/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Load()) })
	r.Get("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	r.Handle("/fault", s.Faults)
	return r
}

// Load returns the current load, multiplied by the factor of FaultWrongLoad.
func (s *Service) Load() structs.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.running
	if wrong, hit := s.Faults.peek(FaultWrongLoad); hit {
		running = int(float64(running) * wrong.Factor)
	}
	return structs.Load{
		Upstream:    structs.UpstreamID(s.config.Name),
		VM:          s.config.VM,
		Domain:      s.config.Domain,
		Kind:        structs.KindApplication,
		Models:      s.config.Names, // the names of the services take the place of models
		Running:     running,
		BatchLimit:  s.config.Limit,
		Incarnation: s.incarnation,
	}
}

func (s *Service) serveInvoke(w http.ResponseWriter, r *http.Request) {
	var request engine.InvokeRequest
	if err := readJSON(w, r, maxInvokeBytes, &request); err != nil {
		refuse(w, http.StatusBadRequest, structs.CodeBadRequest, err)
		return
	}
	name := chi.URLParam(r, "name")
	subject := name + " " + request.Key + " " + string(request.Arguments)
	if s.applyCrash(subject) {
		dropConnection()
	}
	if !applyFaults(w, r, s.Faults, subject) {
		return
	}
	arguments := readArguments(request.Arguments)
	if err := s.begin(name, request.Key, arguments.ActionID); err != nil {
		refuseInvoke(w, err)
		return
	}
	// The execution continues when the client disconnects, as at a real service.
	pause(context.WithoutCancel(r.Context()), s.duration(arguments))
	result := s.end(name, request.Key)
	if s.Faults.afterEffect(r.Context(), subject) {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, engine.InvokeResponse{Result: result})
}

// Errors with which a service refuses an invocation; a refused invocation is not run.
var (
	ErrUnknownService = errors.New("service does not exist")
	ErrBusy           = errors.New("service is at its limit")
	ErrWithdrawn      = errors.New("key was withdrawn by a status query")
)

func refuseInvoke(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrUnknownService):
		refuse(w, http.StatusNotFound, structs.CodeNotFound, err)
	case errors.Is(err, ErrWithdrawn):
		refuse(w, http.StatusConflict, structs.CodeConflict, err)
	default:
		refuse(w, http.StatusTooManyRequests, structs.CodeOverloaded, err)
	}
}

// applyCrash reports whether the service is down. A request that matches FaultCrashMarked
// takes it down for defaultRestartTime. /load and /stats are served in the meantime.
func (s *Service) applyCrash(subject string) bool {
	crash, hit := s.Faults.take(FaultCrashMarked, subject)
	s.mu.Lock()
	defer s.mu.Unlock()
	if hit && crash.Match != "" {
		s.downUntil = time.Now().Add(time.Duration(defaultRestartTime))
	}
	return time.Now().Before(s.downUntil)
}

// begin records the start of an invocation, or returns why it is refused.
func (s *Service) begin(name, key, actionID string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.config.Names) > 0 && !slices.Contains(s.config.Names, name) {
		return errors.Wrapf(ErrUnknownService, "%q", name)
	}
	if s.running >= s.config.Limit {
		return errors.Wrapf(ErrBusy, "%d invocations run", s.running)
	}
	if err := s.ledger.begin(name, key, actionID); err != nil {
		return err
	}
	s.running++
	s.lastStart = time.Now()
	return nil
}

// end records the end of an invocation and returns its result.
func (s *Service) end(name, key string) string {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	return s.ledger.end(name, key)
}

// serviceArguments are the arguments that a service stand-in evaluates.
type serviceArguments struct {
	// PauseMS is how long the invocation takes, in milliseconds of modelled time.
	PauseMS *float64 `json:"pause_ms"`
	// ActionID is the test's id of the action. It finds duplicate executions under
	// different idempotency keys.
	ActionID string `json:"action_id"`
}

func readArguments(text json.RawMessage) serviceArguments {
	var arguments serviceArguments
	if len(text) > 0 && json.Unmarshal(text, &arguments) != nil {
		return serviceArguments{}
	}
	return arguments
}

// duration returns how long an invocation takes in real time.
func (s *Service) duration(arguments serviceArguments) time.Duration {
	d := time.Duration(s.config.Time)
	if arguments.PauseMS != nil {
		d = time.Duration(*arguments.PauseMS * float64(time.Millisecond))
	}
	return time.Duration(float64(d) * s.config.TimeScale)
}

// serveStatus answers with the state of a key. After the answer "never" the key is refused,
// so that the answer stays true.
func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	if s.applyCrash("") {
		dropConnection()
	}
	if !applyFaults(w, r, s.Faults, r.URL.Path) {
		return
	}
	query := r.URL.Query()
	writeJSON(w, http.StatusOK, s.Status(query.Get("name"), query.Get("key")))
}

// Status returns the state of a key. It withdraws a key that has never run.
func (s *Service) Status(name, key string) engine.StatusResponse { return s.ledger.Status(name, key) }
