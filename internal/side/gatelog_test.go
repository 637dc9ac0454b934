package side

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
)

// The gate is checked at every broadcast of the load. An event must be logged only
// when the gate opens or closes, or when the last call behind a closed gate has ended.
func TestEachGateChangeIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	log, err := eventlog.New(&out, "s1", settings.Log{Format: "json", Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{cfg: Config{Log: log}, gate: NewGate(time.Now(), 0)}
	checks := []struct {
		drain   bool
		running int
		want    string
	}{
		{false, 1, "side_gate_opened"},
		{false, 0, ""},
		{true, 1, "side_gate_closed"},
		{true, 1, ""},
		{true, 0, "side_drained"},
		{true, 0, ""},
		{false, 0, "side_gate_opened"},
		{true, 0, "side_gate_closed side_drained"},
	}
	for i, check := range checks {
		if err := s.gate.ApplyOrder(uint64(i), check.drain); err != nil {
			t.Fatal(err)
		}
		out.Reset()
		s.logGate(structs.Load{Running: check.running})
		var names []string
		for line := range strings.Lines(out.String()) {
			_, rest, _ := strings.Cut(line, `"msg":"`)
			name, _, _ := strings.Cut(rest, `"`)
			names = append(names, name)
		}
		if got := strings.Join(names, " "); got != check.want {
			t.Errorf("check %d logged %q, want %q", i, got, check.want)
		}
	}
}
