package standin

import (
	"context"
	"encoding/json"
	"fmt"
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
	// maxExecutions bounds the keys that a service remembers.
	maxExecutions = 1 << 20
	// maxInvokeBytes bounds the body of an invocation.
	maxInvokeBytes = 4 << 20
)

// executionKey names what must run at most once.
type executionKey struct{ name, key string }

type execution struct {
	count   int
	running int
	result  string
	// withdrawn says that a status query has answered "never": the key runs no more.
	withdrawn bool
}

// Service is a stand-in of an application engine or tool service. It never
// suppresses a double: it counts executions, so that tests can find them.
type Service struct {
	Faults *Faults
	config ServiceConfig

	mu         sync.Mutex
	executions map[executionKey]*execution
	order      []executionKey // oldest first
	running    int
	total      uint64
	downUntil  time.Time
	lastStart  time.Time
	id         string
}

// NewService returns a service stand-in.
func NewService(config ServiceConfig) *Service {
	orDefault(&config.Limit, defaultServiceLimit)
	orDefault(&config.TimeScale, 1)
	return &Service{
		Faults:     newFaults(),
		config:     config,
		executions: make(map[executionKey]*execution),
		id:         uuid.NewString(),
	}
}

// Double is a key that a service executed more than once.
type Double struct {
	Name  string `json:"name"`
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// ServiceStats counts what a service did since its start.
type ServiceStats struct {
	Executions uint64    `json:"executions"`
	Doubles    []Double  `json:"doubles"`
	LastStart  time.Time `json:"last_start"`
}

// Stats returns the counts so far and the keys executed more than once.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := ServiceStats{Executions: s.total, Doubles: []Double{}, LastStart: s.lastStart}
	for _, key := range s.order {
		if n := s.executions[key].count; n > 1 {
			stats.Doubles = append(stats.Doubles, Double{Name: key.name, Key: key.key, Count: n})
		}
	}
	return stats
}

// Executions returns how often a key was executed.
func (s *Service) Executions(name, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.executions[executionKey{name, key}]; e != nil {
		return e.count
	}
	return 0
}

// Handler returns the service's HTTP routes.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/invoke/{name}", s.serveInvoke)
	r.Get("/status", s.serveStatus)
	r.Get("/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Load()) })
	r.Get("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	r.Get("/executions", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		writeJSON(w, http.StatusOK, s.Executions(query.Get("name"), query.Get("key")))
	})
	r.Handle("/fault", s.Faults)
	return r
}

// Load returns the true load.
func (s *Service) Load() structs.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.running
	if lie, hit := s.Faults.peek(FaultLieLoad); hit {
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
	key := executionKey{name: chi.URLParam(r, "name"), key: request.Key}
	subject := key.name + " " + key.key + " " + string(request.Arguments)
	if s.crashed(subject) {
		dropConnection()
	}
	if !passes(w, r, s.Faults, subject) {
		return
	}
	if err := s.begin(key); err != nil {
		refuseInvoke(w, err)
		return
	}
	// The execution goes on when its client leaves, as a real one does.
	pause(context.WithoutCancel(r.Context()), s.duration(request.Arguments))
	result := s.end(key)
	if s.Faults.after(r.Context(), subject) {
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

// crashed reports whether the service is away, or crashes by a marked request.
func (s *Service) crashed(subject string) bool {
	crash, hit := s.Faults.take(FaultCrashMarked, subject)
	s.mu.Lock()
	defer s.mu.Unlock()
	if hit && crash.Match != "" {
		s.downUntil = time.Now().Add(time.Duration(defaultRestartTime))
	}
	return time.Now().Before(s.downUntil)
}

func (s *Service) begin(key executionKey) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.config.Names) > 0 && !slices.Contains(s.config.Names, key.name) {
		return errors.Wrapf(ErrUnknownService, "%q", key.name)
	}
	if s.running >= s.config.Limit {
		return errors.Wrapf(ErrBusy, "%d invocations run", s.running)
	}
	e := s.execution(key)
	if e.withdrawn {
		return errors.Wrapf(ErrWithdrawn, "%q", key.key)
	}
	s.running++
	s.total++
	s.lastStart = time.Now()
	e.running++
	e.count++
	e.result = fmt.Sprintf("%s done, number %d", key.name, s.total)
	return nil
}

// execution returns the record of a key. Calls without a key share one that is
// not counted as double.
func (s *Service) execution(key executionKey) *execution {
	if key.key == "" {
		return &execution{}
	}
	if e := s.executions[key]; e != nil {
		return e
	}
	if len(s.order) == maxExecutions {
		delete(s.executions, s.order[0])
		s.order = s.order[1:]
	}
	e := &execution{}
	s.executions[key] = e
	s.order = append(s.order, key)
	return e
}

func (s *Service) end(key executionKey) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	e := s.execution(key)
	e.running--
	if e.result == "" {
		return key.name + " done"
	}
	return e.result
}

// duration is the real time of an invocation.
func (s *Service) duration(arguments json.RawMessage) time.Duration {
	var timed struct {
		PauseMS *float64 `json:"pause_ms"`
	}
	d := time.Duration(s.config.Time)
	if json.Unmarshal(arguments, &timed) == nil && timed.PauseMS != nil {
		d = time.Duration(*timed.PauseMS * float64(time.Millisecond))
	}
	return time.Duration(float64(d) * s.config.TimeScale)
}

// serveStatus answers what is known of a key. After the answer "never" the key
// runs no more, so that the answer stays true.
func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	if s.crashed("") {
		dropConnection()
	}
	if !passes(w, r, s.Faults, r.URL.Path) {
		return
	}
	query := r.URL.Query()
	writeJSON(w, http.StatusOK, s.Status(query.Get("name"), query.Get("key")))
}

// Status returns the state of a key and withdraws it when it has never run.
func (s *Service) Status(name, key string) engine.StatusAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.execution(executionKey{name: name, key: key})
	switch {
	case e.running > 0:
		return engine.StatusAnswer{State: engine.ServiceRunning}
	case e.count > 0:
		return engine.StatusAnswer{State: engine.ServiceDone, Result: e.result}
	}
	e.withdrawn = true
	return engine.StatusAnswer{State: engine.ServiceNever}
}
