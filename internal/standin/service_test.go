package standin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/scenario"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// TestService guards against an execution that the client reports as not run, a key that runs
// after the answer "never", and a duplicate that is not counted.
func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := NewService(ServiceConfig{Name: "printer", Names: []string{"order", "quote"}, Limit: 2})
		listener, stop := Serve(service.Handler())
		client := engine.NewService("printer", "http://printer", listener.Transport())
		defer stop()
		defer client.Close()
		datadriven.RunTest(t, "testdata/service.txt", func(t *testing.T, d *datadriven.TestData) string {
			return runService(t, d, service, client)
		})
	})
}

func runService(t *testing.T, d *datadriven.TestData, service *Service, client *engine.Service) string {
	a := scenario.NewArgs(t, d)
	ctx := context.Background()
	switch d.Cmd {
	case "invoke":
		begin := time.Now()
		result, err := client.Invoke(ctx, structs.ToolRequest{
			Name:      a.Word(0),
			Key:       a.Text("key", ""),
			Arguments: fmt.Sprintf(`{"pause_ms": %d, "action_id": %q}`, a.Int("pause", 0), a.Text("action", "")),
			Timeout:   a.Duration("timeout", 0),
		})
		return orRefusal(err, "%s", result) + fmt.Sprintf(" at %v", time.Since(begin))
	case "status":
		status, err := client.Status(ctx, a.Word(0), a.Text("key", ""))
		return orRefusal(err, "%s %s", status.State, status.Result)
	case "load":
		load, err := client.Load(ctx)
		return orRefusal(err, "running %d of %d", load.Running, load.BatchLimit)
	case "stats":
		stats := service.Stats()
		return fmt.Sprintf("%d executions, duplicates %v", stats.Executions, stats.Duplicates)
	case "fault":
		return setFault(t, service.Faults, d)
	case "advance":
		return advance(t, d)
	}
	d.Fatalf(t, "verb %q does not exist", d.Cmd)
	return ""
}
