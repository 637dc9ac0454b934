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

// txTime is the tx-ms of the site: how long an answer takes.
const txTime = 4 * time.Millisecond

// row is a row of the platform's metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	ver     int64
	rows    map[string]row
	history []row
	changed chan struct{}
	// down has every call of the system answered with 503, which says that nothing was done.
	down bool
	// delay is how long each answer takes.
	delay time.Duration
	// performsFirst has a transaction performed as it arrives and its answer composed, with the newest version, as it is
	// sent. It is set before the first call.
	performsFirst bool
	start         time.Time
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rows: map[string]row{}, changed: make(chan struct{}), delay: txTime, start: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.server = &http.Server{Handler: s.guard(mux), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// guard refuses calls while the store is down.
func (s *store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, delay := s.down, s.delay
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !s.performsFirst || r.URL.Path != "/rows-tx" {
			time.Sleep(delay)
		}
		next.ServeHTTP(w, r)
	})
}

// setDelay sets how long each answer takes.
func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row of the operator or of an engine, and returns the time of the store's ack.
func (s *store) put(table, key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.writeLocked(row{Table: table, Key: key, Value: b})
	s.wakeLocked()
	return time.Now()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.removeLocked(row{Table: table, Key: key})
	s.wakeLocked()
}

func (s *store) writeLocked(r row) {
	r.Ver = s.ver
	s.rows[r.name()] = r
	s.history = append(s.history, r)
}

func (s *store) removeLocked(r row) {
	if _, ok := s.rows[r.name()]; !ok {
		return
	}
	delete(s.rows, r.name())
	s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
}

type rowsAnswer struct {
	Rows  []row `json:"rows"`
	More  bool  `json:"more-pages"`
	Ver   int64 `json:"ver"`
	NowMs int64 `json:"now-ms"`
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.NowMs = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // a caller that has gone gets nothing
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Expected, Writes, Remove []row
		Across                   bool
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(q.Expected)+len(q.Writes)+len(q.Remove) > 100 {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]row{q.Writes, q.Remove} {
		for _, x := range list {
			if x.Table == "op" || x.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	failed, current := false, []row{}
	for _, e := range q.Expected {
		now, ok := s.rows[e.name()]
		if ok {
			current = append(current, now)
		}
		failed = failed || now.Ver != e.Ver
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, Ver: s.ver})
		return
	}
	s.ver++
	for _, x := range q.Writes {
		s.writeLocked(x)
	}
	for _, x := range q.Remove {
		s.removeLocked(x)
	}
	s.wakeLocked()
	if s.performsFirst {
		delay := s.delay
		s.mu.Unlock()
		time.Sleep(delay)
		s.mu.Lock()
	}
	s.answer(w, http.StatusOK, rowsAnswer{Ver: s.ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rowsAnswer{Rows: rows, More: more, Ver: s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait-ms"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var rows []row
		for _, x := range s.history {
			if x.Ver > after && x.Table == q.Get("table") {
				rows = append(rows, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rowsAnswer{Rows: rows, Ver: ver})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, rowsAnswer{Ver: ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}
