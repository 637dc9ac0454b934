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

// Successors looks up which log holds the programs of a log after a takeover.
type Successors interface {
	// Successor returns the log that now holds the programs opened in log. This is log
	// itself while it is not sealed. The error is ErrNoHome if no log holds the programs
	// any more.
	Successor(ctx context.Context, log structs.LogID) (structs.LogID, error)
}

// ErrNoHome reports that no log holds the programs of a log any more.
var ErrNoHome = errors.New("no log holds the programs")

// Members is the part of the membership that a Directory needs: the addresses of
// entries, and the choice of the entry that opens a program.
type Members interface {
	// Address returns the peer address of the entry that owns the log, and whether
	// that entry is a known member.
	Address(log structs.LogID) (string, bool)
	// Relays returns the addresses of entries that may reach the owner of the log when
	// this process cannot.
	Relays(log structs.LogID) []string
	// PeerAddresses returns the addresses of the other entries that are up.
	PeerAddresses() []string
	// OwnerLogForKey chooses the entry that opens a program with the organisation's key, and
	// returns its log. As long as the membership stays the same, opens with the same key
	// go to the same entry, which recognises a repeated one.
	OwnerLogForKey(organisation structs.OrganisationID, key string) structs.LogID
}

// Connections returns connections to peer addresses. *peer.Pool implements it.
type Connections interface {
	// Conn returns the connection to address.
	Conn(address string) (*grpc.ClientConn, error)
}

// DirectoryConfig configures a Directory.
type DirectoryConfig struct {
	// Own is the log of this process and Local its Home.
	Own   structs.LogID
	Local Home
	// Node is the name of this process.
	Node        structs.NodeID
	Successors  Successors
	Members     Members
	Connections Connections
	// WaitLimit bounds how long a call is repeated while its home cannot be reached or
	// its programs are being taken over; 10 s by default.
	WaitLimit time.Duration
}

// Intervals and limits of the search for a home.
const (
	defaultWaitLimit = 10 * time.Second
	// searchInterval is the time between two attempts to reach a home, and between two
	// checks that the home of a running call is still a member.
	searchInterval = 100 * time.Millisecond
	// unreachableRetryAfter is the retry delay in a refusal with CodeHomeUnreachable.
	unreachableRetryAfter = 2 * time.Second
	// maxSuccessors is the maximum number of successors that a Directory stores.
	maxSuccessors = 65536
)

// Directory implements Home for the programs of all entries: it finds the home of
// each program and forwards the call to it. If the home fails during a call,
// the Directory waits for the takeover and repeats the call at the new home. This
// is safe because a repeated call has no further effect at the home. An open without a
// key, for which this does not hold, goes to the local home and is not repeated.
type Directory struct {
	cfg DirectoryConfig

	mu sync.Mutex
	// successors maps a log to the log that took over its programs, as far as this process
	// has looked it up.
	successors map[structs.LogID]structs.LogID
}

var _ Home = (*Directory)(nil)

// NewDirectory returns a Directory with the configuration.
func NewDirectory(cfg DirectoryConfig) *Directory {
	if cfg.WaitLimit == 0 {
		cfg.WaitLimit = defaultWaitLimit
	}
	return &Directory{cfg: cfg, successors: map[structs.LogID]structs.LogID{}}
}

// Open implements Home. An open with a key goes to the entry that Members.OwnerLogForKey
// selects; an open without one goes to the local home.
func (d *Directory) Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	if spec.Key == "" {
		return d.cfg.Local.Open(ctx, spec)
	}
	log := d.cfg.Members.OwnerLogForKey(spec.Organisation, spec.Key)
	var id structs.ProgramID
	err := d.withHome(ctx, log, func(ctx context.Context, h Home) error {
		var err error
		id, err = h.Open(ctx, spec)
		return err
	})
	return id, err
}

// Turn implements Home.
func (d *Directory) Turn(ctx context.Context, turn Turn, event func(structs.TurnEvent) error) error {
	return d.withHome(ctx, turn.Program.Log(), func(ctx context.Context, h Home) error {
		return h.Turn(ctx, turn, event)
	})
}

// End implements Home.
func (d *Directory) End(ctx context.Context, end End) error {
	return d.withHome(ctx, end.Program.Log(), func(ctx context.Context, h Home) error {
		return h.End(ctx, end)
	})
}

// Read implements Home.
func (d *Directory) Read(ctx context.Context, read Read) (structs.ProgramView, error) {
	var view structs.ProgramView
	err := d.withHome(ctx, read.Program.Log(), func(ctx context.Context, h Home) error {
		var err error
		view, err = h.Read(ctx, read)
		return err
	})
	return view, err
}

// listFanout is the maximum number of entries that one list queries concurrently.
const listFanout = 16

// List implements Home with the programs of all entries. A list that another entry
// requests covers only this process. If an entry does not answer, List returns an
// error, because a partial list could be mistaken for a complete one.
func (d *Directory) List(ctx context.Context, list List) ([]structs.ProgramView, error) {
	views, err := d.cfg.Local.List(ctx, list)
	if err != nil || hops(ctx) > 0 {
		return views, err
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
			remoteViews, err := h.List(withHop(ctx), list)
			mu.Lock()
			defer mu.Unlock()
			views = append(views, remoteViews...)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	slices.SortFunc(views, func(a, b structs.ProgramView) int { return cmp.Compare(a.ID, b.ID) })
	if list.Limit > 0 && len(views) > list.Limit {
		views = views[:list.Limit]
	}
	return views, nil
}

// withHome calls f with the home of the programs opened in log. While the home cannot
// be reached or has moved, it calls f through relays, looks the home up again and
// repeats the call, until WaitLimit has passed.
func (d *Directory) withHome(ctx context.Context, log structs.LogID, f func(context.Context, Home) error) error {
	deadline := time.Now().Add(d.cfg.WaitLimit)
	var last error
	for {
		h, current, err := d.findHome(ctx, log)
		if err == nil {
			err = d.callHome(ctx, h, current, f)
		}
		if err == nil || !d.shouldRetry(log, err) {
			return err
		}
		last = err
		if relayed, err := d.callThroughRelays(ctx, log, f); relayed {
			return err
		}
		if time.Now().After(deadline) {
			return d.waitLimitRefusal(log, last)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(searchInterval):
		}
	}
}

// findHome returns the home that now holds the programs opened in log, and its log.
func (d *Directory) findHome(ctx context.Context, log structs.LogID) (Home, structs.LogID, error) {
	current := d.resolve(log)
	if current == d.cfg.Own {
		return d.cfg.Local, current, nil
	}
	if address, ok := d.cfg.Members.Address(current); ok {
		h, err := d.remote(address)
		return h, current, err
	}
	successor, err := d.cfg.Successors.Successor(ctx, current)
	if errors.Is(err, ErrNoHome) {
		return nil, current, structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "find home",
			"no program of log %q is open", log)
	}
	if err != nil {
		return nil, current, homeUnreachable(current, err)
	}
	if successor != current {
		d.recordSuccessor(log, successor)
		return d.findHome(ctx, successor)
	}
	return nil, current, homeUnreachable(current, errors.Newf("no member holds log %q", current))
}

// homeUnreachable returns the refusal of a call to which the home of the programs in
// log has not replied because of cause.
func homeUnreachable(log structs.LogID, cause error) error {
	r := structs.Refusalf(structs.CodeHomeUnreachable, structs.OutcomeNotRun, "find home", "home of log %q: %s", log, cause)
	r.RetryAfter = unreachableRetryAfter
	return r
}

// remote returns the Home of the entry at address.
func (d *Directory) remote(address string) (Home, error) {
	conn, err := d.cfg.Connections.Conn(address)
	if err != nil {
		return nil, err
	}
	return NewRemote(conn, address), nil
}

// shouldRetry reports whether a call that failed with err should be repeated: its home
// was fenced, is unreachable, has handed its programs over, or has not yet taken over
// all programs of log. If so, it refreshes the successor of log.
func (d *Directory) shouldRetry(log structs.LogID, err error) bool {
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
	d.refreshSuccessor(log)
	return true
}

// StepTakeover is the step of a refusal by a home that has not yet taken over all
// programs of a log.
const StepTakeover = "adoption"

// refreshSuccessor looks up which log holds the programs of log now, for up to 1 s. If
// the lookup fails, for example during an outage of the platform, the stored successor
// stays as it is.
func (d *Directory) refreshSuccessor(log structs.LogID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	current := d.resolve(log)
	successor, err := d.cfg.Successors.Successor(ctx, current)
	if err == nil && successor != current {
		d.recordSuccessor(log, successor)
	}
}

// callHome calls f with the home h, whose log is current. It cancels the call when that
// log is taken over meanwhile: a paused process leaves its connections open but
// sends no reply.
func (d *Directory) callHome(ctx context.Context, h Home, current structs.LogID, f func(context.Context, Home) error) error {
	if current == d.cfg.Own {
		return f(ctx, h)
	}
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go d.cancelOnTakeover(bounded, current, cancel)
	err := f(bounded, h)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(bounded), errTakenOver) {
		return homeUnreachable(current, errTakenOver)
	}
	return err
}

// errTakenOver is the cause of cancelling a call whose home's log was taken over.
var errTakenOver = errors.New("the log was taken over during the call")

// cancelOnTakeover calls cancel once the owner of the log current is no longer a member:
// it stays one until its log has been taken over or deleted.
func (d *Directory) cancelOnTakeover(ctx context.Context, current structs.LogID, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, member := d.cfg.Members.Address(current); !member {
			cancel(errTakenOver)
			return
		}
	}
}

// callThroughRelays sends the call through other entries that may reach the home. It
// reports whether one of them got a reply from the home, and returns the result of the
// call.
func (d *Directory) callThroughRelays(ctx context.Context, log structs.LogID, f func(context.Context, Home) error) (bool, error) {
	if hops(ctx) > 0 {
		return false, nil
	}
	current := d.resolve(log)
	if _, known := d.cfg.Members.Address(current); !known || current == d.cfg.Own {
		return false, nil
	}
	for _, address := range d.cfg.Members.Relays(current) {
		h, err := d.remote(address)
		if err != nil {
			continue
		}
		err = f(withHop(ctx), h)
		if err == nil || !d.shouldRetry(log, err) {
			return true, err
		}
	}
	return false, nil
}

// waitLimitRefusal returns the refusal of a call that is not repeated any more, because
// its home was not reached within WaitLimit; last is the error of the last attempt.
func (d *Directory) waitLimitRefusal(log structs.LogID, last error) error {
	r := *structs.AsRefusal(last)
	r.Detail = "the home of log " + string(log) + " was not reached within " + d.cfg.WaitLimit.String() + ": " + r.Detail
	r.Code = structs.CodeHomeUnreachable
	if r.RetryAfter == 0 {
		r.RetryAfter = unreachableRetryAfter
	}
	return &r
}

// resolve follows the stored successors from log to the log that holds its programs, as
// far as this process knows. The bound on the steps ends the loop if they form a cycle.
func (d *Directory) resolve(log structs.LogID) structs.LogID {
	d.mu.Lock()
	defer d.mu.Unlock()
	for range len(d.successors) + 1 {
		next, ok := d.successors[log]
		if !ok {
			return log
		}
		log = next
	}
	return log
}

// recordSuccessor records that the programs of the log from are now in the log to.
func (d *Directory) recordSuccessor(from, to structs.LogID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.successors) >= maxSuccessors {
		clear(d.successors) // calls look them up again with Successors
	}
	if from != to {
		d.successors[from] = to
	}
}
