package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/turnlog"
)

const (
	// meshDialTimeout is the timeout for dialling another entry.
	meshDialTimeout = 150 * time.Millisecond
	// maxMeshBody is the maximum size in bytes of a message between entries. A list of a few
	// thousand rows fits.
	maxMeshBody = 8 << 20
	// maxMeshIdleConns is the maximum number of idle connections to one entry.
	maxMeshIdleConns = 4
)

// Codes by which entries pass on errors of the platform's table.
const (
	codeConflict    = "conflict"
	codeNotFound    = "not_found"
	codeNotApplied  = "not_applied"
	codeHistoryGone = "history_gone"
	codeUnavailable = "unavailable"
)

// tableCall asks a peer to make a call to the platform's table. The path of the message
// names the call.
type tableCall struct {
	Txn *platformapi.Txn `json:"txn,omitempty"`
	// Key is the key of a get; Prefix selects the rows of the other reads.
	Key    string `json:"key,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// After is the version after which changes are returned, Wait how long to wait for them.
	After int64 `json:"after,omitempty"`
	// From is the key after which a scan begins, Limit the maximum number of its rows.
	From  string        `json:"from,omitempty"`
	Limit int           `json:"limit,omitempty"`
	Wait  time.Duration `json:"wait,omitempty"`
}

// tableAnswer is the result of a tableCall. Code is empty on success.
type tableAnswer struct {
	Code    string               `json:"code,omitempty"`
	Detail  string               `json:"detail,omitempty"`
	Rows    []platformapi.Row    `json:"rows,omitempty"`
	Changes []platformapi.Change `json:"changes,omitempty"`
	Version int64                `json:"version,omitempty"`
}

// handler returns the HTTP handler for messages of other entries.
func (m *mesh) handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/table/{verb}", m.serveTable)
	r.Post("/chain", m.serveChain)
	r.Post("/grants", m.serveGrants)
	r.Post("/crashes", m.serveRecords)
	r.Post("/document", m.g.documents.serve)
	return r
}

// serveTable makes a call to the table for an entry that can't reach the table. It calls the table
// only directly, so that entries cannot forward a call in a loop.
func (m *mesh) serveTable(w http.ResponseWriter, r *http.Request) {
	var call tableCall
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMeshBody)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := m.callTable(r.Context(), chi.URLParam(r, "verb"), &call)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		m.g.env.Requests.Info("mesh_answer_lost").Str("peer", r.RemoteAddr).Err(err).End()
	}
}

// callTable makes the call that the verb names to the table, directly.
func (m *mesh) callTable(ctx context.Context, verb string, c *tableCall) (a tableAnswer) {
	t := m.g.table.direct
	var err error
	switch verb {
	case "apply":
		if c.Txn == nil {
			return tableAnswer{Code: codeNotApplied, Detail: "no transaction"}
		}
		err = t.Apply(ctx, *c.Txn)
	case "get":
		var row platformapi.Row
		row, err = t.Get(ctx, c.Key)
		a.Rows = []platformapi.Row{row}
	case "scan":
		a.Rows, err = t.Scan(ctx, c.Prefix, c.From, c.Limit)
	case "snapshot":
		a.Rows, a.Version, err = t.Snapshot(ctx, c.Prefix)
	case "changes":
		a.Changes, a.Version, err = t.Changes(ctx, c.Prefix, c.After, c.Wait)
	default:
		return tableAnswer{Code: codeNotApplied, Detail: "unknown call " + verb}
	}
	if err != nil {
		return encodeError(err)
	}
	return a
}

// encodeError returns the answer for an error of the table. An error without a code of its own is
// sent as codeUnavailable.
func encodeError(err error) tableAnswer {
	var conflict *platformapi.Conflict
	a := tableAnswer{Code: codeUnavailable, Detail: err.Error()}
	switch {
	case errors.As(err, &conflict):
		a.Code, a.Rows = codeConflict, conflict.Rows
	case errors.Is(err, platformapi.ErrNotFound):
		a.Code = codeNotFound
	case errors.Is(err, platformapi.ErrHistoryGone):
		a.Code = codeHistoryGone
	case errors.Is(err, platformapi.ErrNotApplied):
		a.Code = codeNotApplied
	}
	return a
}

// err returns the error that Code represents; nil on success.
func (a *tableAnswer) err() error {
	switch a.Code {
	case "":
		return nil
	case codeConflict:
		return &platformapi.Conflict{Rows: a.Rows}
	case codeNotFound:
		return platformapi.ErrNotFound
	case codeHistoryGone:
		return platformapi.ErrHistoryGone
	case codeNotApplied:
		return errors.Wrap(platformapi.ErrNotApplied, a.Detail)
	default:
		return errors.Wrap(platformapi.ErrUnavailable, a.Detail)
	}
}

// meshClient sends messages to other entries.
type meshClient struct{ http *http.Client }

func newMeshClient() *meshClient {
	dialer := &net.Dialer{Timeout: meshDialTimeout}
	return &meshClient{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxMeshIdleConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}}
}

func (c *meshClient) close() { c.http.CloseIdleConnections() }

// post sends a message and decodes the answer. Failures to send it or to get a valid answer are
// marked as platformapi.ErrUnavailable.
func (c *meshClient) post(ctx context.Context, address, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "create request to entry %q", address)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "send %s to entry %q", path, address), platformapi.ErrUnavailable)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMeshBody))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("status %d", resp.StatusCode)
	}
	if err == nil {
		err = json.Unmarshal(data, answer)
	}
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "answer of entry %q to %s", address, path), platformapi.ErrUnavailable)
	}
	return nil
}

// remoteTable accesses the platform's table through another entry.
type remoteTable struct {
	client  *meshClient
	address string
}

var _ platformapi.Watcher = (*remoteTable)(nil)

// call sends a call to the other entry. A failure to reach that entry or to get a valid answer is
// marked as errPeerUnreachable; any other error is the one that the table returned.
func (t *remoteTable) call(ctx context.Context, verb string, c tableCall) (*tableAnswer, error) {
	var a tableAnswer
	if err := t.client.post(ctx, t.address, "/table/"+verb, c, &a); err != nil {
		return nil, errors.Mark(err, errPeerUnreachable)
	}
	return &a, a.err()
}

// Apply implements platformapi.Table.
func (t *remoteTable) Apply(ctx context.Context, txn platformapi.Txn) error {
	_, err := t.call(ctx, "apply", tableCall{Txn: &txn})
	return err
}

// Get implements platformapi.Table.
func (t *remoteTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	a, err := t.call(ctx, "get", tableCall{Key: key})
	if err != nil {
		return platformapi.Row{}, err
	}
	if len(a.Rows) != 1 {
		return platformapi.Row{}, errors.Wrapf(platformapi.ErrUnavailable, "answer of entry %q has %d rows, want 1", t.address, len(a.Rows))
	}
	return a.Rows[0], nil
}

// Scan implements platformapi.Table.
func (t *remoteTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, error) {
	a, err := t.call(ctx, "scan", tableCall{Prefix: prefix, From: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	return a.Rows, nil
}

// Snapshot implements platformapi.Watcher.
func (t *remoteTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	a, err := t.call(ctx, "snapshot", tableCall{Prefix: prefix})
	if err != nil {
		return nil, 0, err
	}
	return a.Rows, a.Version, nil
}

// Changes implements platformapi.Watcher.
func (t *remoteTable) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	a, err := t.call(ctx, "changes", tableCall{Prefix: prefix, After: after, Wait: wait})
	if err != nil {
		return nil, 0, err
	}
	return a.Changes, a.Version, nil
}

// storedTurn is a turn as entries send it to each other. Value is what turnlog.Turn.Encode returns.
type storedTurn struct {
	ID    string `json:"id"`
	Value []byte `json:"value"`
}

// chainCall asks for the chain of a turn: the turn, followed by its ancestors. Turns is set in the
// answer: the turn itself, then those of its ancestors that the entry has in memory, up to
// maxChainBytes. It is empty if the entry does not have the turn.
type chainCall struct {
	ID    string       `json:"id"`
	Turns []storedTurn `json:"turns,omitempty"`
}

// maxChainBytes is the maximum total size in bytes of the encoded turns in one answer. It leaves
// room for their encoding in JSON. The asking entry reads missing turns from the table.
const maxChainBytes = maxMeshBody / 2

// serveChain answers with the chain of a turn as far as this entry has it in memory.
func (m *mesh) serveChain(w http.ResponseWriter, r *http.Request) {
	var call chainCall
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMeshBody)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	size := 0
	for _, turn := range m.g.turns.cachedChain(call.ID) {
		value := turn.Encode()
		if size += len(value); size > maxChainBytes {
			break
		}
		call.Turns = append(call.Turns, storedTurn{turn.ID, value})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(call); err != nil {
		m.g.env.Requests.Info("mesh_answer_lost").Str("peer", r.RemoteAddr).Err(err).End()
	}
}

// serveGrants answers an entry that has just started with all grants that this entry knows.
func (m *mesh) serveGrants(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(m.g.budgets.allGrants()); err != nil {
		m.g.env.Requests.Info("mesh_answer_lost").Str("peer", r.RemoteAddr).Err(err).End()
	}
}

const (
	// turnPeerTimeout is the timeout of the search for a turn in the memory of other entries.
	turnPeerTimeout = 120 * time.Millisecond
	// turnPeerConcurrency is the maximum number of entries that are asked at the same time.
	turnPeerConcurrency = 12
)

// chainFromPeer implements turnPeers. It returns the chain of the turn from the peer with the
// incarnation, if that peer is responsive.
func (m *mesh) chainFromPeer(ctx context.Context, incarnation, id string) []*turnlog.Turn {
	address := m.peerAddress(incarnation)
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, turnPeerTimeout)
	defer cancel()
	return m.fetchChain(ctx, address, id)
}

// chainFromAnyPeer implements turnPeers. It returns the first chain found. Any peer may have it,
// because a caller's turns may arrive at different entries. The search takes at most
// turnPeerTimeout; the cancellation of ctx does not end it.
func (m *mesh) chainFromAnyPeer(ctx context.Context, id string) []*turnlog.Turn {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), turnPeerTimeout)
	defer cancel()
	addresses := m.recentPeerAddresses()
	found := make(chan []*turnlog.Turn, len(addresses))
	slots := make(chan struct{}, turnPeerConcurrency)
	for _, address := range addresses {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			found <- m.fetchChain(ctx, address, id)
		}()
	}
	for range addresses {
		if chain := <-found; len(chain) > 0 {
			return chain
		}
	}
	return nil
}

// fetchChain asks one entry for the chain of a turn. It returns nil if the entry does not answer,
// does not have the turn, or sends a malformed one.
func (m *mesh) fetchChain(ctx context.Context, address, id string) []*turnlog.Turn {
	var answer chainCall
	if err := m.client.post(ctx, address, "/chain", chainCall{ID: id}, &answer); err != nil {
		m.g.metrics.chainQueriesFailed.Inc(1)
		return nil
	}
	chain := make([]*turnlog.Turn, 0, len(answer.Turns))
	for _, stored := range answer.Turns {
		turn, err := turnlog.Decode(stored.ID, stored.Value)
		if err != nil {
			m.g.env.Requests.Warn("turn_malformed").Str("turn", stored.ID).Str("peer", address).Err(err).End()
			return nil
		}
		chain = append(chain, turn)
	}
	if len(chain) > 0 && chain[0].ID != id {
		return nil
	}
	return chain
}

// peerAddress returns the HTTP address of the peer with the incarnation; empty if there is none
// or it is not responsive.
func (m *mesh) peerAddress(incarnation string) string {
	if p, known := m.peerByIncarnation(incarnation); known && m.responsive(&p, time.Now()) {
		return p.HTTPAddress
	}
	return ""
}

// recentPeerAddresses returns the HTTP addresses of the peers whose last digest is younger than
// scaledTimeout(peerTimeout).
func (m *mesh) recentPeerAddresses() []string {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, p := range m.peers {
		if now.Sub(p.lastDigest) < m.scaledTimeout(peerTimeout) {
			out = append(out, p.HTTPAddress)
		}
	}
	return out
}
