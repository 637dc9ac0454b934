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

// TestErrors reads each file of testdata and compares the exact error or the defaults.
// The command line "edit" replaces lines of the last whole file given by "base".
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

// without returns text less the lines that begin with one of the prefixes.
func without(text, prefixes string) string {
	var kept []string
	for _, line := range strings.Split(text, "\n") {
		drop := false
		for _, p := range strings.Split(prefixes, "\n") {
			drop = drop || strings.HasPrefix(line, p)
		}
		if !drop {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

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

func TestExamplesAreSound(t *testing.T) {
	for _, deployment := range []string{"taichung", "hokkaido"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", deployment, "*.toml"))
		// The stand-ins' own settings are checked by cmd/buckthorn-standin.
		files = slices.DeleteFunc(files, func(f string) bool { return filepath.Base(f) == "standin.toml" })
		if err != nil || len(files) != 8 {
			t.Fatalf("%s: files %v, error %v", deployment, files, err)
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

// checkAgainstSides checks that the entry's list of sides says what each side says of itself.
func checkAgainstSides(t *testing.T, e *Entry, sides map[string]*Side) {
	t.Helper()
	for _, a := range e.Sides {
		s := sides[a.Address]
		if s == nil {
			t.Fatalf("%s: no side listens on %s", e.Node, a.Address)
		}
		own := SideAddress{s.Upstream.ID, s.Upstream.Kind, s.ListenPeer, s.VM, s.FailureDomain}
		if a != own {
			t.Errorf("%s: side %+v says of itself %+v", e.Node, a, own)
		}
	}
}

func TestDefaults(t *testing.T) {
	e, err := LoadEntry(filepath.Join("..", "..", "examples", "taichung", "entry1.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if e.AdvertisePeer != e.ListenPeer || e.Tools[0].Timeout != seconds(10) || e.Limits.BodyBytes != 4<<20 {
		t.Errorf("defaults not filled: %+v", e)
	}
	if got := e.Budget.Structs(); got != (structs.Budget{Tokens: 2_000_000, Calls: 400, ToolTime: 10 * time.Minute, Depth: 3, Agents: 32}) {
		t.Errorf("budget %+v", got)
	}
	if e.Presets[1].Name != "peak" || e.Presets[1].TurnTimeouts["question"] != seconds(8) {
		t.Errorf("preset %+v", e.Presets[1])
	}
}

func TestMissingFile(t *testing.T) {
	_, err := LoadEntry("no-such.toml")
	if err == nil || err.Error() != `settings file "no-such.toml": no such file or directory` {
		t.Errorf("error %v", err)
	}
}
