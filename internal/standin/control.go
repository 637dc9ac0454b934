package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

const (
	// maxControlBytes bounds the body of a control call.
	maxControlBytes = 4 << 20
	// maxHolds bounds the holds of an engine.
	maxHolds = 4096
)

// Handler returns the engine's HTTP routes.
func (m *Model) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", m.serveChat)
	r.Get("/v1/models", m.serveModels)
	r.Route("/control", func(r chi.Router) {
		r.Use(m.controlFaults)
		r.Post("/cancel", m.serveCancel)
		r.Post("/hold", m.serveHold)
		r.Post("/release", m.serveRelease)
		r.Get("/holds", m.serveHolds)
		r.Post("/export", m.serveExport)
		r.Post("/import", m.serveImport)
		r.Post("/load_model", m.serveLoadModel)
		r.Post("/role", m.serveRole)
		r.Get("/load", m.serveLoad)
		r.Get("/cache_events", m.serveCacheEvents)
		r.Get("/cache_snapshot", m.serveCacheSnapshot)
	})
	r.Get("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, m.Stats()) })
	r.Handle("/fault", m.Faults)
	return r
}

// controlFaults is middleware that drops control calls while the engine is down and
// applies the faults that act before a call.
func (m *Model) controlFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.isDown() {
			dropConnection()
		}
		if applyFaults(w, r, m.Faults, r.URL.Path) {
			next.ServeHTTP(w, r)
		}
	})
}

// decodeBody decodes the body of a control call. When the body is malformed, it answers 400
// and returns false.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	if err := readJSON(w, r, maxControlBytes, &body); err != nil {
		refuse(w, http.StatusBadRequest, structs.CodeBadRequest, err)
		return body, false
	}
	return body, true
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (m *Model) serveModels(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	models := slices.Clone(m.models)
	m.mu.Unlock()
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, id := range models {
		list.Data = append(list.Data, modelObject{ID: id, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (m *Model) serveCancel(w http.ResponseWriter, r *http.Request) {
	ref, ok := decodeBody[engine.CallRef](w, r)
	if !ok {
		return
	}
	if !m.Cancel(ref.CallID, ref.Attempt) {
		refuse(w, http.StatusNotFound, structs.CodeNotFound, errors.Newf("call %q attempt %d", ref.CallID, ref.Attempt))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (m *Model) serveHold(w http.ResponseWriter, r *http.Request) {
	ref, ok := decodeBody[engine.ProgramRef](w, r)
	if !ok {
		return
	}
	hold, err := m.Hold(ref.Program)
	if err != nil {
		refuse(w, http.StatusConflict, structs.CodeConflict, err)
		return
	}
	writeJSON(w, http.StatusOK, hold)
}

// Hold protects the cached blocks of a program's last call from eviction, until Release or
// until the engine needs their room for a call (see admit).
func (m *Model) Hold(program structs.ProgramID) (engine.Hold, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, held := m.cache.holds[program]; !held && len(m.cache.holds) >= maxHolds {
		return engine.Hold{}, errors.Newf("%d programs are held", len(m.cache.holds))
	}
	cached := m.cache.hold(program, m.lastChains.get(program))
	return engine.Hold{Program: program, Tokens: int64(cached) * kvcache.BlockTokens}, nil
}

func (m *Model) serveRelease(w http.ResponseWriter, r *http.Request) {
	ref, ok := decodeBody[engine.ProgramRef](w, r)
	if !ok {
		return
	}
	m.Release(ref.Program)
	w.WriteHeader(http.StatusNoContent)
}

// Release ends a program's hold; it reports whether there was one.
func (m *Model) Release(program structs.ProgramID) bool {
	defer m.wakeUp()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cache.dropHold(program)
}

// Holds returns the holds of the engine, sorted by program.
func (m *Model) Holds() []engine.Hold {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cache.listHolds()
}

func (m *Model) serveHolds(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, m.Holds())
}

func (m *Model) serveExport(w http.ResponseWriter, r *http.Request) {
	ref, ok := decodeBody[engine.ProgramRef](w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	chain := m.lastChains.get(ref.Program)
	chain = slices.Clone(chain[:m.cache.match(chain)])
	m.mu.Unlock()
	m.transfer(r.Context(), len(chain)*kvcache.BlockTokens)
	writeJSON(w, http.StatusOK, engine.CacheExport{Program: ref.Program, Blocks: chain})
}

func (m *Model) serveImport(w http.ResponseWriter, r *http.Request) {
	export, ok := decodeBody[engine.CacheExport](w, r)
	if !ok {
		return
	}
	m.transfer(r.Context(), len(export.Blocks)*kvcache.BlockTokens)
	m.mu.Lock()
	cached := m.cache.store(export.Blocks)
	m.lastChains.put(export.Program, export.Blocks[:cached])
	m.mu.Unlock()
	writeJSON(w, http.StatusOK, engine.Hold{Program: export.Program, Tokens: int64(cached) * kvcache.BlockTokens})
}

// fenced reports whether an order must be refused because its fencing number is lower
// than one accepted before. Otherwise it records the number as the highest accepted one.
func (m *Model) fenced(fence uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ignored := m.Faults.peek(FaultIgnoreFence)
	if fence < m.fence && !m.config.IgnoreFence && !ignored {
		return true
	}
	m.fence = max(m.fence, fence)
	return false
}

func (m *Model) serveLoadModel(w http.ResponseWriter, r *http.Request) {
	order, ok := decodeBody[engine.LoadModelOrder](w, r)
	if !ok {
		return
	}
	if m.fenced(order.Fence) {
		refuse(w, http.StatusConflict, structs.CodeFenced, errors.Wrapf(ErrFenced, "%d", order.Fence))
		return
	}
	pause(r.Context(), m.scaled(time.Duration(m.config.LoadTime)))
	m.mu.Lock()
	for _, name := range []string{order.Model, order.Adapter} {
		if at, found := slices.BinarySearch(m.models, name); !found && name != "" {
			m.models = slices.Insert(slices.Clone(m.models), at, name)
		}
	}
	m.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (m *Model) serveRole(w http.ResponseWriter, r *http.Request) {
	order, ok := decodeBody[engine.RoleOrder](w, r)
	if !ok {
		return
	}
	if m.fenced(order.Fence) {
		refuse(w, http.StatusConflict, structs.CodeFenced, errors.Wrapf(ErrFenced, "%d", order.Fence))
		return
	}
	m.mu.Lock()
	m.role = order.Role
	m.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Role returns the role set by the last accepted order.
func (m *Model) Role() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role
}

func (m *Model) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, m.Load())
}

func (m *Model) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, structs.CodeBadRequest, errors.Wrap(err, "query after"))
		return
	}
	writeJSON(w, http.StatusOK, m.CacheEvents(after))
}

// CacheEvents returns the events after a sequence number, delayed by FaultLateEvents and
// without those that FaultDropEvents takes.
func (m *Model) CacheEvents(after uint64) engine.CacheEvents {
	late, _ := m.Faults.peek(FaultLateEvents)
	m.mu.Lock()
	events := m.events.after(after, time.Now(), time.Duration(late.Delay))
	incarnation := m.events.incarnation
	m.mu.Unlock()
	published := make([]engine.CacheEvent, 0, len(events))
	for _, event := range events {
		if _, lost := m.Faults.take(FaultDropEvents, ""); !lost {
			published = append(published, event)
		}
	}
	return engine.CacheEvents{Incarnation: incarnation, Events: published}
}

// CacheSnapshot returns all cached blocks and the sequence number of the last event that
// they reflect.
func (m *Model) CacheSnapshot() engine.CacheSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return engine.CacheSnapshot{
		Incarnation: m.events.incarnation,
		Sequence:    m.events.sequence,
		Blocks:      m.cache.hashes(),
	}
}

func (m *Model) serveCacheSnapshot(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, m.CacheSnapshot())
}
