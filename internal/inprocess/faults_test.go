package inprocess

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/entry"
	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
)

// callAsOperator sends a request with the operator's token to an entry.
func callAsOperator(t *testing.T, s *System, entry int, method, path string, body, out any) {
	t.Helper()
	c := Client{URL: s.Entries[entry].URL, Token: OperatorToken}
	if err := c.Do(context.Background(), method, path, "", body, out); err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
}

// eventually waits until condition returns true. It has no limit of its own: if that never
// happens, the timeout of go test ends the test.
func eventually(condition func() bool) {
	for !condition() {
		<-time.After(5 * time.Millisecond)
	}
}

// engineCalls returns the number of calls that a model engine has received.
func engineCalls(s *System, model int) uint64 { return s.StandIns.Models[model].Stats().Calls }

// runTurns runs n concurrent programs of one turn each and reports their errors. Each program
// is opened at one entry and sends its turn to the next.
func runTurns(t *testing.T, client func(int) Client, n int, content string) {
	t.Helper()
	var turns sync.WaitGroup
	for i := range n {
		turns.Go(func() {
			id, err := client(i%3).Open(context.Background(), httpapi.OpenRequest{Kind: "question", Model: "portal-chat"}, "")
			if err == nil {
				_, err = client((i+1)%3).Turn(context.Background(), id, 1, "k", content)
			}
			if err != nil {
				t.Errorf("program %d: %v", i, err)
			}
		})
	}
	turns.Wait()
}

// TestDrainedVMGetsNoNewWork guards against an entry that still sends work to a drained VM
// because another entry received the drain order, and a VM that gets no work after undrain.
func TestDrainedVMGetsNoNewWork(t *testing.T) {
	s, client := startSample(t)
	callAsOperator(t, s, 1, http.MethodPost, "/operator/vms/vm-taichung-model-1/drain", nil, nil)
	before := engineCalls(s, 0)
	runTurns(t, client, 24, "hello\nplan: answer 4")
	if after := engineCalls(s, 0); after != before {
		t.Fatalf("the drained engine received %d calls, want none", after-before)
	}
	callAsOperator(t, s, 2, http.MethodPost, "/operator/vms/vm-taichung-model-1/undrain", nil, nil)
	eventually(func() bool {
		runTurns(t, client, 6, "hello again\nplan: answer 4")
		return engineCalls(s, 0) > before
	})
}

// TestSwitchIsInForceEverywhere guards against entries that disagree after two operators
// switch the preset at the same time. The accepted switch with the highest version must be
// in force at every entry, and a switch that expects an older version must be refused.
func TestSwitchIsInForceEverywhere(t *testing.T) {
	s, _ := startSample(t)
	var switches sync.WaitGroup
	accepted := make([]structs.PresetInForce, 2)
	for i, name := range []string{"peak", "maintenance"} {
		switches.Go(func() {
			callAsOperator(t, s, i, http.MethodPost, "/operator/presets/"+name+"/switch", httpapi.SwitchRequest{}, &accepted[i])
		})
	}
	switches.Wait()
	last := accepted[0]
	if accepted[1].Version > last.Version {
		last = accepted[1]
	}
	if accepted[0].Version == accepted[1].Version {
		t.Fatalf("two accepted switches have the same version %d", last.Version)
	}
	eventually(func() bool {
		for i := range s.Entries {
			var inForce structs.PresetInForce
			callAsOperator(t, s, i, http.MethodGet, "/operator/preset", nil, &inForce)
			if inForce.Version > last.Version {
				t.Fatalf("version %d is in force, the highest accepted is %d", inForce.Version, last.Version)
			}
			if inForce.Version != last.Version || inForce.Preset.Name != last.Preset.Name {
				return false
			}
		}
		return true
	})
	c := Client{URL: s.Entries[0].URL, Token: OperatorToken}
	err := c.Do(context.Background(), http.MethodPost, "/operator/presets/ordinary/switch", "",
		httpapi.SwitchRequest{ExpectedVersion: last.Version - 1}, nil)
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Code != structs.CodeConflict || r.Outcome != structs.OutcomeNotRun {
		t.Fatalf("a switch that expects an old version: %v, want a conflict and not run", err)
	}
}

// TestCrashingRequestIsQuarantined guards against a request that crashes one engine after
// another. It may crash 2 engines at most; then every entry must refuse it, also with
// another key and from another program, while other requests are served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s, client := startSample(t)
	for _, m := range s.StandIns.Models {
		if err := m.Faults.Set(standin.Fault{Kind: standin.FaultCrashMarked, Match: "poison"}); err != nil {
			t.Fatal(err)
		}
	}
	crashes := func() uint64 {
		n := uint64(0)
		for _, m := range s.StandIns.Models {
			n += m.Stats().Crashes
		}
		return n
	}
	send := func(entry int, key string) *structs.Refusal {
		t.Helper()
		id := open(t, client(entry))
		_, err := client(entry).Turn(context.Background(), id, 1, key, "poison\nplan: answer 4")
		var r *structs.Refusal
		if !errors.As(err, &r) {
			t.Fatalf("the crashing request: %v, want a refusal", err)
		}
		return r
	}
	send(0, "first")
	eventually(func() bool { return send(0, "again").Code == structs.CodeQuarantined })
	eventually(func() bool { return send(1, "another key").Code == structs.CodeQuarantined })
	eventually(func() bool { return send(2, "yet another").Code == structs.CodeQuarantined })
	if n := crashes(); n > 2 {
		t.Fatalf("the request crashed %d engines, want 2 at most", n)
	}
	eventually(func() bool {
		id := open(t, client(0))
		_, err := client(0).Turn(context.Background(), id, 1, "k", "innocent\nplan: answer 4")
		return err == nil
	})
}

// TestTakeoverFromRunningHome guards against two homes of one program. The log of a running
// entry is taken over, as after a wrong suspicion: that entry must stop, the turn in progress
// must continue at the new home, and its action must run once.
func TestTakeoverFromRunningHome(t *testing.T) {
	s, client := startSample(t)
	id := open(t, client(0))
	answered := make(chan error, 1)
	content := "act\nplan: tool search_records {\"pause_ms\":20000}; tool publish_dataset {\"name\":\"x\"}; answer 5"
	go func() {
		answer, err := client(2).Turn(context.Background(), id, 1, "k1", content)
		if err == nil && !answer.Durable {
			err = fmt.Errorf("answer %+v is not durable", answer)
		}
		answered <- err
	}()
	awaitRunning(t, client(1), id)
	takeOverAt(t, s, 1, id.Log())
	if err := <-answered; err != nil {
		t.Fatalf("the turn whose home changed: %v", err)
	}
	if err := s.Entries[0].Stop(); !errors.Is(err, entry.ErrSealed) {
		t.Fatalf("the entry whose log was sealed ended with %v, want ErrSealed", err)
	}
	for _, duplicate := range s.StandIns.Tools[0].Stats().Duplicates {
		if duplicate.Name == "publish_dataset" || duplicate.Action {
			t.Fatalf("the action ran more than once: %+v", duplicate)
		}
	}
}

// takeOverAt makes an entry take over a log.
func takeOverAt(t *testing.T, s *System, entry int, log structs.LogID) {
	t.Helper()
	pool := peer.NewPool(peer.Options{})
	defer pool.Close()
	conn, err := pool.Conn(s.Entries[entry].Peer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := peerpb.NewHomeClient(conn).Adopt(context.Background(), &peerpb.AdoptRequest{Log: string(log)}); err != nil {
		t.Fatal(err)
	}
}

// TestPlainServices guards against a second run of an irreversible call of a plain service:
// it must run once for its key through any entry, and the key with another payload must be
// refused.
func TestPlainServices(t *testing.T) {
	s, client := startSample(t)
	ctx := context.Background()
	publish := func(entry int, key, name string) (string, error) {
		var answer httpapi.InvokeResponse
		body := httpapi.InvokeRequest{Arguments: []byte(`{"name":"` + name + `"}`)}
		err := client(entry).Do(ctx, http.MethodPost, "/v1/services/portal_publish", key, body, &answer)
		return answer.Result, err
	}
	first, err := publish(0, "k1", "parks")
	if err != nil {
		t.Fatal(err)
	}
	if again, err := publish(1, "k1", "parks"); err != nil || again != first {
		t.Fatalf("the same key through another entry = %q, %v, want the first answer %q", again, err, first)
	}
	_, err = publish(2, "k1", "roads")
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Code != structs.CodeKeyReused {
		t.Fatalf("the key with another payload: %v, want key_reused", err)
	}
	if err := client(0).Do(ctx, http.MethodPost, "/v1/services/portal_lookup", "", httpapi.InvokeRequest{}, nil); err != nil {
		t.Fatalf("a service whose calls are not irreversible: %v", err)
	}
	if stats := s.StandIns.Applications[0].Stats(); len(stats.Duplicates) != 0 || stats.Executions != 2 {
		t.Fatalf("want one run each of publish and lookup: %+v", stats)
	}
}

// TestPlatformOutage guards against turns that fail while the platform is unavailable and
// against answers that are reported as durable too early. Turns must still be answered but not
// reported as durable before they are stored, and an irreversible action must be refused as not
// run, with a time to retry. After the outage the answer must become durable.
func TestPlatformOutage(t *testing.T) {
	s, client := startSample(t)
	id := open(t, client(0))
	if err := s.StandIns.Platform.Faults.Set(standin.Fault{Kind: standin.FaultDown}); err != nil {
		t.Fatal(err)
	}
	answer, err := client(0).Turn(context.Background(), id, 1, "k1", "during the outage\nplan: answer 4")
	if err != nil || answer.Durable {
		t.Fatalf("turn during the outage = %+v, %v; want an answer that is not durable", answer, err)
	}
	err = client(0).Do(context.Background(), http.MethodPost, "/v1/services/portal_publish", "key-1", httpapi.InvokeRequest{}, nil)
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Outcome != structs.OutcomeNotRun || r.RetryAfter <= 0 {
		t.Fatalf("action during the outage: %v, want not run with a time to retry", err)
	}
	if err := s.StandIns.Platform.Faults.Set(standin.Fault{Kind: standin.FaultDown, Clear: true}); err != nil {
		t.Fatal(err)
	}
	eventually(func() bool {
		again, err := client(1).Turn(context.Background(), id, 1, "k1", "during the outage\nplan: answer 4")
		if err != nil || again.Content != answer.Content {
			t.Fatalf("the turn's answer after the outage = %+v, %v, want %q as before", again, err, answer.Content)
		}
		return again.Durable
	})
	var status query.Status
	callAsOperator(t, s, 0, http.MethodGet, "/operator/status", nil, &status)
	if status.Platform != "answers" {
		t.Errorf("after the outage the reported status of the platform is %q, want \"answers\"", status.Platform)
	}
}
