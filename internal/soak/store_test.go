package soak

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/standin"
)

// store serves the published protocol of the platform's store from a stand-in table.
type store struct {
	table  *standin.Table
	faults *standin.Faults
	server *httptest.Server
}

// wireRow is a row as the protocol encodes it.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// name returns the key of the row in the stand-in table.
func (r wireRow) name() string { return r.Table + "/" + r.Part + "/" + r.Key }

func toWireRows(rows []platformapi.Row) []wireRow {
	out := make([]wireRow, 0, len(rows))
	for _, r := range rows {
		f := strings.SplitN(r.Key, "/", 3)
		out = append(out, wireRow{Table: f[0], Part: f[1], Key: f[2], Value: r.Value, Ver: r.Version})
	}
	return out
}

func newStore(t *testing.T) *store {
	p := standin.NewPlatform(standin.PlatformConfig{})
	s := &store{table: p.Table, faults: p.Faults}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.server = httptest.NewServer(mux)
	t.Cleanup(s.server.Close)
	return s
}

func (s *store) address() string { return s.server.Listener.Addr().String() }

// put writes a row whatever its current version is.
func (s *store) put(key, value string) {
	s.apply(platformapi.Txn{Writes: []platformapi.Write{{Key: key, Value: []byte(value)}}})
}

// apply makes a transaction without conditions.
func (s *store) apply(txn platformapi.Txn) {
	// An injected fault of the store fails these writes too, so they are retried until one
	// succeeds; one whose answer was lost may be applied as well. Any other error ends apply,
	// whether or not the rows were written.
	for {
		err := s.table.Apply(context.Background(), txn)
		if err == nil || !errors.Is(err, platformapi.ErrNotApplied) && !errors.Is(err, platformapi.ErrUnavailable) {
			return
		}
		pause(20 * time.Millisecond)
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Expected, Writes, Remove []wireRow
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var txn platformapi.Txn
	for _, e := range req.Expected {
		txn.Conditions = append(txn.Conditions, platformapi.Condition{Key: e.name(), Version: e.Ver})
	}
	for _, e := range req.Writes {
		txn.Writes = append(txn.Writes, platformapi.Write{Key: e.name(), Value: e.Value})
	}
	for _, e := range req.Remove {
		txn.Writes = append(txn.Writes, platformapi.Write{Key: e.name(), Delete: true})
	}
	err := s.table.Apply(r.Context(), txn)
	var conflict *platformapi.Conflict
	if errors.As(err, &conflict) {
		s.answer(w, http.StatusPreconditionFailed, toWireRows(conflict.Rows), 0, nil)
		return
	}
	s.answer(w, http.StatusOK, nil, 0, err)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("table") + "/" + q.Get("part") + "/"
	rows, version, err := s.table.Snapshot(r.Context(), prefix)
	var out []wireRow
	for _, row := range toWireRows(rows) {
		if row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			out = append(out, row)
		}
	}
	s.answer(w, http.StatusOK, out, version, err)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	changes, version, err := s.table.Changes(r.Context(), q.Get("table")+"/", after, time.Duration(wait)*time.Millisecond)
	out := make([]wireRow, 0, len(changes))
	for _, c := range changes {
		row := toWireRows([]platformapi.Row{c.Row})[0]
		row.Deleted = c.Deleted
		out = append(out, row)
	}
	s.answer(w, http.StatusOK, out, version, err)
}

// answer writes the response. An unavailable store resets the connection without one.
func (s *store) answer(w http.ResponseWriter, status int, rows []wireRow, version int64, err error) {
	switch {
	case errors.Is(err, platformapi.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
		return
	case errors.Is(err, platformapi.ErrNotApplied):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		c, _, _ := w.(http.Hijacker).Hijack()
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "more-pages": false, "ver": version, "now-ms": 1})
}
