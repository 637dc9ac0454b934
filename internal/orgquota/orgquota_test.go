package orgquota

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/quota"
	"github.com/buckthornroute/buckthornroute/routing"
)

// testMesh connects entries in memory.
type testMesh struct {
	self string
	net  *testNet
}

type testNet struct {
	mu      sync.Mutex
	entries map[string]*Quota
	down    map[string]bool
}

func (m *testMesh) Self() string { return m.self }

func (m *testMesh) Ranked(organisation string, n int, ready bool) []string {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	var names []string
	for name := range m.net.entries {
		if name != m.self && !m.net.down[name] || name == m.self && ready {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if routing.Rendezvous(organisation, a) > routing.Rendezvous(organisation, b) {
			return -1
		}
		return 1
	})
	return names[:min(n, len(names))]
}

func (m *testMesh) Peers() []quota.Peer {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	var peers []quota.Peer
	for name := range m.net.entries {
		if name != m.self {
			peers = append(peers, quota.Peer{Name: name, InTouch: !m.net.down[name]})
		}
	}
	return peers
}

func (m *testMesh) Ask(_ context.Context, peer string, _ time.Duration, body []byte) ([]byte, error) {
	m.net.mu.Lock()
	q, down := m.net.entries[peer], m.net.down[peer]
	m.net.mu.Unlock()
	if down {
		return nil, errors.New("no answer")
	}
	answer, ok := q.Handle(body)
	if !ok {
		return nil, errors.New("malformed")
	}
	return answer, nil
}

// TestQuotaOverEntries guards against entries that each grant the whole limit, and against refusals without a log line.
func TestQuotaOverEntries(t *testing.T) {
	net := &testNet{entries: map[string]*Quota{}, down: map[string]bool{}}
	var out bytes.Buffer
	log := reqlog.New(&out, "entry")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	limit := quota.Limit{Organisation: "org", PerSecond: 20, Burst: 20}
	var entries []*Quota
	for i, name := range []string{"a", "b", "c"} {
		q := New(&testMesh{name, net}, name+"/1", uint64(i+1)<<32, log, tally.NoopScope)
		q.SetLimits(1, []quota.Limit{limit})
		net.mu.Lock()
		net.entries[name] = q
		net.mu.Unlock()
		entries = append(entries, q)
	}
	for _, q := range entries {
		go q.Run(ctx)
	}
	time.Sleep(quota.Settle + quota.Handover + 2*time.Second) // a new grantor says for 1.5 s that it can't tell
	if d := entries[0].Take(ctx, "free", false, ""); d.Outcome != quota.Unlimited {
		t.Errorf("an organisation without a limit: %v", d.Outcome)
	}
	outcomes := map[quota.Outcome]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d := entries[i%3].Take(ctx, "org", false, "p")
			mu.Lock()
			outcomes[d.Outcome]++
			mu.Unlock()
			if d.Outcome == quota.Granted && !d.Grant.Valid(time.Now()) {
				t.Error("a token has expired")
			}
			if d.Outcome == quota.OverLimit && d.Retry <= 0 {
				t.Error("no time to retry at")
			}
		}()
	}
	wg.Wait()
	t.Log(outcomes)
	if outcomes[quota.OverLimit] == 0 {
		t.Error("nothing refused as over the limit")
	}
	if n := outcomes[quota.Granted]; n < 15 || float64(n) > limit.Bound()-limit.PerSecond*quota.Window.Seconds() {
		t.Errorf("%d granted at once", n)
	}
	log.Flush()
	if !strings.Contains(out.String(), `"quota_refused"`) || !strings.Contains(out.String(), `"organisation":"org"`) {
		t.Error("no line for a refusal")
	}
}

// TestMalformedMessages guards against a panic or an allocation by datagrams cut short.
func TestMalformedMessages(t *testing.T) {
	q := quota.Question{Organisation: "org", From: "a/1", Seq: 1 << 40, Epoch: 7, Used: 9, Held: 2, Want: 3, NewProgram: true, Ahead: true, PerProgram: 11.5}
	b := appendQuestion(nil, q)
	if got, ok := decodeQuestion(b); !ok || got != q {
		t.Errorf("%+v became %+v", q, got)
	}
	a := quota.Answer{Seq: 3, Outcome: quota.Granted, Epoch: 8, Count: 5, Retry: time.Second, AskPrograms: true, PerProgram: 4, UsedPerSecond: 12.5}
	c := appendAnswer(nil, a)
	if got, ok := decodeAnswer(c); !ok || got != a {
		t.Errorf("%+v became %+v", a, got)
	}
	for i := range b {
		if _, ok := decodeQuestion(b[:i]); ok {
			t.Errorf("a question of %d of %d bytes was read", i, len(b))
		}
	}
	for i := range c {
		if _, ok := decodeAnswer(c[:i]); ok {
			t.Errorf("an answer of %d of %d bytes was read", i, len(c))
		}
	}
}

// BenchmarkTakeWithoutLimit measures what organisations without a limit pay.
func BenchmarkTakeWithoutLimit(b *testing.B) {
	q := New(&testMesh{"a", &testNet{}}, "a/1", 1, reqlog.New(&bytes.Buffer{}, "a"), tally.NoopScope)
	for b.Loop() {
		q.Take(context.Background(), "free", false, "")
	}
}
