package committer

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/buckthornroute/buckthornroute/internal/platform"
)

// fakePlatform is a table and an object store in memory.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	// down makes every request fail before it takes effect; loseAnswers lets the next
	// writes take effect and loses their answers.
	down        bool
	loseAnswers int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: make(map[string]platform.Row), objects: make(map[string][]byte)}
}

func (f *fakePlatform) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakePlatform) Apply(_ context.Context, txn platform.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrUnavailable
	}
	for _, c := range txn.Conditions {
		if c.Version != platform.AnyVersion && f.rows[c.Key].Version != c.Version {
			return platform.ErrConditionFailed
		}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.rows[w.Key].Version + 1}
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return platform.ErrUnavailable
	}
	return nil
}

func (f *fakePlatform) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	switch {
	case f.down:
		return platform.Row{}, platform.ErrUnavailable
	case !ok:
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakePlatform) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), limit)], nil
}

// fakeObjects is the object store of a fakePlatform.
type fakeObjects struct{ *fakePlatform }

func (f fakeObjects) Put(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrUnavailable
	}
	f.objects[key] = value
	return nil
}

func (f fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	value, ok := f.objects[key]
	switch {
	case f.down:
		return nil, platform.ErrUnavailable
	case !ok:
		return nil, platform.ErrNotFound
	}
	return value, nil
}

func (f fakeObjects) Delete(_ context.Context, key string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrUnavailable
	}
	delete(f.objects, key)
	return nil
}
