package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// cancelTimeout limits the cancel request for a call whose context has ended.
const cancelTimeout = time.Second

// Model is the client of one model engine. It is safe for concurrent use.
type Model struct {
	client
	id structs.UpstreamID
	// cancels counts the cancel requests in flight.
	cancels sync.WaitGroup
}

// NewModel returns a client of the engine at the base URL, with the given transport or with a
// new one if it is nil.
func NewModel(id structs.UpstreamID, base string, transport http.RoundTripper) *Model {
	return &Model{client: newClient(id, base, transport), id: id}
}

// Close waits for the cancel requests in flight and closes idle connections.
func (m *Model) Close() {
	m.cancels.Wait()
	m.http.CloseIdleConnections()
}

// CallOptions are the options of one attempt of a call.
type CallOptions struct {
	// Priority orders the calls that wait at the engine: the lowest number runs first.
	Priority int
	// Resume is the text that earlier attempts delivered; the engine continues after it.
	Resume string
}

// Call runs one attempt and returns the complete answer. onChunk, if not nil, is called with
// each new part of the text and its offset in bytes; it must return quickly, since no more of
// the stream is read meanwhile. When ctx ends, the engine is asked to cancel the call.
//
// A repeated chunk is dropped. For a chunk of another call or attempt, a gap in the text, or a
// stream that ends early, Call returns a refusal with outcome unknown. Unless ctx has ended, it
// also matches ErrWrongCall, ErrWrongOffset or ErrStreamBroken.
func (m *Model) Call(ctx context.Context, call structs.ModelCall, options CallOptions, onChunk func(offset int, text string)) (structs.ModelAnswer, error) {
	request := ChatRequest{
		Model:         call.Model,
		Messages:      ToChat(call.Messages),
		MaxTokens:     call.MaxTokens,
		Stream:        true,
		StreamOptions: &StreamOptions{IncludeUsage: true},
		CallID:        call.Call,
		Attempt:       call.Attempt,
		Program:       call.Program,
		Priority:      options.Priority,
		ResumeOffset:  len(options.Resume),
	}
	response, err := m.send(ctx, stepModelCall, "/v1/chat/completions", request)
	if err != nil {
		m.cancelIfEnded(ctx, call, err)
		return structs.ModelAnswer{}, err
	}
	defer response.Body.Close()
	answer := newAnswerReader(m.client, call, options.Resume, onChunk)
	if err := answer.read(ctx, response.Body); err != nil {
		m.cancelIfEnded(ctx, call, err)
		return structs.ModelAnswer{}, err
	}
	return answer.result(m.id), nil
}

// Steps named in refusals.
const (
	stepModelCall = "model call"
	stepControl   = "engine control"
)

// cancelIfEnded asks the engine to cancel a call whose context has ended, unless the error
// shows that the engine did not run it. It does not wait for the answer.
func (m *Model) cancelIfEnded(ctx context.Context, call structs.ModelCall, err error) {
	if ctx.Err() == nil || structs.AsRefusal(err).Outcome == structs.OutcomeNotRun {
		return
	}
	m.cancels.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		_ = m.Cancel(ctx, CallRef{CallID: call.Call, Attempt: call.Attempt}) // the closed connection also signals the end to the engine
	})
}

// Cancel ends one attempt of a call. It returns a refusal with CodeNotFound when the engine
// has no such attempt.
func (m *Model) Cancel(ctx context.Context, ref CallRef) error {
	return m.exchange(ctx, stepControl, "/control/cancel", ref, nil)
}

// Hold makes the engine retain the KV cache of a program's last call until Release.
func (m *Model) Hold(ctx context.Context, program structs.ProgramID) (Hold, error) {
	var hold Hold
	err := m.exchange(ctx, stepControl, "/control/hold", ProgramRef{Program: program}, &hold)
	return hold, err
}

// Release ends a hold. It succeeds also when nothing is held for the program.
func (m *Model) Release(ctx context.Context, program structs.ProgramID) error {
	return m.exchange(ctx, stepControl, "/control/release", ProgramRef{Program: program}, nil)
}

// Holds lists the holds at the engine, one for each program.
func (m *Model) Holds(ctx context.Context) ([]Hold, error) {
	var holds []Hold
	err := m.exchange(ctx, stepControl, "/control/holds", nil, &holds)
	return holds, err
}

// Load returns the engine's load report, which lags behind its state.
func (m *Model) Load(ctx context.Context) (structs.Load, error) {
	var load structs.Load
	err := m.exchange(ctx, stepControl, "/control/load", nil, &load)
	return load, err
}

// CacheEvents returns the cache events after a sequence number. Events may be late and
// numbers may be missing.
func (m *Model) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var events CacheEvents
	err := m.exchange(ctx, stepControl, "/control/cache_events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// CacheSnapshot returns all cached blocks.
func (m *Model) CacheSnapshot(ctx context.Context) (CacheSnapshot, error) {
	var snapshot CacheSnapshot
	err := m.exchange(ctx, stepControl, "/control/cache_snapshot", nil, &snapshot)
	return snapshot, err
}

// Export returns the KV cache of a program's last call, for Import elsewhere.
func (m *Model) Export(ctx context.Context, program structs.ProgramID) (CacheExport, error) {
	var export CacheExport
	err := m.exchange(ctx, stepControl, "/control/export", ProgramRef{Program: program}, &export)
	return export, err
}

// Import stores exported KV cache at the engine and returns how much of it the engine holds.
func (m *Model) Import(ctx context.Context, export CacheExport) (Hold, error) {
	var hold Hold
	err := m.exchange(ctx, stepControl, "/control/import", export, &hold)
	return hold, err
}

// LoadModel orders the engine to load a model or adapter. It returns a refusal with
// CodeFenced when the engine checks fencing numbers and that of the order is old.
func (m *Model) LoadModel(ctx context.Context, order LoadModelOrder) error {
	return m.exchange(ctx, stepControl, "/control/load_model", order, nil)
}

// SetRole orders the engine to change its role. Fencing applies as for LoadModel.
func (m *Model) SetRole(ctx context.Context, order RoleOrder) error {
	return m.exchange(ctx, stepControl, "/control/role", order, nil)
}

// Models lists the models that the engine has loaded.
func (m *Model) Models(ctx context.Context) ([]string, error) {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := m.exchange(ctx, stepControl, "/v1/models", nil, &list); err != nil {
		return nil, err
	}
	models := make([]string, len(list.Data))
	for i, model := range list.Data {
		models[i] = model.ID
	}
	return models, nil
}

// decodeChunk decodes one event of a stream.
func decodeChunk(data []byte) (ChatChunk, error) {
	var chunk ChatChunk
	err := json.Unmarshal(data, &chunk)
	return chunk, err
}
