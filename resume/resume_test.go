package resume

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestOriginsAtRandom: whatever is recorded in whatever order, a stream is never found at another
// version than the only one that it was recorded with, and is found for Retention.
func TestOriginsAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, now := NewOrigins(), start
		type truth struct {
			versions map[string]bool
			last     time.Time
			doubted  bool
			// old is set once an earlier record of the stream may be forgotten or not.
			old bool
		}
		streams := map[Key]*truth{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			key := Key(rapid.IntRange(0, 20).Draw(t, "key"))
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				version := fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "version"))
				if s := streams[key]; s == nil || now.Sub(s.last) >= Retention {
					streams[key] = &truth{versions: map[string]bool{}, old: s != nil}
				}
				streams[key].versions[version] = true
				streams[key].last = now
				o.Record(now, key, Origin{"s", version, uint64(key) % 3})
			case 2:
				upstream := uint64(rapid.IntRange(0, 2).Draw(t, "upstream"))
				since := now.Add(-time.Second)
				o.Doubt(upstream, "v1", since)
				for k, s := range streams {
					if uint64(k)%3 == upstream && !s.last.Before(since) && (len(s.versions) > 1 || !s.versions["v1"]) {
						s.doubted = true
					}
				}
			default:
				got, age, known := o.Find(now, key)
				s := streams[key]
				switch {
				case s == nil && known:
					t.Fatalf("stream %d is known, but was never recorded", key)
				case s == nil:
				case known && (s.doubted || len(s.versions) != 1 || !s.versions[got.Version] || age != now.Sub(s.last)):
					t.Fatalf("stream %d began at %+v, found %+v of age %v", key, s, got, age)
				case !known && !s.old && !s.doubted && len(s.versions) == 1 && now.Sub(s.last) < Retention:
					t.Fatalf("stream %d is not known %v after it was recorded", key, now.Sub(s.last))
				}
			}
		}
	})
}

// TestOriginsAreBounded: a flood of streams must not take memory without bound, and the newest of them
// must be kept.
func TestOriginsAreBounded(t *testing.T) {
	o := NewOrigins()
	for i := range 3 * maxOrigins {
		o.Record(start, Key(i), Origin{"s", "v1", 1})
	}
	if n := len(o.recent) + len(o.older); n > maxOrigins {
		t.Errorf("%d streams are remembered, want at most %d", n, maxOrigins)
	}
	if _, _, known := o.Find(start, Key(3*maxOrigins-1)); !known {
		t.Error("the newest stream is forgotten")
	}
}
