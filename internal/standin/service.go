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

// ServiceConfig sets up a stand-in of application engines or of tool services.
type ServiceConfig struct {
	Name   string                `toml:"name"`
	Listen string                `toml:"listen"`
	VM     structs.VMID          `toml:"vm"`
	Domain structs.FailureDomain `toml:"domain"`
	// Names are the services; empty serves any name.
	Names []string `toml:"names"`
	// Time is how long an invocation takes unless its arguments name pause_ms.
	Time structs.Duration `toml:"time"`
	// Limit is the number of invocations that run at once; more are refused as not run.
	Limit int `toml:"limit"`
	// TimeScale is the real time of one modelled second.
	TimeScale float64 `toml:"time_scale"`
}

const (
	defaultServiceLimit = 1024
	// maxInvokeBytes bounds the body of an invocation.
	maxInvokeBytes = 4 << 20
)

// Service is a stand-in of an application engine or tool service. It never
// suppresses a double: it counts executions, so that tests can find them.
type Service struct {
	Faults *Faults
	config ServiceConfig

	ledger *Ledger
	id     string

	mu        sync.Mutex
	running   int
	downUntil time.Time
	lastStart time.Time
}

// NewService returns a service stand-in with a ledger of its own.
func NewService(config ServiceConfig) *Service { return NewServiceWithLedger(NewLedger(), config) }

// NewServiceWithLedger returns a service stand-in that shares a ledger with others, as
// the engines before one portal do.
func NewServiceWithLedger(ledger *Ledger, config ServiceConfig) *Service {
	orDefault(&config.Limit, defaultServiceLimit)
	orDefault(&config.TimeScale, 1)
	return &Service{
		Faults: newFaults(),
		config: config,
		ledger: ledger,
		id:     uuid.NewString(),
	}
}

// ServiceStats counts what a service did since its start. Executions and doubles
// are those of the ledger.
type ServiceStats struct {
	Executions uint64      `json:"executions"`
	Duplicates []Duplicate `json:"doubles"`
	LastStart  time.Time   `json:"last_start"`
}

// Stats returns the counts so far and what was executed more than once.
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

// Load returns the true load.
func (s *Service) Load() structs.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.running
	if lie, hit := s.Faults.peek(FaultWrongLoad); hit {
		running = int(float64(running) * lie.Factor)
	}
	return structs.Load{
		Upstream:    structs.UpstreamID(s.config.Name),
		VM:          s.config.VM,
		Domain:      s.config.Domain,
		Kind:        structs.KindApplication,
		Models:      s.config.Names,
		Running:     running,
		BatchLimit:  s.config.Limit,
		Incarnation: s.id,
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
	if s.checkCrash(subject) {
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
	// The execution goes on when its client leaves, as a real one does.
	pause(context.WithoutCancel(r.Context()), s.duration(arguments))
	result := s.end(name, request.Key)
	if s.Faults.afterEffect(r.Context(), subject) {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, engine.InvokeAnswer{Result: result})
}

// Errors with which a service refuses an invocation before it starts it.
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

// checkCrash reports whether the service is away, or crashes by a marked request.
func (s *Service) checkCrash(subject string) bool {
	crash, hit := s.Faults.take(FaultCrashMarked, subject)
	s.mu.Lock()
	defer s.mu.Unlock()
	if hit && crash.Match != "" {
		s.downUntil = time.Now().Add(time.Duration(defaultRestartTime))
	}
	return time.Now().Before(s.downUntil)
}

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

func (s *Service) end(name, key string) string {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	return s.ledger.end(name, key)
}

// serviceArguments are the arguments that a stand-in heeds.
type serviceArguments struct {
	// PauseMS is how long the invocation takes.
	PauseMS *float64 `json:"pause_ms"`
	// ActionID is the test's own name of the action, by which doubles under
	// different keys are found.
	ActionID string `json:"action_id"`
}

func readArguments(text json.RawMessage) serviceArguments {
	var arguments serviceArguments
	if len(text) > 0 && json.Unmarshal(text, &arguments) != nil {
		return serviceArguments{}
	}
	return arguments
}

// duration is the real time of an invocation.
func (s *Service) duration(arguments serviceArguments) time.Duration {
	d := time.Duration(s.config.Time)
	if arguments.PauseMS != nil {
		d = time.Duration(*arguments.PauseMS * float64(time.Millisecond))
	}
	return time.Duration(float64(d) * s.config.TimeScale)
}

// serveStatus answers what is known of a key. After the answer "never" the key
// runs no more, so that the answer stays true.
func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	if s.checkCrash("") {
		dropConnection()
	}
	if !applyFaults(w, r, s.Faults, r.URL.Path) {
		return
	}
	query := r.URL.Query()
	writeJSON(w, http.StatusOK, s.Status(query.Get("name"), query.Get("key")))
}

// Status returns the state of a key and withdraws it when it has never run.
func (s *Service) Status(name, key string) engine.StatusAnswer { return s.ledger.Status(name, key) }
