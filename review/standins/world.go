package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// check ends the program with status 2, "the case couldn't run".
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		killAll()
		os.Exit(2)
	}
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	began time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	check(err)
	return &recorder{w: bufio.NewWriter(f), began: time.Now()}
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.w.Flush()
}

// run is one run of a request at an engine.
type run struct {
	id     string
	engine string
	at     time.Time
	header http.Header
	path   string
	body   string
}

// engine is a stand-in of an engine of the platform.
type engine struct {
	id, service, addr string
	w                 *world
	// handle answers a request that the engine runs.
	handle func(w http.ResponseWriter, r *http.Request, body string)
}

// world is the deployment: a store, engines and entries.
type world struct {
	rec     *recorder
	dir     string
	store   *store
	engines []*engine
	entries []*entry

	mu   sync.Mutex
	runs []run
	// draining holds the engines that have reported so.
	draining map[string]bool
}

func newWorld(rec *recorder) *world {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	return &world{rec: rec, dir: dir, store: newStore(), draining: map[string]bool{}}
}

// seal is the value of X-Response-Seal of an answer.
func seal(engine, id string, n int) string { return fmt.Sprintf("%s.%s.%d", engine, id, n) }

// addEngine starts an engine and registers it every heartbeat.
func (w *world) addEngine(id, service, zone string, slots int, handle func(e *engine, rw http.ResponseWriter, r *http.Request, body string)) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{id: id, service: service, addr: l.Addr().String(), w: w}
	e.handle = func(rw http.ResponseWriter, r *http.Request, body string) { handle(e, rw, r, body) }
	w.engines = append(w.engines, e)
	go func() { _ = http.Serve(l, http.HandlerFunc(e.serve)) }()
	born := time.Now().UnixMilli()
	register := func(seq int) {
		w.mu.Lock()
		state := "ready"
		if w.draining[id] {
			state = "draining"
		}
		w.mu.Unlock()
		v, _ := json.Marshal(map[string]any{"service": service, "address": e.addr, "zone": zone, "version": "v1", "slots": slots, "state": state, "cold-remaining-ms": 0, "seq": seq, "born": born})
		w.store.put("servers", "", id, v)
	}
	register(1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			w.store.mu.Lock()
			up := w.store.mode == storeUp
			w.store.mu.Unlock()
			if up {
				register(seq)
			}
		}
	}()
	return e
}

func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.w.mu.Lock()
	e.w.runs = append(e.w.runs, run{id, e.id, time.Now(), r.Header.Clone(), r.RequestURI, string(body)})
	e.w.mu.Unlock()
	e.w.rec.add("engine %s runs request %s %s, X-Timeout-Ms %s, Last-Event-Id %q, body of %d bytes", e.id, id, r.RequestURI, r.Header.Get("X-Timeout-Ms"), r.Header.Get("Last-Event-Id"), len(body))
	e.handle(rw, r, string(body))
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, r := range w.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

// answerPlain answers with a body and the seal of the engine.
func (e *engine) answerPlain(rw http.ResponseWriter, r *http.Request, status int, body string) {
	rw.Header().Set("X-Response-Seal", seal(e.id, r.Header.Get("X-Request-Id"), len(body)))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, body)
}

// answerStream answers with events, each after a pause; it stops when the caller leaves.
func (e *engine) answerStream(rw http.ResponseWriter, r *http.Request, events int, first, pause time.Duration) {
	id := r.Header.Get("X-Request-Id")
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		from = n + 1
	}
	time.Sleep(first)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Response-Seal", seal(e.id, id, events))
	rw.WriteHeader(http.StatusOK)
	for i := from; i < events; i++ {
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, id, i)
		rw.(http.Flusher).Flush()
		time.Sleep(pause)
	}
}

// entry is one process of the deployed program.
type entry struct {
	name, zone, callers, ready, control, digests, metrics, settings string
	w                                                               *world
	cmd                                                             *exec.Cmd
	exited                                                          chan struct{}
	starts                                                          int
}

var (
	runningMu sync.Mutex
	running   []*exec.Cmd
)

func killAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, c := range running {
		_ = c.Process.Kill()
	}
}

// The ports of the entries lie below the range from which the kernel gives ports to outgoing connections, so
// that none is taken while an entry is down.
const firstPort, lastPort = 12000, 32000

var nextPort = firstPort + rand.Intn(lastPort-firstPort)

// freePort returns a loopback address whose port is free for TCP and UDP. It returns no address twice.
func freePort() string {
	for range lastPort - firstPort {
		a := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort == lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		l.Close()
		p, err := net.ListenPacket("udp", a)
		if err != nil {
			continue
		}
		p.Close()
		return a
	}
	check(fmt.Errorf("no free port"))
	return ""
}

// graceS is grace-s of the deployments.
const graceS = 8

func (w *world) addEntry(name, zone string) *entry {
	e := &entry{name: name, zone: zone, callers: freePort(), ready: freePort(), control: freePort(), digests: freePort(), metrics: freePort(), w: w}
	e.settings = filepath.Join(w.dir, name+".toml")
	w.entries = append(w.entries, e)
	return e
}

// start starts the process as the deploy file does, with settings as deploy/entry.tmpl makes them.
func (e *entry) start() {
	text := fmt.Sprintf(`node = %q
failure_domain = %q
first_start = %v
listen_callers = %q
listen_ready = %q
listen_mesh = %q
listen_digests = %q
table_address = %q
table_writes_per_second = 800
table_row_bytes = 65536
memory_mb = 154
shutdown_grace = "%ds"
outage_list_grace = "2s"
upstream_heartbeat = "1200ms"

[telemetry]
metrics = %q
`, e.name, e.zone, e.starts == 0, e.callers, e.ready, e.control, e.digests, e.w.store.addr, graceS, e.metrics)
	check(os.WriteFile(e.settings, []byte(text), 0o600))
	e.starts++
	log, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer log.Close()
	cmd := exec.Command(entryBinary(), "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	runningMu.Lock()
	running = append(running, cmd)
	runningMu.Unlock()
	e.cmd, e.exited = cmd, make(chan struct{})
	exited := e.exited
	go func() {
		err := cmd.Wait()
		e.w.rec.add("%s has ended: %v", e.name, err)
		close(exited)
	}()
	e.w.rec.add("%s is started", e.name)
}

func (e *entry) signal(s syscall.Signal) {
	e.w.rec.add("%s gets signal %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) wait(d time.Duration) bool {
	select {
	case <-e.exited:
		return true
	case <-time.After(d):
		return false
	}
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries count as ready.
func (w *world) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, e := range w.entries {
		for !e.isReady() {
			if time.Now().After(until) {
				check(fmt.Errorf("%s is not ready, see its log in %s", e.name, w.dir))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.add("all entries are ready")
}

// close ends all processes.
func (w *world) close() {
	for _, e := range w.entries {
		if e.cmd != nil {
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// answer is what a requester got for one attempt.
type answer struct {
	// err is set if the connection ended or the requester left without a whole answer.
	err    error
	status int
	header http.Header
	body   string
	events []string
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v) after %d ms", a.err, a.took.Milliseconds())
	}
	whole := "whole"
	if a.err != nil {
		whole = "broken off: " + a.err.Error()
	}
	return fmt.Sprintf("%d, X-Response-Seal %q, %d bytes, %d events, %s, after %d ms", a.status, a.header.Get("X-Response-Seal"), len(a.body), len(a.events), whole, a.took.Milliseconds())
}

// request is one requester attempt.
type request struct {
	method, host, path, id, body string
	headers                      map[string]string
	patience                     time.Duration
}

// send makes one requester attempt on a new connection.
func (w *world) send(e *entry, q request) (a answer) {
	start := time.Now()
	defer func() {
		a.took = time.Since(start)
		w.rec.add("request %s to %s: %s", q.id, e.name, a)
	}()
	c, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	return w.sendOn(c, bufio.NewReader(c), e, q)
}

// sendOn makes one requester attempt on a connection.
func (w *world) sendOn(c net.Conn, br *bufio.Reader, e *entry, q request) (a answer) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.patience.Milliseconds())
	for k, v := range q.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	w.rec.add("request %s is sent to %s: %s %s %v", q.id, e.name, q.method, q.path, q.headers)
	_ = c.SetDeadline(time.Now().Add(q.patience))
	if _, a.err = io.WriteString(c, b.String()); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		parts := strings.Split(a.body, "\n\n")
		a.events = parts[:len(parts)-1] // the last part is not a whole event
	}
	return a
}

// config writes the desired state.
func (w *world) config(version int, routes []map[string]any, services []map[string]any) {
	v, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 65536, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
	})
	check(err)
	w.store.put("op", "", "config", v)
	w.rec.add("the operator writes version %d of the desired state", version)
}

// entryBinary is the program that the deploy file builds.
func entryBinary() string {
	if p := os.Getenv("ENTRY"); p != "" {
		return p
	}
	return "target/buckthorn-entry"
}
