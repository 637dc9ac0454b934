package inprocess

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const organisation = structs.OrganisationID("taichung-city-council")

// fast makes the stand-ins 100 times as fast as the engines that they model.
const fast = 0.01

// startSample starts the sample deployment of Taichung, which is closed at the end of the
// test, and returns it with a function that makes the client of an entry.
func startSample(t *testing.T) (*System, func(entry int) Client) {
	t.Helper()
	s, err := Start(context.Background(), Taichung(fast), []structs.OrganisationID{organisation, "another"})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		http.DefaultClient.CloseIdleConnections()
		s.Close()
	})
	return s, func(entry int) Client {
		return Client{URL: s.Entries[entry].URL, Token: CallerToken(organisation), HTTP: &http.Client{Transport: transport}}
	}
}

// open opens a program and returns its ID.
func open(t *testing.T, c Client) structs.ProgramID {
	t.Helper()
	id, err := c.Open(context.Background(), httpapi.OpenRequest{Kind: "draft", Model: "portal-chat"}, "")
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// TestProgramRunsWholeThroughAnyEntry guards against a program that depends on the entry that
// its calls arrive at. A draft of 3 turns with tools, a sub-agent and an action goes through
// all entries, each turn twice with the same key; each tool call must run once.
func TestProgramRunsWholeThroughAnyEntry(t *testing.T) {
	s, client := startSample(t)
	id := open(t, client(0))
	turns := []string{
		"draft\nplan: tool search_records {\"pause_ms\":50}; answer 20",
		"go on\nplan: agent summarise the minutes; tool read_minutes {}; answer 20",
		"publish\nplan: tool publish_dataset {\"name\":\"parks\"}; answer 5",
	}
	for i, content := range turns {
		key := fmt.Sprintf("turn-%d", i+1)
		answer, err := client(i).Turn(context.Background(), id, uint32(i+1), key, content)
		if err != nil || !answer.Durable || answer.Content == "" {
			t.Fatalf("turn %d = %+v, %v", i+1, answer, err)
		}
		again, err := client((i+1)%3).Turn(context.Background(), id, uint32(i+1), key, content)
		if err != nil || again.Content != answer.Content {
			t.Fatalf("turn %d sent again = %+v, %v, want the first answer %q", i+1, again, err, answer.Content)
		}
	}
	view, err := client(2).History(context.Background(), id)
	if err != nil || view.Turns != 3 {
		t.Fatalf("history = %+v, %v", view, err)
	}
	if (structs.ConversationDigest{}).AppendAll(view.History) != view.Digest {
		t.Fatal("the history does not match its digest")
	}
	stats := s.StandIns.Tools[0].Stats()
	if len(stats.Duplicates) != 0 || stats.Executions != 3 {
		t.Fatalf("want one run each of search, read and publish: %+v", stats)
	}
	if err := client(1).Close(context.Background(), id); err != nil {
		t.Fatal(err)
	}
}

// TestProgramSurvivesGracefulShutdownOfItsHome guards against a program that is lost when its
// home shuts down gracefully: it must continue at another entry with its whole history.
func TestProgramSurvivesGracefulShutdownOfItsHome(t *testing.T) {
	s, client := startSample(t)
	id := open(t, client(0))
	if _, err := client(0).Turn(context.Background(), id, 1, "k1", "hello\nplan: answer 5"); err != nil {
		t.Fatal(err)
	}
	if err := s.Entries[0].Stop(); err != nil {
		t.Fatal(err)
	}
	answer, err := client(1).Turn(context.Background(), id, 2, "k2", "go on\nplan: answer 5")
	if err != nil || !answer.Durable {
		t.Fatalf("turn after the shutdown = %+v, %v", answer, err)
	}
	view, err := client(2).History(context.Background(), id)
	if err != nil || len(view.History) != 4 {
		t.Fatalf("history after the shutdown = %+v, %v", view, err)
	}
}

// TestBadInput checks that bad input is refused with a stable code and does not harm the
// program.
func TestBadInput(t *testing.T) {
	_, client := startSample(t)
	ctx := context.Background()
	c := client(0)
	id := open(t, c)
	if _, err := c.Turn(ctx, id, 1, "k1", "hello\nplan: answer 3"); err != nil {
		t.Fatal(err)
	}
	stranger := c
	stranger.Token = CallerToken("another")
	nobody := c
	nobody.Token = "no such token"
	turn := func(c Client, number uint32, key, content string) error {
		_, err := c.Turn(ctx, id, number, key, content)
		return err
	}
	for _, b := range []struct {
		name string
		err  error
		code structs.Code
	}{
		{"gap in turn numbers", turn(c, 3, "k3", "x"), structs.CodeTurnOutOfOrder},
		{"key reused with another payload", turn(c, 1, "k1", "other"), structs.CodeKeyReused},
		{"turn zero", turn(c, 0, "", "x"), structs.CodeBadRequest},
		{"another organisation's program", turn(stranger, 2, "", "x"), structs.CodeNotFound},
		{"unknown token", turn(nobody, 2, "", "x"), structs.CodeUnauthorized},
		{"unknown program", c.Close(ctx, "taichung-entry9-00000000.1"), structs.CodeNotFound},
		{"malformed program", c.Close(ctx, "nonsense"), structs.CodeNotFound},
		{"caller's token at operators' routes", c.Do(ctx, http.MethodGet, "/operator/status", "", nil, nil), structs.CodeUnauthorized},
		{"wrong type", c.Do(ctx, http.MethodPost, "/v1/programs", "", map[string]any{"kind": 3}, nil), structs.CodeBadRequest},
		{"unknown field", c.Do(ctx, http.MethodPost, "/v1/programs", "", map[string]any{"colour": "red"}, nil), structs.CodeBadRequest},
		{"oversize body", c.Do(ctx, http.MethodPost, "/v1/programs", "", map[string]any{"kind": string(make([]byte, 5<<20))}, nil), structs.CodeTooLarge},
		{"unknown service", c.Do(ctx, http.MethodPost, "/v1/services/none", "k", httpapi.InvokeRequest{}, nil), structs.CodeNotFound},
		{"action without key", c.Do(ctx, http.MethodPost, "/v1/services/portal_publish", "", httpapi.InvokeRequest{}, nil), structs.CodeBadRequest},
	} {
		var r *structs.Refusal
		if !errors.As(b.err, &r) || r.Code != b.code {
			t.Errorf("%s: %v, want code %s", b.name, b.err, b.code)
		}
	}
	if _, err := c.Turn(ctx, id, 2, "k2", "still there\nplan: answer 3"); err != nil {
		t.Fatalf("the program does not continue after bad input: %v", err)
	}
}

// TestCallerGoneInMidTurn guards against a turn that ends when its caller disconnects: the
// turn must run to its end, and the same request must then return its answer.
func TestCallerGoneInMidTurn(t *testing.T) {
	_, client := startSample(t)
	id := open(t, client(0))
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, err := client(1).Turn(ctx, id, 1, "k1", "long\nplan: tool search_records {\"pause_ms\":30000}; answer 10")
		gone <- err
	}()
	awaitRunning(t, client(2), id)
	leave()
	if err := <-gone; !errors.Is(err, context.Canceled) {
		t.Fatalf("the call of the caller that left: %v, want context.Canceled", err)
	}
	answer, err := client(2).Turn(context.Background(), id, 1, "k1", "long\nplan: tool search_records {\"pause_ms\":30000}; answer 10")
	if err != nil || answer.Content == "" {
		t.Fatalf("the turn of the caller that left = %+v, %v", answer, err)
	}
}

// awaitRunning waits until a turn of the program is in progress.
func awaitRunning(t *testing.T, c Client, id structs.ProgramID) {
	t.Helper()
	for {
		view, err := c.History(context.Background(), id)
		if err != nil {
			t.Fatal(err)
		}
		if view.State == structs.ProgramRunning {
			return
		}
		<-time.After(time.Millisecond)
	}
}
