package home

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHome answers reads with its name or with the error that the test sets.
type fakeHome struct {
	Home
	name string

	mu    sync.Mutex
	err   error
	reads int
}

func (h *fakeHome) Read(context.Context, Read) (structs.ProgramView, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	return structs.ProgramView{Home: structs.NodeID(h.name)}, h.err
}

func (h *fakeHome) setError(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
}

// fakeCluster implements Members and Successors with values that the test sets.
type fakeCluster struct {
	mu         sync.Mutex
	successors map[structs.LogID]structs.LogID
	gone       map[structs.LogID]bool
	addresses  map[structs.LogID]string
	relays     []string
	lookups    int
	// onLookup is called at each lookup of a successor, with mu held.
	onLookup func(c *fakeCluster)
}

func (c *fakeCluster) Successor(_ context.Context, log structs.LogID) (structs.LogID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookups++
	if c.onLookup != nil {
		c.onLookup(c)
	}
	if c.gone[log] {
		return "", ErrNoHome
	}
	if next, ok := c.successors[log]; ok {
		return next, nil
	}
	return log, nil
}

func (c *fakeCluster) Address(log structs.LogID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.addresses[log]
	return a, ok
}

func (c *fakeCluster) PeerAddresses() []string                                     { return c.relays }
func (c *fakeCluster) Relays(structs.LogID) []string                               { return c.relays }
func (c *fakeCluster) OwnerLogForKey(structs.OrganisationID, string) structs.LogID { return "own" }

// serveHome serves h on loopback. It returns the address and a function that stops the
// server.
func serveHome(t *testing.T, h Home) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := peer.NewServer(peer.Options{})
	peerpb.RegisterHomeServer(g, NewServer(h))
	served := make(chan error, 1)
	go func() { served <- g.Serve(l) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			g.Stop()
			<-served
		})
	}
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func newTestDirectory(t *testing.T, c *fakeCluster, local Home, waitLimit time.Duration) *Directory {
	t.Helper()
	pool := peer.NewPool(peer.Options{})
	t.Cleanup(pool.Close)
	return NewDirectory(DirectoryConfig{
		Own: "own", Local: local, Node: "e0", Successors: c, Members: c, Connections: pool, WaitLimit: waitLimit,
	})
}

func read(d *Directory, id structs.ProgramID) (structs.NodeID, error) {
	view, err := d.Read(context.Background(), Read{Program: id})
	return view.Home, err
}

// Calls have to reach the home of a program whether it is local, remote, or a direct
// or indirect successor of the log in the program's id. A stored successor must not be
// looked up again.
func TestDirectoryFindsLocalRemoteAndSuccessorHomes(t *testing.T) {
	local, remote := &fakeHome{name: "local"}, &fakeHome{name: "remote"}
	address, _ := serveHome(t, remote)
	c := &fakeCluster{
		successors: map[structs.LogID]structs.LogID{"sealed-1": "sealed-2", "sealed-2": "e1", "moved-here": "own"},
		gone:       map[structs.LogID]bool{"ended": true},
		addresses:  map[structs.LogID]string{"e1": address},
	}
	d := newTestDirectory(t, c, local, 10*time.Millisecond)
	for id, want := range map[structs.ProgramID]structs.NodeID{
		"own.1": "local", "e1.1": "remote", "sealed-1.1": "remote", "moved-here.1": "local",
	} {
		if got, err := read(d, id); err != nil || got != want {
			t.Errorf("home of program %s = %q, %v; want %q", id, got, err, want)
		}
	}
	before := c.lookups
	if _, err := read(d, "sealed-1.1"); err != nil || c.lookups != before {
		t.Errorf("a call to a stored successor made %d lookups, %v; want none", c.lookups-before, err)
	}
	var r *structs.Refusal
	if _, err := read(d, "ended.1"); !errors.As(err, &r) || r.Code != structs.CodeNotFound {
		t.Errorf("read of a program whose log no longer exists: %v, want not found", err)
	}
}

// If a home becomes unreachable, a call has to wait for the takeover and reach the
// entry that took the programs over.
func TestDirectoryFollowsATakeover(t *testing.T) {
	local, remote := &fakeHome{name: "local"}, &fakeHome{name: "remote"}
	address, stop := serveHome(t, remote)
	c := &fakeCluster{successors: map[structs.LogID]structs.LogID{}, addresses: map[structs.LogID]string{"e1": address}}
	d := newTestDirectory(t, c, local, time.Minute)
	if got, err := read(d, "e1.1"); err != nil || got != "remote" {
		t.Fatalf("read before the home stopped = %q, %v", got, err)
	}
	stop()
	c.onLookup = func(c *fakeCluster) {
		if c.lookups > 3 {
			c.successors["e1"] = "own"
		}
	}
	if got, err := read(d, "e1.1"); err != nil || got != "local" {
		t.Fatalf("read after the takeover = %q, %v", got, err)
	}
}

// hungHome does not answer a read until it is released, as a paused process would.
type hungHome struct {
	Home
	received chan struct{}
	release  chan struct{}
}

func (h *hungHome) Read(context.Context, Read) (structs.ProgramView, error) {
	h.received <- struct{}{}
	<-h.release
	return structs.ProgramView{Home: "hung"}, nil
}

// A paused home keeps its connections open, so a call to it would hang. The call
// has to be cancelled and repeated at the new home once the log is taken over.
func TestDirectoryCancelsACallToAHungHome(t *testing.T) {
	hung := &hungHome{received: make(chan struct{}, 1), release: make(chan struct{})}
	address, _ := serveHome(t, hung)
	defer close(hung.release)
	c := &fakeCluster{successors: map[structs.LogID]structs.LogID{}, addresses: map[structs.LogID]string{"e1": address}}
	d := newTestDirectory(t, c, &fakeHome{name: "local"}, time.Minute)
	go func() {
		<-hung.received
		c.mu.Lock()
		defer c.mu.Unlock()
		c.successors["e1"] = "own"
		delete(c.addresses, "e1")
	}()
	if got, err := read(d, "e1.1"); err != nil || got != "local" {
		t.Fatalf("read after the takeover of a hung home = %q, %v", got, err)
	}
}

// A call is repeated while its home is fenced, has handed its programs over, or has not
// yet taken over all programs. Otherwise callers would see each takeover as an error.
func TestDirectoryRetriesUntilTheTakeoverIsComplete(t *testing.T) {
	for _, refusal := range []*structs.Refusal{
		structs.Refusalf(structs.CodeFenced, structs.OutcomeUnknown, "commit", "sealed"),
		structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, StepTakeover, "not taken over yet"),
		structs.Refusalf(structs.CodeDraining, structs.OutcomeUnknown, "hand over", "handed over"),
	} {
		local := &fakeHome{name: "local"}
		local.setError(refusal)
		c := &fakeCluster{onLookup: func(c *fakeCluster) {
			if c.lookups == 2 {
				local.setError(nil)
			}
		}}
		d := newTestDirectory(t, c, local, time.Minute)
		if got, err := read(d, "own.1"); err != nil || got != "local" {
			t.Errorf("read after refusal %s = %q, %v", refusal.Code, got, err)
		}
	}
}

// A home that this process cannot reach is called through another entry that can.
// Otherwise a broken link between two entries would make the home unreachable for the
// callers of one of them.
func TestDirectoryRelaysThroughAPeer(t *testing.T) {
	relayed := &fakeHome{name: "relayed"}
	relay, _ := serveHome(t, relayed)
	closed, stop := serveHome(t, &fakeHome{})
	stop()
	c := &fakeCluster{addresses: map[structs.LogID]string{"e1": closed}, relays: []string{closed, relay}}
	d := newTestDirectory(t, c, &fakeHome{}, time.Minute)
	if got, err := read(d, "e1.1"); err != nil || got != "relayed" {
		t.Fatalf("relayed read = %q, %v", got, err)
	}
}

// hopCounter records how often the last call that reached it was relayed.
type hopCounter struct {
	*fakeHome
	hops int
}

func (h *hopCounter) Read(ctx context.Context, r Read) (structs.ProgramView, error) {
	h.hops = hops(ctx)
	return h.fakeHome.Read(ctx, r)
}

// Two entries that cannot reach a home must not relay a call to each other in a
// loop: a relayed call carries a mark, and a Directory does not relay a marked call.
func TestRelayedCallsAreRelayedOnce(t *testing.T) {
	counter := &hopCounter{fakeHome: &fakeHome{name: "home"}}
	address, _ := serveHome(t, counter)
	closed, stop := serveHome(t, &fakeHome{})
	stop()
	c := &fakeCluster{addresses: map[structs.LogID]string{"e1": closed}, relays: []string{address}}
	second := newTestDirectory(t, c, &fakeHome{}, time.Millisecond)
	relay, _ := serveHome(t, second)
	first := newTestDirectory(t, &fakeCluster{addresses: c.addresses, relays: []string{relay}}, &fakeHome{}, time.Millisecond)
	if _, err := read(first, "e1.1"); err == nil {
		t.Fatal("the second entry relayed a call that was relayed to it")
	}
	if _, err := read(second, "e1.1"); err != nil || counter.hops != 1 {
		t.Fatalf("call through one relay: error %v, %d hops; want 1 hop", err, counter.hops)
	}
}

// listHome lists one program.
type listHome struct {
	Home
	id structs.ProgramID
}

func (h listHome) List(context.Context, List) ([]structs.ProgramView, error) {
	return []structs.ProgramView{{ID: h.id}}, nil
}

// A list has to contain the programs of all entries once, in the order of their ids. It
// must fail when an entry does not answer, since a partial list would look complete.
func TestDirectoryListsAllEntries(t *testing.T) {
	c := &fakeCluster{}
	for _, id := range []structs.ProgramID{"e2-b.1", "e1-a.1"} {
		address, _ := serveHome(t, newTestDirectory(t, c, listHome{id: id}, time.Minute))
		c.relays = append(c.relays, address)
	}
	d := newTestDirectory(t, c, listHome{id: "e3-c.1"}, time.Minute)
	views, err := d.List(context.Background(), List{Limit: 10})
	if err != nil || len(views) != 3 || views[0].ID != "e1-a.1" || views[2].ID != "e3-c.1" {
		t.Fatalf("list of three entries = %+v, %v", views, err)
	}
	if views, err = d.List(context.Background(), List{Limit: 2}); err != nil || len(views) != 2 {
		t.Fatalf("list of two = %+v, %v", views, err)
	}
	closed, stop := serveHome(t, &fakeHome{})
	stop()
	c.relays = append(c.relays, closed)
	if views, err = d.List(context.Background(), List{}); err == nil {
		t.Fatalf("list while one entry is down = %+v, want an error", views)
	}
}

// A call whose home stays unreachable has to end with a refusal and a retry time
// once the wait limit has passed.
func TestDirectoryRefusesAfterTheWaitLimit(t *testing.T) {
	closed, stop := serveHome(t, &fakeHome{})
	stop()
	c := &fakeCluster{addresses: map[structs.LogID]string{"e1": closed}}
	d := newTestDirectory(t, c, &fakeHome{}, time.Millisecond)
	_, err := read(d, "e1.1")
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Code != structs.CodeHomeUnreachable || r.RetryAfter <= 0 {
		t.Fatalf("read at an unreachable home: %v, want home_unreachable with a retry time", err)
	}
}
