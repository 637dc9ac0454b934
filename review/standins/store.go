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

// row is a row of the store as the protocol encodes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// transaction is the body of POST /rows-tx.
type transaction struct {
	Expected []row `json:"expected"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
	Across   bool  `json:"across"`
}

// storeMode is how the store behaves to all machines.
type storeMode int

const (
	storeUp storeMode = iota
	// storeBusy answers every call with 503; nothing is done.
	storeBusy
	// storeSilent answers no call; nothing is done.
	storeSilent
)

// store is a stand-in of the platform's store. It loses nothing that it has acknowledged, and its
// answers are linearizable.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	changes []row
	ver     int64
	changed chan struct{}
	mode    storeMode
	// lose, if set, says whether the answer of a transaction that was applied is lost: the connection
	// delivers nothing further.
	lose func(t transaction, from string) bool
	// onWrite, if set, is called with a row before and after each write.
	onWrite func(before, after row)
	began   time.Time
	addr    string
}

// txTime is how long a transaction takes (tx-ms).
const txTime = 4 * time.Millisecond

func newStore() *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

func (s *store) setLose(f func(t transaction, from string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = f
}

// refused handles a call in a mode other than storeUp.
func (s *store) refused(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	m := s.mode
	s.mu.Unlock()
	switch m {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case storeSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

// put writes a row whatever its version, as the operator and the engines do.
func (s *store) put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(transaction{Writes: []row{{Table: table, Part: part, Key: key, Value: value}}})
}

// remove removes a row.
func (s *store) remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(transaction{Remove: []row{{Table: table, Part: part, Key: key}}})
}

func (s *store) applyLocked(t transaction) {
	s.ver++
	for _, r := range t.Writes {
		r.Ver = s.ver
		if s.onWrite != nil {
			s.onWrite(s.rows[r.name()], r)
		}
		s.rows[r.name()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range t.Remove {
		if _, ok := s.rows[r.name()]; ok {
			delete(s.rows, r.name())
			r.Ver, r.Deleted, r.Value = s.ver, true, nil
			s.changes = append(s.changes, r)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "more-pages": false, "ver": ver, "now-ms": time.Since(s.began).Milliseconds()})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.refused(w, r) {
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	holds := true
	var current []row
	for _, e := range t.Expected {
		have := s.rows[e.name()]
		holds = holds && have.Ver == e.Ver
		if have.Ver > 0 {
			current = append(current, have)
		}
	}
	if !holds {
		ver := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, current, ver)
		return
	}
	s.applyLocked(t)
	ver := s.ver
	lost := s.lose != nil && s.lose(t, r.RemoteAddr)
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.answer(w, http.StatusOK, nil, ver)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if s.refused(w, r) {
		return
	}
	time.Sleep(time.Millisecond)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 || limit <= 0 {
		limit = 500
	}
	s.mu.Lock()
	var out []row
	for _, have := range s.rows {
		if have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") && (q.Get("to") == "" || have.Key < q.Get("to")) {
			out = append(out, have)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if len(out) > limit {
		out = out[:limit]
	}
	s.answer(w, http.StatusOK, out, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if s.refused(w, r) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []row
		for _, c := range s.changes {
			if c.Ver > after && c.Table == q.Get("table") {
				out = append(out, c)
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
		case <-end:
			if s.refused(w, r) {
				return
			}
			s.answer(w, http.StatusOK, nil, ver)
			return
		case <-r.Context().Done():
			return
		}
		if s.refused(w, r) {
			return
		}
	}
}

// rowValue returns the value of a row; nil if there is none.
func (s *store) rowValue(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && r.Key == key {
			return r.Value
		}
	}
	return nil
}
