package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/buckthornroute/buckthornroute/internal/workload"
)

// TestReport guards against a renamed JSON key, which would make saved comparisons
// unreadable, a page without its charts, and a missing input file that is ignored.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	c := comparison{Deployment: "taichung", Load: 1, Policies: []workload.Summary{
		{Policy: "sticky_hash", Measures: workload.Measures{ProgramLatencyP95: 40_000, WastedCacheRatio: 0.1}},
		{Policy: "cost", Measures: workload.Measures{ProgramLatencyP95: 20_000, WastedCacheRatio: 0.05}},
	}}
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{`"policy"`, `"program_latency_p95_ms"`, `"wasted_cache_ratio"`, `"goodput"`} {
		if !strings.Contains(string(data), key) {
			t.Errorf("comparison as JSON has no key %s", key)
		}
	}
	in, out := filepath.Join(dir, "evening.json"), filepath.Join(dir, "report.md")
	if err := os.WriteFile(in, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := writeReport([]string{in}, out); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	for _, image := range []string{"evening-latency.png", "evening-waste.png"} {
		if !strings.Contains(string(page), image) {
			t.Errorf("page does not show image %s", image)
		}
		if info, err := os.Stat(filepath.Join(dir, image)); err != nil || info.Size() == 0 {
			t.Errorf("image %s: %v", image, err)
		}
	}
	if err := writeReport([]string{filepath.Join(dir, "missing.json")}, out); err == nil {
		t.Error("report of a missing file returned no error")
	}
}
