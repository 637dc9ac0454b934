package standin

import (
	"context"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/structs"
)

// TestCrashedEngineRefusesConnections checks that a crashed engine refuses connections, like
// a process that has ended, and that its port opens again. A connection that is accepted
// and dropped would look like a call of unknown outcome.
func TestCrashedEngineRefusesConnections(t *testing.T) {
	group, err := Start(Config{Models: []ModelConfig{{
		Name: "m1", Listen: "127.0.0.1:0", RestartTime: structs.Duration(100 * time.Millisecond),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer group.Close()
	client := engine.NewModel("m1", group.Addresses()["m1"], nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := client.Load(ctx); err != nil {
		t.Fatal(err)
	}
	group.Models[0].Crash()
	if _, err := client.Load(ctx); structs.AsRefusal(err).Outcome != structs.OutcomeNotRun {
		t.Fatalf("load of a crashed engine: error %v, want a refused connection", err)
	}
	for {
		load, err := client.Load(ctx)
		if err == nil && load.Incarnation == "m1-1" {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("the engine did not restart in time: %v", err)
		}
	}
}
