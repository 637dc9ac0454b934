package gateway

import (
	"context"
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	table "github.com/buckthornroute/buckthornroute/internal/platform"
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
	// rowMargin in bytes is left free in a row for the head of a chunk.
	rowMargin = 64
)

// turns finds and keeps the turns of retained routes: in memory, and in the table
// under the turn's own id, so that any entry finds them.
type turns struct {
	table    table.Table
	commits  *committer
	peers    turnPeers
	rowBytes int

	mu    sync.Mutex
	cache *turnlog.Cache
}

// turnPeers finds turns in the memory of other entries.
type turnPeers interface {
	// turnAt returns the turn from any entry that has it at hand, or nil.
	turnAt(ctx context.Context, id string) *turnlog.Turn
}

func newTurns(t table.Table, c *committer, peers turnPeers, cfg *settings.Gateway) *turns {
	return &turns{
		table: t, commits: c, peers: peers, rowBytes: cfg.TableRowBytes - rowMargin,
		cache: turnlog.NewCache(int(float64(cfg.MemoryMB) * cacheShare * (1 << 20))),
	}
}

func turnKey(id string, chunk int) string {
	key := "turns/" + partOf(id) + "/" + id
	if chunk > 0 {
		key += "~" + strconv.Itoa(chunk)
	}
	return key
}

func (t *turns) get(id string) *turnlog.Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cache.Get(id)
}

func (t *turns) put(turn *turnlog.Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache.Put(turn)
}

// chain returns the turn with the id and what an upstream is to receive before the
// input of one that continues from it. reads is the number of turns that were not at
// hand. It returns errNoTurn, or an error of the table when it can't tell.
func (t *turns) chain(ctx context.Context, id string) (last *turnlog.Turn, history []byte, reads int, err error) {
	if last = t.get(id); last == nil {
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
		return nil, nil, reads, errors.Mark(errors.Newf("%d turns of the chain left memory", len(missing)), table.ErrUnavailable)
	}
	return last, history, reads, nil
}

// fetchAll reads turns that the table must have, since another names them.
func (t *turns) fetchAll(ctx context.Context, ids []string) (map[string]*turnlog.Turn, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	found := make([]*turnlog.Turn, len(ids))
	for i, id := range ids {
		group.Go(func() error {
			turn, err := t.fetch(ctx, id)
			if errors.Is(err, errNoTurn) {
				err = errors.Mark(errors.Newf("turn %q of the chain is missing", id), table.ErrUnavailable)
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

func (t *turns) fetch(ctx context.Context, id string) (*turnlog.Turn, error) {
	row, err := t.table.Get(ctx, turnKey(id, 0))
	if errors.Is(err, table.ErrNotFound) {
		return nil, errNoTurn
	}
	if failed(err) {
		// Entries that have written or read the turn have it in memory.
		if turn := t.peers.turnAt(ctx, id); turn != nil {
			t.put(turn)
			return turn, nil
		}
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
		more, err := t.table.Get(ctx, turnKey(id, chunk))
		if err != nil {
			return nil, err
		}
		value = append(value, more.Value...)
	}
	turn, err := turnlog.Decode(id, value)
	if err != nil {
		return nil, err
	}
	t.put(turn)
	return turn, nil
}

// keep writes a turn to the table. It returns nil only when the turn will be found
// from now on.
func (t *turns) keep(ctx context.Context, turn *turnlog.Turn) error {
	value := turn.Encode()
	chunks := max(1, (len(value)+t.rowBytes-1)/t.rowBytes)
	writes := make([]table.Write, 0, chunks)
	for chunk := range chunks {
		piece := value[chunk*t.rowBytes : min(len(value), (chunk+1)*t.rowBytes)]
		if chunk == 0 {
			piece = append(binary.AppendUvarint(make([]byte, 0, len(piece)+binary.MaxVarintLen64), uint64(chunks)), piece...)
		}
		writes = append(writes, table.Write{Key: turnKey(turn.ID, chunk), Value: piece})
	}
	if err := t.commits.apply(ctx, nil, writes); err != nil {
		return err
	}
	t.put(turn)
	return nil
}
