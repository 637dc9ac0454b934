package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExamplesAreRead(t *testing.T) {
	for _, deployment := range []string{"taichung", "hokkaido"} {
		config, err := readConfig(filepath.Join("../../examples", deployment, "standin.toml"))
		if err != nil {
			t.Fatal(err)
		}
		if len(config.Models) != 3 || len(config.Platform.VMs) != 8 || config.Platform.VMs[0].Domain == "" {
			t.Errorf("%s has %d models and VMs %v", deployment, len(config.Models), config.Platform.VMs)
		}
	}
}

func TestUnknownKeyIsNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "standin.toml")
	if err := os.WriteFile(path, []byte("[platform]\nlisten = \"127.0.0.1:0\"\nspeed = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readConfig(path); err == nil || !strings.Contains(err.Error(), "speed") {
		t.Fatalf("error %v does not name the key", err)
	}
	if _, err := readConfig(path + ".none"); err == nil {
		t.Fatal("a missing file is no error")
	}
}
