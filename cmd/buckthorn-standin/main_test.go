package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExamplesAreRead guards against example settings in examples/ that the command rejects
// or reads incompletely.
func TestExamplesAreRead(t *testing.T) {
	for _, deployment := range []string{"taichung", "hokkaido"} {
		config, err := readConfig(filepath.Join("../../examples", deployment, "standin.toml"))
		if err != nil {
			t.Fatal(err)
		}
		if len(config.Models) != 3 || len(config.Platform.VMs) != 8 || config.Platform.VMs[0].Domain == "" {
			t.Errorf("%s: %d models, VMs %v; want 3 models and 8 VMs with failure domains", deployment, len(config.Models), config.Platform.VMs)
		}
	}
}

// TestInvalidSettingsAreRejected guards against a mistyped key or a missing file that is ignored.
func TestInvalidSettingsAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "standin.toml")
	if err := os.WriteFile(path, []byte("[platform]\nlisten = \"127.0.0.1:0\"\nspeed = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readConfig(path); err == nil || !strings.Contains(err.Error(), "speed") {
		t.Fatalf("error %v does not name the unknown key", err)
	}
	if _, err := readConfig(path + ".none"); err == nil {
		t.Fatal("readConfig of a missing file returned no error")
	}
}
