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

// fakeHome answers reads with its name, or with the error that the test sets.
type fakeHome struct {
	Home
	name string

	mu    sync.Mutex
	fail  error
	reads int
}

func (h *fakeHome) Read(context.Context, Read) (structs.ProgramView, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	return structs.ProgramView{Home: structs.NodeID(h.name)}, h.fail
}

func (h *fakeHome) set(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fail = err
}

// world is the members and the platform as a directory sees them.
type world struct {
	mu         sync.Mutex
	successors map[structs.LogID]structs.LogID
	gone       map[structs.LogID]bool
	addresses  map[structs.LogID]string
	relays     []string
	asked      int
	onAsk      func(w *world)
}

func (w *world) Successor(_ context.Context, log structs.LogID) (structs.LogID, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	if w.onAsk != nil {
		w.onAsk(w)
	}
	if w.gone[log] {
		return "", ErrNoHome
	}
	if next, ok := w.successors[log]; ok {
		return next, nil
	}
	return log, nil
}

func (w *world) Address(log structs.LogID) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.addresses[log]
	return a, ok
}

func (w *world) PeerAddresses() []string                                { return w.relays }
func (w *world) Relays(structs.LogID) []string                          { return w.relays }
func (w *world) LogForKey(structs.OrganisationID, string) structs.LogID { return "own" }

// serveHome serves the home on loopback and returns its address and a stop.
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

func newTestDirectory(t *testing.T, w *world, local Home, patience time.Duration) *Directory {
	t.Helper()
	pool := peer.NewPool(peer.Options{})
	t.Cleanup(pool.Close)
	return NewDirectory(DirectoryConfig{
		Own: "own", Local: local, Node: "e0", Successors: w, Members: w, Connections: pool, Patience: patience,
	})
}

func read(d *Directory, id structs.ProgramID) (structs.NodeID, error) {
	view, err := d.Read(context.Background(), Read{Program: id})
	return view.Home, err
}

func TestDirectoryFindsLocalRemoteAndSucceedingHomes(t *testing.T) {
	local, remote := &fakeHome{name: "local"}, &fakeHome{name: "remote"}
	address, _ := serveHome(t, remote)
	w := &world{
		successors: map[structs.LogID]structs.LogID{"dead": "dead2", "dead2": "e1", "mine": "own"},
		gone:       map[structs.LogID]bool{"ended": true},
		addresses:  map[structs.LogID]string{"e1": address},
	}
	d := newTestDirectory(t, w, local, 10*time.Millisecond)
	for id, want := range map[structs.ProgramID]structs.NodeID{
		"own.1": "local", "e1.1": "remote", "dead.1": "remote", "mine.1": "local",
	} {
		if got, err := read(d, id); err != nil || got != want {
			t.Errorf("program %s is at %q, %v; want %q", id, got, err, want)
		}
	}
	asked := w.asked
	if _, err := read(d, "dead.1"); err != nil || w.asked != asked {
		t.Errorf("a known redirect was asked for again (%d times), %v", w.asked-asked, err)
	}
	var r *structs.Refusal
	if _, err := read(d, "ended.1"); !errors.As(err, &r) || r.Code != structs.CodeNotFound {
		t.Errorf("a program of a log that is gone gives %v, want not found", err)
	}
}

// The home dies in the middle of things: the call follows its programs to the
// entry that takes them over.
func TestDirectoryFollowsATakeover(t *testing.T) {
	local, remote := &fakeHome{name: "local"}, &fakeHome{name: "remote"}
	address, stop := serveHome(t, remote)
	w := &world{successors: map[structs.LogID]structs.LogID{}, addresses: map[structs.LogID]string{"e1": address}}
	d := newTestDirectory(t, w, local, time.Minute)
	if got, err := read(d, "e1.1"); err != nil || got != "remote" {
		t.Fatalf("before the death: %q, %v", got, err)
	}
	stop()
	w.onAsk = func(w *world) {
		if w.asked > 3 {
			w.successors["e1"] = "own"
		}
	}
	if got, err := read(d, "e1.1"); err != nil || got != "local" {
		t.Fatalf("after the takeover: %q, %v", got, err)
	}
}

// hungHome answers no read until it is released, as a stopped process.
type hungHome struct {
	Home
	asked   chan struct{}
	release chan struct{}
}

func (h *hungHome) Read(context.Context, Read) (structs.ProgramView, error) {
	h.asked <- struct{}{}
	<-h.release
	return structs.ProgramView{Home: "hung"}, nil
}

// A home that hangs is left as soon as its log is taken over.
func TestDirectoryLeavesAHungHomeAtItsTakeover(t *testing.T) {
	hung := &hungHome{asked: make(chan struct{}, 1), release: make(chan struct{})}
	address, _ := serveHome(t, hung)
	defer close(hung.release)
	w := &world{successors: map[structs.LogID]structs.LogID{}, addresses: map[structs.LogID]string{"e1": address}}
	d := newTestDirectory(t, w, &fakeHome{name: "local"}, time.Minute)
	go func() {
		<-hung.asked
		w.mu.Lock()
		defer w.mu.Unlock()
		w.successors["e1"] = "own"
		delete(w.addresses, "e1")
	}()
	if got, err := read(d, "e1.1"); err != nil || got != "local" {
		t.Fatalf("after the takeover of a hung home: %q, %v", got, err)
	}
}

// A fenced home, and one that has not taken over all programs yet, are waited for.
func TestDirectoryWaitsForFencedAndAdoptingHomes(t *testing.T) {
	for _, refusal := range []*structs.Refusal{
		structs.Refusalf(structs.CodeFenced, structs.OutcomeUnknown, "commit", "sealed"),
		structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, StepTakeover, "not taken over yet"),
		structs.Refusalf(structs.CodeDraining, structs.OutcomeUnknown, "hand over", "handed over"),
	} {
		local := &fakeHome{name: "local"}
		local.set(refusal)
		w := &world{onAsk: func(w *world) {
			if w.asked == 2 {
				local.set(nil)
			}
		}}
		d := newTestDirectory(t, w, local, time.Minute)
		if got, err := read(d, "own.1"); err != nil || got != "local" {
			t.Errorf("%s: %q, %v", refusal.Code, got, err)
		}
	}
}

// A home that this process cannot reach, but another entry can, is reached through it.
func TestDirectoryRelaysThroughAPeer(t *testing.T) {
	relayed := &fakeHome{name: "relayed"}
	relay, _ := serveHome(t, relayed)
	closed, stop := serveHome(t, &fakeHome{})
	stop()
	w := &world{addresses: map[structs.LogID]string{"e1": closed}, relays: []string{closed, relay}}
	d := newTestDirectory(t, w, &fakeHome{}, time.Minute)
	if got, err := read(d, "e1.1"); err != nil || got != "relayed" {
		t.Fatalf("relayed read = %q, %v", got, err)
	}
}

// hopCounter notes how often the calls that reach it were relayed.
type hopCounter struct {
	*fakeHome
	hops int
}

func (h *hopCounter) Read(ctx context.Context, r Read) (structs.ProgramView, error) {
	h.hops = hops(ctx)
	return h.fakeHome.Read(ctx, r)
}

// A relayed call carries its mark, and a directory relays no call that has one.
func TestRelayedCallsAreRelayedOnce(t *testing.T) {
	counter := &hopCounter{fakeHome: &fakeHome{name: "home"}}
	address, _ := serveHome(t, counter)
	closed, stop := serveHome(t, &fakeHome{})
	stop()
	w := &world{addresses: map[structs.LogID]string{"e1": closed}, relays: []string{address}}
	second := newTestDirectory(t, w, &fakeHome{}, time.Millisecond)
	relay, _ := serveHome(t, second)
	first := newTestDirectory(t, &world{addresses: w.addresses, relays: []string{relay}}, &fakeHome{}, time.Millisecond)
	if _, err := read(first, "e1.1"); err == nil {
		t.Fatal("the second entry relayed a call that was relayed to it")
	}
	if _, err := read(second, "e1.1"); err != nil || counter.hops != 1 {
		t.Fatalf("direct relay: %v with %d hops, want 1", err, counter.hops)
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

// A list holds the programs of all entries once, in order, and is refused when an
// entry does not answer.
func TestDirectoryListsAllEntries(t *testing.T) {
	w := &world{}
	for _, id := range []structs.ProgramID{"e2-b.1", "e1-a.1"} {
		address, _ := serveHome(t, newTestDirectory(t, w, listHome{id: id}, time.Minute))
		w.relays = append(w.relays, address)
	}
	d := newTestDirectory(t, w, listHome{id: "e3-c.1"}, time.Minute)
	views, err := d.List(context.Background(), List{Limit: 10})
	if err != nil || len(views) != 3 || views[0].ID != "e1-a.1" || views[2].ID != "e3-c.1" {
		t.Fatalf("list of three entries = %+v, %v", views, err)
	}
	if views, err = d.List(context.Background(), List{Limit: 2}); err != nil || len(views) != 2 {
		t.Fatalf("list of two = %+v, %v", views, err)
	}
	closed, stop := serveHome(t, &fakeHome{})
	stop()
	w.relays = append(w.relays, closed)
	if views, err = d.List(context.Background(), List{}); err == nil {
		t.Fatalf("a list without one entry's programs was given as whole: %+v", views)
	}
}

// A home that stays away gets its call a final answer, with when to come back.
func TestDirectoryGivesUpWithAnAnswer(t *testing.T) {
	closed, stop := serveHome(t, &fakeHome{})
	stop()
	w := &world{addresses: map[structs.LogID]string{"e1": closed}}
	d := newTestDirectory(t, w, &fakeHome{}, time.Millisecond)
	_, err := read(d, "e1.1")
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Code != structs.CodeHomeUnreachable || r.RetryAfter <= 0 {
		t.Fatalf("an unreachable home gives %v", err)
	}
}
