package gateway

import (
	"context"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/turnlog"
)

// errNoTurn says that the table has no such turn.
var errNoTurn = errors.New("no such turn")

const (
	// cacheShare is the part of the process's memory for turns at hand.
	cacheShare = 0.12
	// parallelReads bounds the reads for one chain.
	parallelReads = 6
	// keepRetry is the wait after all places have failed.
	keepRetry = 60 * time.Millisecond
	// placeTimeout is how long one place is tried before the next: a slow table's
	// transaction and its wait fit.
	placeTimeout = 600 * time.Millisecond
	// rowMargin in bytes is left free in a row for the head of a chunk.
	rowMargin = 64
)

// turnStore finds and keeps the turnStore of retained routes: in memory, and in the table
// under the turn's own id, so that any entry finds them.
type turnStore struct {
	table   platformapi.Table
	commits *committer
	peers   turnPeers
	expiry  *expiry
	// away reports whether a key of the table surely can't be reached now.
	away func(key string) bool
	// await waits while the table can't be reached by any way.
	await    func(ctx context.Context)
	rowBytes int

	mu    sync.Mutex
	cache *turnlog.Cache
}

// turnPeers finds turns in the memory of other entries.
type turnPeers interface {
	// chainFromPeer returns the turn and those of its chain that the entry of the life has at
	// hand; none when it can't be reached.
	chainFromPeer(ctx context.Context, life, id string) []*turnlog.Turn
	// chainFromAnyPeer returns the same of any entry that has the turn.
	chainFromAnyPeer(ctx context.Context, id string) []*turnlog.Turn
}

func newTurnStore(l *tableClient, c *committer, peers turnPeers, e *expiry, cfg *settings.Gateway) *turnStore {
	return &turnStore{
		table: l, commits: c, peers: peers, expiry: e, away: l.unreachableFor, await: l.waitReachable, rowBytes: cfg.TableRowBytes - rowMargin,
		cache: turnlog.NewCache(int(float64(cfg.MemoryMB) * cacheShare * (1 << 20))),
	}
}

// turnPlaces is the number of parts in which a turn may lie: the first that takes it,
// since at times a third of the parts is away.
const turnPlaces = 3

func turnKey(id string, place, chunk int) string {
	key := "turns/" + partitionOf(strconv.Itoa(place)+id) + "/" + id
	if chunk > 0 {
		key += "~" + strconv.Itoa(chunk)
	}
	return key
}

func (t *turnStore) get(id string) *turnlog.Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cache.Get(id)
}

func (t *turnStore) put(turns ...*turnlog.Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, turn := range turns {
		t.cache.Put(turn)
	}
}

// cachedChain returns the turn and those of its chain that are in memory; none when the turn
// itself is not.
func (t *turnStore) cachedChain(id string) []*turnlog.Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.cache.Get(id)
	if last == nil {
		return nil
	}
	chain := []*turnlog.Turn{last}
	for _, id := range last.Ancestors {
		if turn := t.cache.Get(id); turn != nil {
			chain = append(chain, turn)
		}
	}
	return chain
}

// chain returns the turn with the id and what an upstream is to receive before the
// input of one that continues from it. keptBy is the life of the entry that has the turn
// at hand, if known. reads is the number of turns that no entry was known to have. It
// returns errNoTurn, or an error of the table when it can't tell.
func (t *turnStore) chain(ctx context.Context, id, keptBy string) (last *turnlog.Turn, history []byte, reads int, err error) {
	if last = t.get(id); last == nil && keptBy != "" {
		last = t.take(t.peers.chainFromPeer(ctx, keptBy, id))
	}
	if last == nil {
		reads++
		if last, err = t.fetch(ctx, id); err != nil {
			return nil, nil, reads, err
		}
	}
	history, missing := turnlog.History(last, t.get)
	if len(missing) == 0 {
		return last, history, reads, nil
	}
	reads += len(missing)
	fetched, err := t.fetchAll(ctx, missing)
	if err != nil {
		return nil, nil, reads, err
	}
	history, missing = turnlog.History(last, func(id string) *turnlog.Turn {
		if turn := fetched[id]; turn != nil {
			return turn
		}
		return t.get(id)
	})
	if len(missing) > 0 {
		return nil, nil, reads, errors.Mark(errors.Newf("%d turns of the chain left memory", len(missing)), platformapi.ErrUnavailable)
	}
	return last, history, reads, nil
}

// take puts a chain that another entry had into memory and returns its last turn.
func (t *turnStore) take(chain []*turnlog.Turn) *turnlog.Turn {
	if len(chain) == 0 {
		return nil
	}
	t.put(chain...)
	return chain[0]
}

// fetchAll reads turns that the table must have, since another names them.
func (t *turnStore) fetchAll(ctx context.Context, ids []string) (map[string]*turnlog.Turn, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	found := make([]*turnlog.Turn, len(ids))
	for i, id := range ids {
		group.Go(func() error {
			turn, err := t.fetch(ctx, id)
			if errors.Is(err, errNoTurn) {
				err = errors.Mark(errors.Newf("turn %q of the chain is missing", id), platformapi.ErrUnavailable)
			}
			found[i] = turn
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	byID := make(map[string]*turnlog.Turn, len(ids))
	for _, turn := range found {
		byID[turn.ID] = turn
	}
	return byID, nil
}

// fetch looks for a turn in each of its places. It returns errNoTurn only when all of
// them say so.
func (t *turnStore) fetch(ctx context.Context, id string) (*turnlog.Turn, error) {
	var unread error
	for place := range turnPlaces {
		if t.away(turnKey(id, place, 0)) {
			unread = errors.Wrapf(platformapi.ErrUnavailable, "place %d of the turn", place)
			continue
		}
		turn, err := t.fetchAt(ctx, id, place)
		if err == nil {
			t.put(turn)
			return turn, nil
		}
		if errors.Is(err, turnlog.ErrBadTurn) {
			return nil, err
		}
		if !errors.Is(err, errNoTurn) {
			unread = err
		}
	}
	if unread == nil {
		return nil, errNoTurn
	}
	// Entries that have written or read the turn have it in memory.
	if turn := t.take(t.peers.chainFromAnyPeer(ctx, id)); turn != nil {
		return turn, nil
	}
	return nil, unread
}

func (t *turnStore) fetchAt(ctx context.Context, id string, place int) (*turnlog.Turn, error) {
	row, err := t.table.Get(ctx, turnKey(id, place, 0))
	if errors.Is(err, platformapi.ErrNotFound) {
		return nil, errNoTurn
	}
	if err != nil {
		return nil, err
	}
	chunks, n := binary.Uvarint(row.Value)
	if n <= 0 {
		return nil, errors.Wrapf(turnlog.ErrBadTurn, "%q", id)
	}
	value := row.Value[n:]
	for chunk := 1; chunk < int(chunks); chunk++ {
		more, err := t.table.Get(ctx, turnKey(id, place, chunk))
		if err != nil {
			return nil, errors.Mark(err, platformapi.ErrUnavailable)
		}
		value = append(value, more.Value...)
	}
	return turnlog.Decode(id, value)
}

// keep writes a turn to the table. It returns nil only when the turn will be found
// from now on.
func (t *turnStore) keep(ctx context.Context, turn *turnlog.Turn, retention time.Duration) error {
	value := turn.Encode()
	err := error(nil)
	for round := 0; ctx.Err() == nil; round++ {
		t.await(ctx)
		place := round % turnPlaces
		if err = t.keepAt(ctx, turn.ID, value, place, retention); err == nil {
			t.put(turn)
			return nil
		}
		if place == turnPlaces-1 {
			sleep(ctx, keepRetry)
		}
	}
	return errors.Mark(errors.CombineErrors(err, ctx.Err()), platformapi.ErrUnavailable)
}

// keepAt tries one place for some time.
func (t *turnStore) keepAt(ctx context.Context, id string, value []byte, place int, retention time.Duration) error {
	if t.away(turnKey(id, place, 0)) && place < turnPlaces-1 {
		return platformapi.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	chunks := max(1, (len(value)+t.rowBytes-1)/t.rowBytes)
	writes := make([]platformapi.Write, 0, chunks)
	for chunk := range chunks {
		piece := value[chunk*t.rowBytes : min(len(value), (chunk+1)*t.rowBytes)]
		if chunk == 0 {
			piece = append(binary.AppendUvarint(make([]byte, 0, len(piece)+binary.MaxVarintLen64), uint64(chunks)), piece...)
		}
		writes = append(writes, platformapi.Write{Key: turnKey(id, place, chunk), Value: piece})
	}
	if err := t.commits.apply(ctx, nil, writes); err != nil {
		return err
	}
	for _, w := range writes {
		t.expiry.add(w.Key, retention)
	}
	return nil
}
