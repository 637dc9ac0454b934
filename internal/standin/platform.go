package standin

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

// PlatformConfig configures a platform stand-in. A rate of 0 means no limit.
type PlatformConfig struct {
	Listen string `toml:"listen"`
	// WritesPerSecond and ReadsPerSecond limit the table and the object store together.
	WritesPerSecond float64 `toml:"writes_per_second"`
	ReadsPerSecond  float64 `toml:"reads_per_second"`
	// VMLag is the delay after which a change shows in the VM list.
	VMLag structs.Duration `toml:"vm_lag"`
	// WeightFetchesPerMinute limits the fetches from the weight store.
	WeightFetchesPerMinute float64 `toml:"weight_fetches_per_minute"`
	// WeightBytes is the size of the weights of every model.
	WeightBytes int64 `toml:"weight_bytes"`
	// VMs is the initial VM list.
	VMs []platform.VMChange `toml:"vms"`
}

// defaultWeightBytes is the size of weights when the configuration gives none.
const defaultWeightBytes = 16 << 30

// Platform is the stand-in of the platform: table, object store, VM list and weight store.
type Platform struct {
	Faults  *Faults
	Table   *Table
	Objects *Objects

	config  PlatformConfig
	weights *rate.Limiter
	vms     *vmList
}

var (
	_ platform.VMList  = (*Platform)(nil)
	_ platform.Weights = (*Platform)(nil)
)

// NewPlatform returns a platform stand-in with an empty table and object store.
func NewPlatform(config PlatformConfig) *Platform {
	if config.WeightBytes == 0 {
		config.WeightBytes = defaultWeightBytes
	}
	faults := newFaults()
	limits := newRateLimits(config.WritesPerSecond, config.ReadsPerSecond)
	p := &Platform{
		Faults:  faults,
		Table:   newTable(faults, limits),
		Objects: newObjects(faults, limits),
		config:  config,
		weights: newLimiter(config.WeightFetchesPerMinute / 60),
		vms:     &vmList{lag: time.Duration(config.VMLag), visible: make(map[structs.VMID]platform.VM)},
	}
	for _, vm := range config.VMs {
		p.vms.add(vm)
	}
	return p
}

// rateLimits limits writes and reads; a nil limiter allows all.
type rateLimits struct{ writes, reads *rate.Limiter }

func newRateLimits(writes, reads float64) *rateLimits {
	return &rateLimits{writes: newLimiter(writes), reads: newLimiter(reads)}
}

// newLimiter returns a limiter with a burst of 1 second's events (at least 1), or nil for no
// limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func allow(l *rate.Limiter) bool { return l == nil || l.Allow() }

func (l *rateLimits) write() bool { return allow(l.writes) }
func (l *rateLimits) read() bool  { return allow(l.reads) }

// Fetch implements platform.Weights.
func (p *Platform) Fetch(ctx context.Context, _, _ string) (int64, error) {
	const subject = "/weights/fetch"
	if err := checkFaults(ctx, p.Faults, subject); err != nil {
		return 0, err
	}
	if !allow(p.weights) {
		return 0, errors.Wrap(platform.ErrNotApplied, "weight store rate")
	}
	if p.Faults.afterEffect(ctx, subject) {
		return 0, errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	return p.config.WeightBytes, nil
}

// List implements platform.VMList.
func (p *Platform) List(ctx context.Context) ([]platform.VM, error) {
	const subject = "/vms"
	if err := checkFaults(ctx, p.Faults, subject); err != nil {
		return nil, err
	}
	if p.Faults.afterEffect(ctx, subject) {
		return nil, errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	return p.vms.list(time.Now()), nil
}

// SetVM changes a VM; List shows the change VMLag later. An empty Domain or Address leaves
// the previous one unchanged.
func (p *Platform) SetVM(change platform.VMChange) { p.vms.change(time.Now(), change) }

// maxPendingChanges bounds the changes that are not visible yet; at the limit, the oldest
// becomes visible early.
const maxPendingChanges = 4096

// pendingChange is a change of a VM that is not visible yet.
type pendingChange struct {
	visibleAt time.Time
	vm        platform.VM
}

// vmList is the list of VMs. A change becomes visible in it after lag.
type vmList struct {
	lag time.Duration

	mu      sync.Mutex
	visible map[structs.VMID]platform.VM
	pending []pendingChange
}

func newVM(now time.Time, c platform.VMChange) platform.VM {
	return platform.VM{ID: c.ID, Domain: c.Domain, State: c.State, Address: c.Address, Observed: now}
}

// add inserts a VM that is visible at once.
func (l *vmList) add(c platform.VMChange) {
	if c.State == "" {
		c.State = platform.VMLive
	}
	l.visible[c.ID] = newVM(time.Now(), c)
}

func (l *vmList) change(now time.Time, c platform.VMChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == maxPendingChanges {
		l.applyDue(l.pending[0].visibleAt)
	}
	l.pending = append(l.pending, pendingChange{visibleAt: now.Add(l.lag), vm: newVM(now, c)})
}

// applyDue applies the changes whose visibleAt is not after now.
func (l *vmList) applyDue(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		vm := l.pending[0].vm
		old := l.visible[vm.ID]
		if vm.Domain == "" {
			vm.Domain = old.Domain
		}
		if vm.Address == "" {
			vm.Address = old.Address
		}
		l.visible[vm.ID] = vm
		l.pending = l.pending[1:]
	}
}

func (l *vmList) list(now time.Time) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue(now)
	out := make([]platform.VM, 0, len(l.visible))
	for _, vm := range l.visible {
		out = append(out, vm)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// maxTxnBytes bounds the body of a transaction.
const maxTxnBytes = 64 << 20

// Handler returns the platform's HTTP routes.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/table/apply", p.serveApply)
	r.Get("/table/row", p.serveRow)
	r.Get("/table/scan", p.serveScan)
	r.Put("/objects/{key}", p.servePutObject)
	r.Get("/objects/{key}", p.serveGetObject)
	r.Delete("/objects/{key}", p.serveDeleteObject)
	r.Get("/vms", p.serveVMs)
	r.Post("/vms", p.serveSetVM)
	r.Post("/weights/fetch", p.serveFetch)
	r.Handle("/fault", p.Faults)
	return r
}

func (p *Platform) serveApply(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if err := readJSON(w, r, maxTxnBytes, &txn); err != nil {
		writePlatformError(w, errors.Wrap(platform.ErrNotApplied, err.Error()))
		return
	}
	writeAnswer(w, struct{}{}, p.Table.Apply(r.Context(), txn))
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get("key"))
	writeAnswer(w, row, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	rows, err := p.Table.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	writeAnswer(w, platform.ScanResponse{Rows: rows}, err)
}

// objectKey returns the key in the path. chi takes URL parameters from RawPath when it is set;
// they are then still escaped.
func objectKey(r *http.Request) string {
	text := chi.URLParam(r, "key")
	if r.URL.RawPath == "" {
		return text
	}
	if key, err := url.PathUnescape(text); err == nil {
		return key
	}
	return text
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		writePlatformError(w, errors.Wrap(platform.ErrNotApplied, err.Error()))
		return
	}
	writeAnswer(w, struct{}{}, p.Objects.Put(r.Context(), objectKey(r), value))
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	value, err := p.Objects.Get(r.Context(), objectKey(r))
	if err != nil {
		writePlatformError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(value) //nolint:gosec // the store returns what was put; no browser reads it
}

func (p *Platform) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, struct{}{}, p.Objects.Delete(r.Context(), objectKey(r)))
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := p.List(r.Context())
	writeAnswer(w, platform.VMsResponse{VMs: vms}, err)
}

func (p *Platform) serveSetVM(w http.ResponseWriter, r *http.Request) {
	var change platform.VMChange
	if err := readJSON(w, r, maxSmallBodyBytes, &change); err != nil {
		writePlatformError(w, errors.Wrap(platform.ErrNotApplied, err.Error()))
		return
	}
	p.SetVM(change)
	writeAnswer(w, struct{}{}, nil)
}

func (p *Platform) serveFetch(w http.ResponseWriter, r *http.Request) {
	var request platform.FetchRequest
	if err := readJSON(w, r, maxSmallBodyBytes, &request); err != nil {
		writePlatformError(w, errors.Wrap(platform.ErrNotApplied, err.Error()))
		return
	}
	bytes, err := p.Fetch(r.Context(), request.Model, request.Version)
	writeAnswer(w, platform.FetchResponse{Bytes: bytes}, err)
}

func writeAnswer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writePlatformError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// writePlatformError answers with the status and code of a sentinel error. For
// ErrUnavailable and unknown errors it drops the connection.
func writePlatformError(w http.ResponseWriter, err error) {
	body := platform.ErrorBody{Detail: err.Error()}
	status := 0
	switch {
	case errors.Is(err, platform.ErrConditionFailed):
		status, body.Code = http.StatusConflict, platform.CodeConditionFailed
	case errors.Is(err, platform.ErrNotFound):
		status, body.Code = http.StatusNotFound, platform.CodeNotFound
	case errors.Is(err, platform.ErrNotApplied):
		status, body.Code = http.StatusServiceUnavailable, platform.CodeNotApplied
	default:
		dropConnection()
	}
	writeJSON(w, status, body)
}
