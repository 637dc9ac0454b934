package standin

import (
	"context"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/structs"
)

// TestCrashedEngineRefusesConnections checks that an engine that crashed refuses connections, as
// a process that is gone does, and that its port opens again.
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
		t.Fatalf("a crashed engine gave %v, want a refused connection", err)
	}
	for {
		load, err := client.Load(ctx)
		if err == nil && load.Incarnation == "m1-1" {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("the engine has not come back: %v", err)
		}
	}
}
