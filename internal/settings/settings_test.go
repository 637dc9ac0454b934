package settings

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestErrors guards against settings that are accepted though invalid, and against errors
// that don't name the key. It compares the exact error of each settings text in testdata;
// "ok" means none.
//
// The argument of each command is the kind of settings. "base" stores the text of a whole file
// of that kind, "with" adds lines before this text, "without" removes the lines with a given
// prefix from it, and "raw" parses its input alone.
func TestErrors(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		base := map[string]string{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "base":
				base[d.CmdArgs[0].Key] = d.Input
				return parse(d.CmdArgs[0].Key, d.Input)
			case "with":
				kind := d.CmdArgs[0].Key
				return parse(kind, d.Input+"\n"+base[kind])
			case "without":
				kind := d.CmdArgs[0].Key
				return parse(kind, without(base[kind], d.Input))
			case "raw":
				return parse(d.CmdArgs[0].Key, d.Input)
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

// without returns text without the lines that begin with one of the prefixes.
func without(text, prefixes string) string {
	var remaining []string
	for _, line := range strings.Split(text, "\n") {
		drop := false
		for _, p := range strings.Split(prefixes, "\n") {
			drop = drop || strings.HasPrefix(line, p)
		}
		if !drop {
			remaining = append(remaining, line)
		}
	}
	return strings.Join(remaining, "\n")
}

// parse parses text as settings of the kind and returns the error, or "ok".
func parse(kind, text string) string {
	var err error
	if kind == "side" {
		_, err = ParseSide([]byte(text), "side.toml")
	} else {
		_, err = ParseEntry([]byte(text), "entry.toml")
	}
	if err == nil {
		return "ok"
	}
	var e *Error
	if !errors.As(err, &e) {
		return "not a settings.Error: " + err.Error()
	}
	return e.Error()
}

// TestExampleSettingsAreValid checks the settings in examples/, so that they stay valid and
// the entries' lists of sides agree with the sides.
func TestExampleSettingsAreValid(t *testing.T) {
	for _, deployment := range []string{"taichung", "hokkaido"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", deployment, "*.toml"))
		// The settings of the stand-ins are checked by the tests of cmd/buckthorn-standin.
		files = slices.DeleteFunc(files, func(f string) bool { return filepath.Base(f) == "standin.toml" })
		if err != nil || len(files) != 8 {
			t.Fatalf("examples of %s: found files %v, error %v; want 8 files", deployment, files, err)
		}
		sides := map[string]*Side{}
		var entries []*Entry
		for _, f := range files {
			kind, err := Check(f)
			if err != nil {
				t.Fatal(err)
			}
			if kind == KindSide {
				s, _ := LoadSide(f)
				sides[s.ListenPeer] = s
				continue
			}
			e, _ := LoadEntry(f)
			entries = append(entries, e)
		}
		for _, e := range entries {
			checkAgainstSides(t, e, sides)
		}
	}
}

// checkAgainstSides checks that each side in the entry's list matches that side's own settings.
func checkAgainstSides(t *testing.T, e *Entry, sides map[string]*Side) {
	t.Helper()
	for _, a := range e.Sides {
		s := sides[a.Address]
		if s == nil {
			t.Fatalf("%s: no side listens on %s", e.Node, a.Address)
		}
		own := SideAddress{s.Upstream.ID, s.Upstream.Kind, s.ListenPeer, s.VM, s.FailureDomain}
		if a != own {
			t.Errorf("%s: list of sides has %+v, the side's own settings give %+v", e.Node, a, own)
		}
	}
}

// TestExampleValuesAndDefaults checks, on one example, that given values are read and that
// absent keys get their defaults.
func TestExampleValuesAndDefaults(t *testing.T) {
	e, err := LoadEntry(filepath.Join("..", "..", "examples", "taichung", "entry1.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if e.AdvertisePeer != e.ListenPeer || e.Tools[0].Timeout != seconds(10) || e.Limits.BodyBytes != 4<<20 {
		t.Errorf("wrong values or defaults: %+v", e)
	}
	if got := e.Budget.Structs(); got != (structs.Budget{Tokens: 2_000_000, Calls: 400, ToolTime: 10 * time.Minute, Depth: 3, Agents: 32}) {
		t.Errorf("default budget %+v", got)
	}
	if e.Presets[1].Name != "peak" || e.Presets[1].TurnTimeouts["question"] != seconds(8) {
		t.Errorf("second preset %+v, want peak with a turn timeout of 8s for question", e.Presets[1])
	}
}

// TestMissingFile checks that the error of a missing file names the path and the reason once.
func TestMissingFile(t *testing.T) {
	_, err := LoadEntry("no-such.toml")
	if err == nil || err.Error() != `settings file "no-such.toml": no such file or directory` {
		t.Errorf("missing file: error %v", err)
	}
}
