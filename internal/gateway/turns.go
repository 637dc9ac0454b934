package gateway

import (
	"context"
	"encoding/binary"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/tablerelay"
	"github.com/buckthornroute/buckthornroute/ledger"
	"github.com/buckthornroute/buckthornroute/turnlog"
)

// errTurnNotFound is returned when the table has no turn with the id.
var errTurnNotFound = errors.New("no such turn")

const (
	// cacheShare is the share of the process's memory that the cache of turns may use.
	cacheShare = 0.12
	// parallelReads bounds the concurrent reads of one chain's turns.
	parallelReads = 6
	// storeRetryWait is the wait after a write has failed at every location.
	storeRetryWait = 60 * time.Millisecond
	// locationTimeout bounds the write to one location before the next is tried. It covers
	// a transaction of a slow table and the wait before it.
	locationTimeout = 600 * time.Millisecond
	// rowHeadroom is the number of bytes of a row that stay free for the header of a chunk.
	rowHeadroom = 64
)

// turnStore reads and stores the turns of retained routes, the routes whose turns a later
// turn can continue from. Turns are cached in memory and stored durably in the table under
// their own ids, so that any entry can read them. The chain of a turn is the turn, followed by
// its ancestors, the earlier turns that it continues from.
type turnStore struct {
	table   platformapi.Table
	commits *committer
	peers   turnPeers
	expiry  *expiry
	// unreachable reports whether a key's partition is known to be unreachable now.
	unreachable func(key string) bool
	// awaitTable waits while the table can be reached neither directly nor through
	// another entry.
	awaitTable func(ctx context.Context)
	rowBytes   int

	mu    sync.Mutex
	cache *turnlog.Cache
}

// turnPeers reads turns from the memory of other entries.
type turnPeers interface {
	// chainFromPeer returns the turn, followed by those of its ancestors that the entry
	// with the incarnation has in memory. It returns none when that entry can't be reached
	// or does not have the turn.
	chainFromPeer(ctx context.Context, incarnation, id string) []*turnlog.Turn
	// chainFromAnyPeer asks all entries and returns the same from one that has the turn.
	chainFromAnyPeer(ctx context.Context, id string) []*turnlog.Turn
}

func newTurnStore(client *tablerelay.Client, c *committer, peers turnPeers, e *expiry, cfg *settings.Gateway) *turnStore {
	return &turnStore{
		table: client, commits: c, peers: peers, expiry: e, unreachable: client.UnreachableFor, awaitTable: client.WaitReachable, rowBytes: cfg.TableRowBytes - rowHeadroom,
		cache: turnlog.NewCache(int(float64(cfg.MemoryMB) * cacheShare * (1 << 20))),
	}
}

// turnLocations is the number of partitions in which a turn may be stored. Each is a location
// of the turn, numbered from 0. The turn is stored in the first that accepts it, since at times a
// third of the partitions is unreachable.
const turnLocations = 3

// turnKey returns the key of a chunk of a turn at a location.
func turnKey(id string, location, chunk int) string {
	key := "turns/" + partitionOf(strconv.Itoa(location)+id) + "/" + id
	if chunk > 0 {
		key += "~" + strconv.Itoa(chunk)
	}
	return key
}

// usageKey returns the key of the row that tells how many tokens the caller of a stored turn
// received. It is in the partition of the turn's location.
func usageKey(id string, location int) string {
	return "usage/" + partitionOf(strconv.Itoa(location)+id) + "/" + id
}

// cached returns the turn from memory, or nil.
func (t *turnStore) cached(id string) *turnlog.Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cache.Get(id)
}

// addToCache adds turns to the cache.
func (t *turnStore) addToCache(turns ...*turnlog.Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, turn := range turns {
		t.cache.Put(turn)
	}
}

// cachedChain returns the turn, followed by those of its ancestors that are in memory. It
// returns none when the turn itself is not in memory.
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

// readChain returns the turn with the id, and the history that an upstream receives before
// the input of a turn that continues from it. storedBy is the incarnation of the entry that
// stored the turn, if known; that entry is asked first. reads counts the turns that were
// neither in memory here nor received from that entry. The error is errTurnNotFound,
// turnlog.ErrBadTurn, or an error of the table when the turn can't be read.
func (t *turnStore) readChain(ctx context.Context, id, storedBy string) (last *turnlog.Turn, history []byte, reads int, err error) {
	if last = t.cached(id); last == nil && storedBy != "" {
		last = t.cacheChain(t.peers.chainFromPeer(ctx, storedBy, id))
	}
	if last == nil {
		reads++
		if last, err = t.read(ctx, id); err != nil {
			return nil, nil, reads, err
		}
	}
	history, missing := turnlog.History(last, t.cached)
	if len(missing) == 0 {
		return last, history, reads, nil
	}
	reads += len(missing)
	fetched, err := t.readAll(ctx, missing)
	if err != nil {
		return nil, nil, reads, err
	}
	// The turns read just now are used even if the cache has evicted them again.
	history, missing = turnlog.History(last, func(id string) *turnlog.Turn {
		if turn := fetched[id]; turn != nil {
			return turn
		}
		return t.cached(id)
	})
	if len(missing) > 0 {
		return nil, nil, reads, errors.Mark(errors.Newf("%d turns of the chain were evicted from the cache while it was read", len(missing)), platformapi.ErrUnavailable)
	}
	return last, history, reads, nil
}

// cacheChain caches a chain received from another entry and returns its first turn, the one
// asked for.
func (t *turnStore) cacheChain(chain []*turnlog.Turn) *turnlog.Turn {
	if len(chain) == 0 {
		return nil
	}
	t.addToCache(chain...)
	return chain[0]
}

// readAll reads turns that must exist, since they are ancestors of a stored turn.
func (t *turnStore) readAll(ctx context.Context, ids []string) (map[string]*turnlog.Turn, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	found := make([]*turnlog.Turn, len(ids))
	for i, id := range ids {
		group.Go(func() error {
			turn, err := t.read(ctx, id)
			if errors.Is(err, errTurnNotFound) {
				err = errors.Mark(errors.Newf("turn %q of the chain is not in the table", id), platformapi.ErrUnavailable)
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

// read looks for a turn at each of its locations. It returns errTurnNotFound only when
// every location could be read and none has the turn.
func (t *turnStore) read(ctx context.Context, id string) (*turnlog.Turn, error) {
	var readErr error
	for location := range turnLocations {
		if t.unreachable(turnKey(id, location, 0)) {
			readErr = errors.Wrapf(platformapi.ErrUnavailable, "location %d of turn %q", location, id)
			continue
		}
		turn, err := t.readAt(ctx, id, location)
		if err == nil {
			t.addToCache(turn)
			return turn, nil
		}
		if errors.Is(err, turnlog.ErrBadTurn) {
			return nil, err
		}
		if !errors.Is(err, errTurnNotFound) {
			readErr = err
		}
	}
	if readErr == nil {
		return nil, errTurnNotFound
	}
	// Entries that have stored or read the turn may still have it in memory.
	if turn := t.cacheChain(t.peers.chainFromAnyPeer(ctx, id)); turn != nil {
		return turn, nil
	}
	return nil, readErr
}

// readAt reads a turn from one location. The error is errTurnNotFound when it is not there.
func (t *turnStore) readAt(ctx context.Context, id string, location int) (*turnlog.Turn, error) {
	row, err := t.table.Get(ctx, turnKey(id, location, 0))
	if errors.Is(err, platformapi.ErrNotFound) {
		return nil, errTurnNotFound
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
		more, err := t.table.Get(ctx, turnKey(id, location, chunk))
		if err != nil {
			return nil, errors.Mark(err, platformapi.ErrUnavailable)
		}
		value = append(value, more.Value...)
	}
	return turnlog.Decode(id, value)
}

// standInMark follows the number of tokens in a usage row if they were reserved in place of the owner.
const standInMark = "+"

// usage returns how many tokens the caller of the stored turn with the id received. stored is
// false when the table has no such turn at any of its locations.
func (t *turnStore) usage(ctx context.Context, id string) (used ledger.Usage, stored bool, err error) {
	for location := range turnLocations {
		row, err := t.table.Get(ctx, usageKey(id, location))
		if errors.Is(err, platformapi.ErrNotFound) {
			continue
		}
		if err != nil {
			return ledger.Usage{}, false, errors.Wrapf(err, "usage of turn %q at location %d", id, location)
		}
		text, standIn := strings.CutSuffix(string(row.Value), standInMark)
		tokens, err := strconv.Atoi(text)
		if err != nil || tokens < 0 || tokens > ledger.MaxTokens {
			return ledger.Usage{}, false, errors.Wrapf(turnlog.ErrBadTurn, "usage of turn %q: %.100q", id, row.Value)
		}
		return ledger.Usage{Tokens: tokens, StandIn: standIn}, true, nil
	}
	return ledger.Usage{}, false, nil
}

// encodeUsage returns the value of a usage row.
func encodeUsage(u ledger.Usage) []byte {
	b := strconv.AppendInt(nil, int64(u.Tokens), 10)
	if u.StandIn {
		b = append(b, standInMark...)
	}
	return b
}

// store writes a turn to the table, with the tokens that its caller received if they count towards a
// budget; else used is nil. It returns nil only when the turn is stored durably, so
// that any entry can read it from now on. It retries until ctx ends. The error is then marked as
// platformapi.ErrUnavailable, and the turn may have been stored all the same.
func (t *turnStore) store(ctx context.Context, turn *turnlog.Turn, used *ledger.Usage, retention time.Duration) error {
	value := turn.Encode()
	err := error(nil)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		t.awaitTable(ctx)
		location := attempt % turnLocations
		if err = t.storeAt(ctx, turn.ID, value, used, location, retention); err == nil {
			t.addToCache(turn)
			return nil
		}
		if location == turnLocations-1 {
			sleep(ctx, storeRetryWait)
		}
	}
	return errors.Mark(errors.CombineErrors(err, ctx.Err()), platformapi.ErrUnavailable)
}

// storeAt writes a turn to one location, within locationTimeout. A location known to be
// unreachable is skipped, except the last.
func (t *turnStore) storeAt(ctx context.Context, id string, value []byte, used *ledger.Usage, location int, retention time.Duration) error {
	if t.unreachable(turnKey(id, location, 0)) && location < turnLocations-1 {
		return platformapi.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, locationTimeout)
	defer cancel()
	chunks := max(1, (len(value)+t.rowBytes-1)/t.rowBytes)
	writes := make([]platformapi.Write, 0, chunks)
	for chunk := range chunks {
		piece := value[chunk*t.rowBytes : min(len(value), (chunk+1)*t.rowBytes)]
		if chunk == 0 {
			piece = append(binary.AppendUvarint(make([]byte, 0, len(piece)+binary.MaxVarintLen64), uint64(chunks)), piece...)
		}
		writes = append(writes, platformapi.Write{Key: turnKey(id, location, chunk), Value: piece})
	}
	if used != nil {
		writes = append(writes, platformapi.Write{Key: usageKey(id, location), Value: encodeUsage(*used)})
	}
	if err := t.commits.apply(ctx, nil, writes); err != nil {
		return err
	}
	for _, w := range writes {
		t.expiry.add(w.Key, retention)
	}
	return nil
}
