package mesh

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
)

// newTestMesh returns the mesh of an entry that is registered and has no socket.
func newTestMesh(node string) *Mesh {
	m := New(Config{
		Self:    Peer{Node: node, Domain: "z", HTTPAddress: "127.0.0.1:1", UDPAddress: "127.0.0.1:2", Incarnation: "life-of-" + node},
		Leaving: func() bool { return false }, Events: eventlog.Discard(), Requests: reqlog.New(io.Discard, node),
		PacketErrors: tally.NoopScope.Counter("errors"),
	})
	m.registered.Store(true)
	return m
}

func setPeer(t *testing.T, m *Mesh, p Peer) {
	t.Helper()
	p.UDPAddress = "127.0.0.1:9"
	if err := m.SetPeer(p); err != nil {
		t.Fatal(err)
	}
}

// TestOwnerTimeoutWithManyEntries guards against a fixed timeout for owners of budgets. With 300
// entries digests are 1.2 s apart: an owner whose last digest is 1.5 s old must still be asked,
// and one that has been silent for 4 s must not. With 8 entries the limit is 1 s.
func TestOwnerTimeoutWithManyEntries(t *testing.T) {
	m := &Mesh{}
	m.interval.Store(int64(DigestInterval(300)))
	now := time.Unix(100, 0)
	if !m.Responsive(&Peer{LastDigest: now.Add(-1500 * time.Millisecond)}, now) {
		t.Error("with 300 entries an owner that missed one digest counts as unresponsive")
	}
	if m.Responsive(&Peer{LastDigest: now.Add(-4 * time.Second)}, now) {
		t.Error("with 300 entries an owner that missed 3 digests counts as responsive")
	}
	m.interval.Store(int64(DigestInterval(8)))
	if m.Responsive(&Peer{LastDigest: now.Add(-1100 * time.Millisecond)}, now) {
		t.Error("with 8 entries an owner that missed 10 digests counts as responsive")
	}
}

// TestFrequentDigestsStayInTheDomain guards against entries that know the calls of others only when these
// have ended: with 84 entries digests to all are 336 ms apart, and those to the 17 of the own
// domain must be 112 ms apart. Up to 25 entries one interval is enough for both.
func TestFrequentDigestsStayInTheDomain(t *testing.T) {
	for _, c := range []struct{ entries, near, digests int }{{8, 3, 1}, {25, 9, 1}, {33, 11, 1}, {84, 17, 3}, {300, 60, 5}, {300, 300, 1}} {
		if got := frequentDigestsFor(DigestInterval(c.entries), c.near); got != c.digests {
			t.Errorf("%d entries, %d of them in the domain: %d digests an interval, want %d", c.entries, c.near, got, c.digests)
		}
	}
	m := newTestMesh("entry-1")
	setPeer(t, m, Peer{Node: "entry-2", Domain: "z", ListedAt: time.Now()})
	setPeer(t, m, Peer{Node: "entry-3", Domain: "elsewhere", ListedAt: time.Now()})
	if near, all := m.digestTargets(true), m.digestTargets(false); len(all) != 2 || len(near) != 1 {
		t.Errorf("%d near and %d targets in all, want 1 and 2", len(near), len(all))
	}
}

// TestFieldsShareTheRoom guards against fields that take the room reserved for later ones, and against
// another order of items than that of registration, at which earlier builds would stop reading.
func TestFieldsShareTheRoom(t *testing.T) {
	m := newTestMesh("entry-1")
	rooms := map[byte]int{}
	add := func(f Field, size int) {
		f.Append = func(b []byte, room int) []byte {
			rooms[f.Kind] = room
			return append(append(b, f.Kind), make([]byte, min(size, room)-1)...)
		}
		m.AddField(f)
	}
	add(Field{Kind: 'a', Frequent: true}, 2000)
	add(Field{Kind: 'b', Early: true, Reserve: 500}, 100)
	add(Field{Kind: 'c', Reserve: 200}, 150)
	add(Field{Kind: 'd'}, 2000)
	b := m.Digest()
	header := len(m.appendHeader(nil, 1, true))
	want := map[byte]int{'a': MaxPacketSize - header - 100 - 200, 'b': 500, 'c': 200, 'd': 50}
	for kind, room := range want {
		if rooms[kind] != room {
			t.Errorf("field %c has room for %d bytes, want %d", kind, rooms[kind], room)
		}
	}
	if order := string(bytes.ReplaceAll(b[header:], []byte{0}, nil)); order != "abcd" || len(b) != MaxPacketSize {
		t.Errorf("%d bytes with the fields %q, want abcd in %d bytes", len(b), order, MaxPacketSize)
	}
	if b := m.FrequentDigest(); len(b) != MaxPacketSize || bytes.IndexByte(b, 'd') > 0 && b[len(b)-1] != 0 {
		t.Errorf("a frequent digest has %d bytes, want %d of field a", len(b), MaxPacketSize)
	}
}

// TestWireFormat guards against changes of the packets, which entries of different builds exchange.
func TestWireFormat(t *testing.T) {
	m := newTestMesh("entry-1")
	m.AddFlag(FlagTableReachable, func() bool { return true })
	m.AddField(Field{Kind: 'q', Append: func(b []byte, _ int) []byte { return binary.AppendUvarint(append(b, 'q'), 300) }})
	full := "\x01\x13\x07entry-1\x01z\x0b127.0.0.1:1\x0b127.0.0.1:2\x0flife-of-entry-1\x01q\xac\x02"
	if b := m.Digest(); string(b) != full {
		t.Errorf("a full digest is %q, want %q", b, full)
	}
	m.lastPeerChange = time.Time{}
	brief := "\x04\x13\x0flife-of-entry-1\x02q\xac\x02"
	if b := m.Digest(); string(b) != brief {
		t.Errorf("a brief digest is %q, want %q", b, brief)
	}
	socket := func() net.PacketConn {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	own, other := socket(), socket()
	m.SetConn(own)
	m.HandleQuestion('w', func(q Question) {
		q.Reply(Answer{Value: 300, Text: q.From + " " + q.ID + " " + q.Text()})
	})
	go m.Receive()
	if err := m.SetPeer(Peer{Node: "entry-2", UDPAddress: other.LocalAddr().String()}); err != nil {
		t.Fatal(err)
	}
	receive := func() string {
		b := make([]byte, 2*MaxPacketSize)
		_ = other.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, _, err := other.ReadFrom(b)
		if err != nil {
			t.Fatal(err)
		}
		return string(b[:n])
	}
	answered := make(chan Answer)
	go func() {
		a, _ := m.Ask(context.Background(), m.Named("entry-2"), 5*time.Second, 'w', []byte("body"))
		answered <- a
	}()
	if got, want := receive(), "\x02\x01\x0flife-of-entry-1wbody"; got != want {
		t.Errorf("a question is %q, want %q", got, want)
	}
	send := func(packet string) {
		if _, err := other.WriteTo([]byte(packet), own.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	send("\x03\x01\x0flife-of-entry-1\xac\x02\x04text")
	if a := <-answered; a.Value != 300 || a.Text != "text" {
		t.Errorf("the answer is %+v, want 300 and text", a)
	}
	// The question may have been sent again meanwhile, so the answer of this entry goes to another socket.
	other = socket()
	send("\x02\x05\x04lifew\x04body")
	if got, want := receive(), "\x03\x05\x04life\xac\x02\x10life life/5 body"; got != want {
		t.Errorf("an answer is %q, want %q", got, want)
	}
	m.Send(&Peer{udpAddr: other.LocalAddr().(*net.UDPAddr).AddrPort()}, 5, []byte("body"))
	if got, want := receive(), "\x05body"; got != want {
		t.Errorf("a further packet is %q, want %q", got, want)
	}
}

// TestUnknownItemEndsTheDigest guards against items that are applied although those before them could not
// be read, and against fields whose items take effect one by one or not at all.
func TestUnknownItemEndsTheDigest(t *testing.T) {
	m := newTestMesh("entry-1")
	applied, together := "", ""
	m.AddField(Field{Kind: 'a', Apply: func(from string, r *Reader) { applied += from + fmt.Sprint(r.Uvarint()) }})
	m.AddField(Field{Kind: 'b', Begin: func(string) (func(*Reader), func()) {
		items := ""
		return func(r *Reader) { items += fmt.Sprint(r.Uvarint()) }, func() { together = items + "!" }
	}})
	header := func(seq byte) string {
		return "\x01\x00\x07entry-2\x01z\x0b127.0.0.1:1\x0b127.0.0.1:2\x04life" + string(rune(seq))
	}
	for i, c := range []struct {
		items, applied, together string
		wellFormed               bool
	}{
		{"", "", "!", true},
		{"a\x01b\x02b\x03", "entry-21", "23!", true},
		{"b\x04?\x01a\x05", "", "4!", false},
		{"a\x06a", "entry-26entry-20", "!", false},
	} {
		applied, together = "", ""
		if got := m.HandlePacket([]byte(header(byte(i+1))+c.items), nil); got != c.wellFormed || applied != c.applied || together != c.together {
			t.Errorf("items %q: well-formed %v, applied %q and %q; want %+v", c.items, got, applied, together, c)
		}
	}
	if m.HandlePacket([]byte(header(4)+"a\x01"), nil); applied != "entry-26entry-20" {
		t.Errorf("a digest that arrives twice was applied again: %q", applied)
	}
}

// TestSharesOfAPartition guards against halves of a partition that together grant more than the whole of a
// limit, and against a share that stays small after the other half has been silent for ShareWindow.
func TestSharesOfAPartition(t *testing.T) {
	const entries = 8
	now := time.Now()
	split := func(silent time.Duration, reaches func(a, b int) bool) []*Mesh {
		out := make([]*Mesh, entries)
		for i := range out {
			out[i] = newTestMesh(fmt.Sprint("entry-", i))
			for j := range entries {
				if i == j {
					continue
				}
				p := Peer{Node: fmt.Sprint("entry-", j), Flags: FlagGrants, LastDigest: now, ListedAt: now.Add(-time.Hour)}
				if !reaches(i, j) {
					p.LastDigest = now.Add(-silent)
				}
				setPeer(t, out[i], p)
			}
		}
		return out
	}
	halves := func(a, b int) bool { return a%2 == b%2 }
	for _, c := range []struct {
		name    string
		silent  time.Duration
		reaches func(a, b int) bool
		sum     float64
	}{
		{"all reach each other", 0, func(int, int) bool { return true }, 1},
		{"two halves", 5 * time.Second, halves, 1},
		{"two halves for long", ShareWindow + time.Second, halves, 2},
		{"one cut off", 5 * time.Second, func(a, b int) bool { return a != 3 && b != 3 }, 1},
	} {
		for key := range 20 {
			sum := 0.0
			for _, m := range split(c.silent, c.reaches) {
				sum += m.Share(FlagGrants, fmt.Sprint(key), now)
			}
			if sum < c.sum-1e-9 || sum > c.sum+1e-9 {
				t.Errorf("%s: the shares of key %d add up to %v, want %v", c.name, key, sum, c.sum)
			}
		}
	}
}

// TestShareOfEntriesThatCannotGrant guards against shares that shrink on account of entries that leave or
// of early builds, and against an entry that has started in one half of a partition and takes it for the whole.
func TestShareOfEntriesThatCannotGrant(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		peer Peer
		want float64
	}{
		{"leaving", Peer{Flags: FlagGrants | FlagLeaving, LastDigest: now.Add(-2 * time.Second)}, 1},
		{"early build", Peer{Flags: FlagOwner, LastDigest: now.Add(-2 * time.Second)}, 1},
		{"silent", Peer{Flags: FlagGrants, LastDigest: now.Add(-2 * time.Second)}, 0.5},
		{"listed and not heard from", Peer{ListedAt: now.Add(-2 * time.Second)}, 0.5},
	} {
		m := newTestMesh("entry-1")
		c.peer.Node = "entry-2"
		setPeer(t, m, c.peer)
		if got := m.Share(FlagGrants, "key", now); got != c.want {
			t.Errorf("%s: share %v, want %v", c.name, got, c.want)
		}
	}
	m := newTestMesh("entry-1")
	m.registered.Store(false)
	if got := m.Share(FlagGrants, "key", now); got != 0 {
		t.Errorf("an entry that is not registered has a share of %v, want none", got)
	}
}
