package gateway

import (
	"context"
	"encoding/binary"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/tablerelay"
	"github.com/buckthornroute/buckthornroute/relay"
)

const (
	// documentFetchTimeout is the timeout of a request for a peer's document. An entry of 0.11 cores
	// encodes and decodes the row of 13,000 organisations in it; a new version that is
	// announced by a peer which then freezes still arrives through another one within 3 s.
	documentFetchTimeout = 700 * time.Millisecond
	// documentRetryDelay is how long a peer is not asked again after it gave nothing usable.
	documentRetryDelay = 300 * time.Millisecond
	// maxConfirmWait is how long a request with an unknown key or route waits for a peer to confirm
	// the document: several times a round trip between entries.
	maxConfirmWait = 300 * time.Millisecond
	// documentFromTable stands for the table in log lines on where a document came from.
	documentFromTable = "table"
)

// heldDocument is the document in force, as the table has it.
type heldDocument struct {
	version uint64
	row     platformapi.Row
}

// documentCall asks a peer for its document if it is newer than Have, and for its age.
type documentCall struct {
	Have uint64 `json:"have"`
}

// documentAnswer tells the version of a peer's document, 0 for none, and how long ago it was confirmed
// to be the newest; Age is negative if it never was. Row is set if the version is newer than asked. It
// holds the keys of organisations, so no part of an answer is logged.
type documentAnswer struct {
	Version uint64           `json:"version"`
	Age     time.Duration    `json:"age"`
	Row     *platformapi.Row `json:"row,omitempty"`
}

// documentSync has entries that the table does not answer receive new documents from the others.
// Digests announce versions. It asks one peer at a time.
type documentSync struct {
	g *Gateway
	// held is the document in force; nil before the first. It is replaced after routes.
	held atomic.Pointer[heldDocument]
	// mayApply is closed when the first document may be applied.
	mayApply chan struct{}
	// wake receives a value when a peer has announced a newer version or a confirmation is wanted.
	wake chan struct{}

	mu sync.Mutex
	// versions are the versions that peers announced last, by the peers' names.
	versions map[string]uint64
	// avoidUntil is until when a peer is not asked.
	avoidUntil map[string]time.Time
	// malformed is the newest announced version that this build can't decode. It is not fetched again.
	malformed uint64
	// confirming is closed when the confirmation that requests wait for was tried; nil if none do.
	confirming chan struct{}
	// noConfirmUntil is until when requests do not wait, since no peer could confirm the document.
	noConfirmUntil time.Time
}

func newDocumentSync(g *Gateway) *documentSync {
	return &documentSync{
		g: g, mayApply: make(chan struct{}), wake: make(chan struct{}, 1),
		versions: map[string]uint64{}, avoidUntil: map[string]time.Time{},
	}
}

// version returns the version of the document in force; 0 before the first.
func (s *documentSync) version() uint64 {
	if held := s.held.Load(); held != nil {
		return held.version
	}
	return 0
}

// maxDocumentItem is the part of a digest in bytes that is kept free for the version of the document.
const maxDocumentItem = 11

// join registers the version of the document as a field of digests, and the message that asks for the
// document.
func (s *documentSync) join() {
	s.g.mesh.AddField(mesh.Field{
		Kind: 'd', Reserve: maxDocumentItem,
		Append: func(b []byte, room int) []byte {
			version := s.version()
			if version == 0 || room < maxDocumentItem {
				return b
			}
			return binary.AppendUvarint(append(b, 'd'), version)
		},
		Apply: func(from string, r *mesh.Reader) {
			if version := r.Uvarint(); !r.Malformed() && version > 0 {
				s.announced(from, version)
			}
		},
	})
	s.g.mesh.HandleMessage(documentPath, s.serve)
}

// documentPath is the path of the message that asks for a peer's document.
const documentPath = "/document"

// announced records the version that a digest of a peer announces.
func (s *documentSync) announced(peer string, version uint64) {
	s.mu.Lock()
	s.versions[peer] = version
	s.mu.Unlock()
	if version > s.version() {
		s.wakeUp()
	}
}

func (s *documentSync) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// documentPeer is a peer that may be asked for its document.
type documentPeer struct {
	name, address string
	// version is the one that it announced last.
	version        uint64
	tableReachable bool
	lastDigest     time.Time
}

// newerThan chooses the peer to fetch a newer document from: one with the newest version, of these the
// one with the latest digest. It answers entries that freeze together after they announced a version:
// only the first of them costs a timeout.
func newerThan(own, malformed uint64, peers []documentPeer) (best documentPeer, found bool) {
	for _, p := range peers {
		if p.version <= own || p.version == malformed {
			continue
		}
		if !found || p.version > best.version || p.version == best.version && p.lastDigest.After(best.lastDigest) {
			best, found = p, true
		}
	}
	return best, found
}

// bestConfirmer chooses the peer to ask for the age of its document: one that reaches the table, of
// these the one with the latest digest. It answers unknown keys at an entry that the table and its
// relays have stopped answering.
func bestConfirmer(peers []documentPeer) (best documentPeer, found bool) {
	for _, p := range peers {
		if !found || p.tableReachable && !best.tableReachable || p.tableReachable == best.tableReachable && p.lastDigest.After(best.lastDigest) {
			best, found = p, true
		}
	}
	return best, found
}

// candidates returns the responsive peers that have announced a document and may be asked now.
func (s *documentSync) candidates() []documentPeer {
	now := time.Now()
	listed := map[string]*mesh.Peer{}
	for _, p := range s.g.mesh.Peers(func(*mesh.Peer) bool { return true }) {
		listed[p.Node] = p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []documentPeer
	for name, version := range s.versions {
		p := listed[name]
		if p == nil {
			delete(s.versions, name)
			delete(s.avoidUntil, name)
			continue
		}
		if s.g.mesh.Responsive(p, now) && !now.Before(s.avoidUntil[name]) {
			out = append(out, documentPeer{name, p.HTTPAddress, version, p.Has(mesh.FlagTableReachable), p.LastDigest})
		}
	}
	return out
}

// run fetches newer documents and wanted confirmations from peers until ctx ends.
func (s *documentSync) run(ctx context.Context) {
	select {
	case <-s.mayApply:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.fetchNewer(ctx)
		s.fetchConfirmation(ctx)
	}
}

// fetchNewer fetches documents while a peer that may be asked has announced a newer one.
func (s *documentSync) fetchNewer(ctx context.Context) {
	for ctx.Err() == nil {
		s.g.documentMu.Lock() // a version that is being applied is not fetched
		own := s.version()
		s.g.documentMu.Unlock()
		s.mu.Lock()
		malformed := s.malformed
		s.mu.Unlock()
		p, found := newerThan(own, malformed, s.candidates())
		if !found {
			return
		}
		if s.fetch(ctx, p); s.version() <= own {
			s.avoid(p.name)
		}
	}
}

// fetchConfirmation asks peers for the age of their document, if requests wait for that.
func (s *documentSync) fetchConfirmation(ctx context.Context) {
	s.mu.Lock()
	waiting := s.confirming
	s.mu.Unlock()
	if waiting == nil {
		return
	}
	for range tablerelay.MaxPeerAttempts {
		p, found := bestConfirmer(s.candidates())
		if s.g.documentAge() <= maxDocumentAge || !found {
			break
		}
		if s.fetch(ctx, p); s.g.documentAge() > maxDocumentAge {
			s.avoid(p.name)
		}
	}
	s.mu.Lock()
	s.confirming, s.noConfirmUntil = nil, time.Now()
	if s.g.documentAge() > maxDocumentAge {
		s.noConfirmUntil = time.Now().Add(documentRetryDelay)
	}
	s.mu.Unlock()
	close(waiting)
}

// avoid has a peer not asked for documentRetryDelay.
func (s *documentSync) avoid(peer string) {
	s.mu.Lock()
	s.avoidUntil[peer] = time.Now().Add(documentRetryDelay)
	s.mu.Unlock()
}

// fetch asks a peer for its document and the age of its confirmation, and applies both.
func (s *documentSync) fetch(ctx context.Context, p documentPeer) {
	have, begun := s.version(), time.Now()
	s.g.metrics.documentFetches.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, documentFetchTimeout)
	defer cancel()
	var a documentAnswer
	if err := s.g.mesh.Post(ctx, p.address, documentPath, documentCall{Have: have}, &a); err != nil {
		s.failed(p, have, err)
		return
	}
	if a.Row != nil && !s.g.applyDocument(*a.Row, p.name) {
		s.mu.Lock()
		s.malformed = p.version
		s.mu.Unlock()
		s.failed(p, have, errors.New("malformed document"))
		return
	}
	// The peer's answer is made after begun. If it knows of no newer document than one of this
	// version or an older one, then there was none at begun less the age.
	if a.Age >= 0 && a.Age <= maxDocumentAge && a.Version > 0 && a.Version <= s.version() {
		s.g.confirmDocument(begun.Add(-a.Age))
	}
}

// failed logs and counts a request to a peer that gave nothing usable.
func (s *documentSync) failed(p documentPeer, have uint64, cause error) {
	s.g.metrics.documentFetchesFailed.Inc(1)
	s.g.env.Requests.Info("document_not_fetched").Str("peer", p.name).Int("announced", int64(p.version)).Int("have", int64(have)).Err(cause).End()
}

// serve answers a peer with the document of this entry and the age of its confirmation. The age is
// read first, so that it holds for the document.
func (s *documentSync) serve(w http.ResponseWriter, r *http.Request) {
	var call documentCall
	if !s.g.mesh.ReadMessage(w, r, &call) {
		return
	}
	answer := documentAnswer{Age: s.g.documentAge()}
	if answer.Age == never {
		answer.Age = -1
	}
	if held := s.held.Load(); held != nil {
		answer.Version = held.version
		if held.version > call.Have {
			answer.Row = &held.row
		}
	}
	s.g.mesh.WriteAnswer(w, r, answer)
}

// confirm has a peer asked for the age of its document, and waits for that until ctx ends, at most
// maxConfirmWait. All requests that need it share one question. They do not wait while no peer can
// confirm the document, so that unknown keys are answered at once in an outage.
func (s *documentSync) confirm(ctx context.Context) {
	s.mu.Lock()
	if s.confirming == nil {
		if time.Now().Before(s.noConfirmUntil) {
			s.mu.Unlock()
			return
		}
		s.confirming = make(chan struct{})
	}
	done := s.confirming
	s.mu.Unlock()
	s.wakeUp()
	timer := time.NewTimer(maxConfirmWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// confirmDocument records that no document newer than the one in force existed at a time.
func (g *Gateway) confirmDocument(at time.Time) {
	for {
		old := g.documentConfirmedAt.Load()
		if old != nil && !at.After(*old) || g.documentConfirmedAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// confirmedAge returns how long ago a document was confirmed to be the newest, and asks a peer first if
// that is longer than maxDocumentAge. superseded reports that another one is in force now.
func (g *Gateway) confirmedAge(ctx context.Context, t *relay.RouteTable) (age time.Duration, superseded bool) {
	if age = g.documentAge(); age > maxDocumentAge {
		g.documents.confirm(ctx)
		age = g.documentAge()
	}
	return age, g.routes.Load() != t
}

// documentAge returns the time since the document was last confirmed to be the newest, on the steady
// clock.
func (g *Gateway) documentAge() time.Duration {
	if at := g.documentConfirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return never
}

// never is the age of a document that was never confirmed.
const never = time.Duration(math.MaxInt64)
