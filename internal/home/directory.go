package home

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Successors tells which log now holds the programs opened in a log.
type Successors interface {
	// Successor returns the log itself while it is unsealed. ErrNoHome says that
	// no log holds its programs any more.
	Successor(ctx context.Context, log structs.LogID) (structs.LogID, error)
}

// ErrNoHome says that no log holds the programs of a log any more.
var ErrNoHome = errors.New("no log holds the programs")

// Members tells where the holders of logs can be reached.
type Members interface {
	// Address returns the peer address of the entry that holds the log.
	Address(log structs.LogID) (string, bool)
	// Relays returns addresses of entries that may reach a log's holder when this process cannot.
	Relays(log structs.LogID) []string
	// PeerAddresses returns the addresses of the other entries that are up.
	PeerAddresses() []string
	// LogForKey returns the log whose holder opens a program with the organisation's
	// key, so that a repeated open meets the first one.
	LogForKey(organisation structs.OrganisationID, key string) structs.LogID
}

// Connections gives connections to peer addresses; *peer.Pool implements it.
type Connections interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// DirectoryConfig sets a Directory.
type DirectoryConfig struct {
	// Own is the log of this process, Local its home.
	Own   structs.LogID
	Local Home
	// Node names this process in errors.
	Node        structs.NodeID
	Successors  Successors
	Members     Members
	Connections Connections
	// Patience bounds how long a call waits for a home to be taken over; 10 s by default.
	Patience time.Duration
}

// Times of looking for a home.
const (
	defaultPatience = 10 * time.Second
	searchInterval  = 100 * time.Millisecond
	unreachRetry    = 2 * time.Second
	// maxRedirects bounds the redirects remembered.
	maxRedirects = 65536
)

// Directory is the Home of all programs: it finds the home of each and forwards
// the call. A call whose home dies waits for the takeover and goes on there:
// every call is idempotent at the home.
type Directory struct {
	cfg DirectoryConfig

	mu        sync.Mutex
	redirects map[structs.LogID]structs.LogID
}

var _ Home = (*Directory)(nil)

// NewDirectory returns a directory that knows no redirects.
func NewDirectory(cfg DirectoryConfig) *Directory {
	if cfg.Patience == 0 {
		cfg.Patience = defaultPatience
	}
	return &Directory{cfg: cfg, redirects: map[structs.LogID]structs.LogID{}}
}

// Open implements Home. A keyed open goes to the entry that the key is placed at.
func (d *Directory) Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	if spec.Key == "" {
		return d.cfg.Local.Open(ctx, spec)
	}
	log := d.cfg.Members.LogForKey(spec.Organisation, spec.Key)
	var id structs.ProgramID
	err := d.follow(ctx, log, func(ctx context.Context, h Home) error {
		var err error
		id, err = h.Open(ctx, spec)
		return err
	})
	return id, err
}

// Turn implements Home.
func (d *Directory) Turn(ctx context.Context, turn Turn, event func(structs.TurnEvent) error) error {
	return d.follow(ctx, turn.Program.Log(), func(ctx context.Context, h Home) error {
		return h.Turn(ctx, turn, event)
	})
}

// End implements Home.
func (d *Directory) End(ctx context.Context, end End) error {
	return d.follow(ctx, end.Program.Log(), func(ctx context.Context, h Home) error {
		return h.End(ctx, end)
	})
}

// Read implements Home.
func (d *Directory) Read(ctx context.Context, read Read) (structs.ProgramView, error) {
	var view structs.ProgramView
	err := d.follow(ctx, read.Program.Log(), func(ctx context.Context, h Home) error {
		var err error
		view, err = h.Read(ctx, read)
		return err
	})
	return view, err
}

// listFanout bounds the entries asked at once for a list.
const listFanout = 16

// List implements Home with the programs of all entries. A list that another entry
// asks for is of this process alone. An entry that does not answer is an error, so
// that a list that lacks programs is not taken for whole.
func (d *Directory) List(ctx context.Context, list List) ([]structs.ProgramView, error) {
	own, err := d.cfg.Local.List(ctx, list)
	if err != nil || hops(ctx) > 0 {
		return own, err
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(listFanout)
	for _, address := range d.cfg.Members.PeerAddresses() {
		group.Go(func() error {
			h, err := d.remote(address)
			if err != nil {
				return err
			}
			views, err := h.List(withHop(ctx), list)
			mu.Lock()
			defer mu.Unlock()
			own = append(own, views...)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	slices.SortFunc(own, func(a, b structs.ProgramView) int { return cmp.Compare(a.ID, b.ID) })
	if list.Limit > 0 && len(own) > list.Limit {
		own = own[:list.Limit]
	}
	return own, nil
}

// follow calls f with the home of log's programs, and again with the next one
// while the home cannot be reached or has moved.
func (d *Directory) follow(ctx context.Context, log structs.LogID, f func(context.Context, Home) error) error {
	deadline := time.Now().Add(d.cfg.Patience)
	var last error
	for {
		h, at, err := d.find(ctx, log)
		if err == nil {
			err = d.call(ctx, h, at, f)
		}
		if err == nil || !d.moved(log, err) {
			return err
		}
		last = err
		if relayed, err := d.relay(ctx, log, f); relayed {
			return err
		}
		if time.Now().After(deadline) {
			return d.unreachable(log, last)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(searchInterval):
		}
	}
}

// find returns the home that now holds the programs opened in log,
// and the log that holds them.
func (d *Directory) find(ctx context.Context, log structs.LogID) (Home, structs.LogID, error) {
	at := d.redirected(log)
	if at == d.cfg.Own {
		return d.cfg.Local, at, nil
	}
	if address, ok := d.cfg.Members.Address(at); ok {
		h, err := d.remote(address)
		return h, at, err
	}
	successor, err := d.cfg.Successors.Successor(ctx, at)
	if errors.Is(err, ErrNoHome) {
		return nil, at, structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "find home",
			"no program of log %q is open", log)
	}
	if err != nil {
		return nil, at, errHomeSearch(at, err)
	}
	if successor != at {
		d.redirect(log, successor)
		return d.find(ctx, successor)
	}
	return nil, at, errHomeSearch(at, errors.Newf("no member holds log %q", at))
}

func errHomeSearch(log structs.LogID, cause error) error {
	r := structs.Refusalf(structs.CodeHomeUnreachable, structs.OutcomeNotRun, "find home", "home of log %q: %s", log, cause)
	r.RetryAfter = unreachRetry
	return r
}

func (d *Directory) remote(address string) (Home, error) {
	conn, err := d.cfg.Connections.Conn(address)
	if err != nil {
		return nil, err
	}
	return NewRemote(conn, address), nil
}

// moved reports whether the error says that the home is gone or elsewhere, so
// that the call should follow it. It forgets what led there.
func (d *Directory) moved(log structs.LogID, err error) bool {
	var r *structs.Refusal
	if !errors.As(err, &r) {
		return false
	}
	switch r.Code {
	case structs.CodeFenced, structs.CodeHomeUnreachable, structs.CodeDraining:
	case structs.CodeNotReady:
		if r.Step != StepTakeover {
			return false
		}
	default:
		return false
	}
	d.check(log)
	return true
}

// StepTakeover is the step of the refusal of a home that has not yet taken over
// all programs of a log that it adopts.
const StepTakeover = "adoption"

// check asks the platform where log's programs are now. An outage leaves what is known.
func (d *Directory) check(log structs.LogID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	at := d.redirected(log)
	successor, err := d.cfg.Successors.Successor(ctx, at)
	if err == nil && successor != at {
		d.redirect(log, successor)
	}
}

// call calls f with the home, and gives the call up when the log is taken over
// meanwhile: a home that is stopped keeps its connections open and answers nothing.
func (d *Directory) call(ctx context.Context, h Home, at structs.LogID, f func(context.Context, Home) error) error {
	if at == d.cfg.Own {
		return f(ctx, h)
	}
	bounded, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	go d.watch(bounded, at, giveUp)
	err := f(bounded, h)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(bounded), errTakenOver) {
		return errHomeSearch(at, errTakenOver)
	}
	return err
}

// errTakenOver reports that another log took a home's programs over during a call.
var errTakenOver = errors.New("the log was taken over during the call")

// watch gives a call up once its home is no longer among the members.
func (d *Directory) watch(ctx context.Context, at structs.LogID, giveUp context.CancelCauseFunc) {
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, member := d.cfg.Members.Address(at); !member {
			giveUp(errTakenOver)
			return
		}
	}
}

// relay tries the call through entries that may reach the home. It reports
// whether one of them did.
func (d *Directory) relay(ctx context.Context, log structs.LogID, f func(context.Context, Home) error) (bool, error) {
	if hops(ctx) > 0 {
		return false, nil
	}
	at := d.redirected(log)
	if _, known := d.cfg.Members.Address(at); !known || at == d.cfg.Own {
		return false, nil
	}
	for _, address := range d.cfg.Members.Relays(at) {
		h, err := d.remote(address)
		if err != nil {
			continue
		}
		err = f(withHop(ctx), h)
		if err == nil || !d.moved(log, err) {
			return true, err
		}
	}
	return false, nil
}

func (d *Directory) unreachable(log structs.LogID, last error) error {
	r := *structs.AsRefusal(last)
	r.Detail = "the home of log " + string(log) + " was not reached within " + d.cfg.Patience.String() + ": " + r.Detail
	r.Code = structs.CodeHomeUnreachable
	if r.RetryAfter == 0 {
		r.RetryAfter = unreachRetry
	}
	return &r
}

// redirected follows the redirects remembered.
func (d *Directory) redirected(log structs.LogID) structs.LogID {
	d.mu.Lock()
	defer d.mu.Unlock()
	for range len(d.redirects) + 1 {
		next, ok := d.redirects[log]
		if !ok {
			return log
		}
		log = next
	}
	return log
}

func (d *Directory) redirect(from, to structs.LogID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.redirects) >= maxRedirects {
		clear(d.redirects) // they are found again at the platform
	}
	if from != to {
		d.redirects[from] = to
	}
}
