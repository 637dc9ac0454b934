package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// wireRow is a row of the platform's store as its protocol encodes it.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     *int64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

type storedRow struct {
	value []byte
	ver   int64
}

type change struct {
	rowName
	value   []byte
	ver     int64
	deleted bool
}

// store is a stand-in of the platform's store: linearizable, with nothing lost.
type store struct {
	mu      sync.Mutex
	ver     int64
	rows    map[rowName]storedRow
	changes []change
	changed chan struct{}
	address string
	started time.Time
}

// txTime is the time that a transaction takes.
const txTime = 4 * time.Millisecond

func newStore() (*store, error) {
	s := &store{rows: map[rowName]storedRow{}, changed: make(chan struct{}), started: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row for the operator or an engine. When it returns the write is acknowledged.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(rowName{table, "", key}, []byte(value))
	s.notify()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.drop(rowName{table, "", key})
	s.notify()
}

func (s *store) write(n rowName, value []byte) {
	s.rows[n] = storedRow{value, s.ver}
	s.changes = append(s.changes, change{n, value, s.ver, false})
}

func (s *store) drop(n rowName) {
	if _, ok := s.rows[n]; ok {
		delete(s.rows, n)
		s.changes = append(s.changes, change{n, nil, s.ver, true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []wireRow, ver int64) {
	if rows == nil {
		rows = []wireRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "more-pages": false, "ver": ver, "now-ms": time.Since(s.started).Milliseconds()})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var req struct{ Expected, Writes, Remove []wireRow }
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]wireRow{req.Writes, req.Remove} {
		for _, x := range list {
			if x.Table == "op" || x.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	failed := false
	var current []wireRow
	for _, x := range req.Expected {
		have, ok := s.rows[rowName{x.Table, x.Part, x.Key}]
		want := int64(0)
		if x.Ver != nil {
			want = *x.Ver
		}
		if have.ver != want {
			failed = true
		}
		if ok {
			v := have.ver
			current = append(current, wireRow{Table: x.Table, Part: x.Part, Key: x.Key, Value: have.value, Ver: &v})
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, s.ver)
		return
	}
	s.ver++
	for _, x := range req.Writes {
		s.write(rowName{x.Table, x.Part, x.Key}, x.Value)
	}
	for _, x := range req.Remove {
		s.drop(rowName{x.Table, x.Part, x.Key})
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, s.ver)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wireRow
	for n, row := range s.rows {
		if n.table == q.Get("table") && n.part == q.Get("part") && n.key >= q.Get("from") && (q.Get("to") == "" || n.key < q.Get("to")) {
			v := row.ver
			out = append(out, wireRow{Table: n.table, Part: n.part, Key: n.key, Value: row.value, Ver: &v})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	s.answer(w, http.StatusOK, out, s.ver)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []wireRow
		for _, c := range s.changes {
			if c.table == q.Get("table") && c.ver > after {
				v := c.ver
				out = append(out, wireRow{Table: c.table, Part: c.part, Key: c.key, Value: c.value, Ver: &v, Deleted: c.deleted})
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			s.answer(w, http.StatusOK, out, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, nil, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}
