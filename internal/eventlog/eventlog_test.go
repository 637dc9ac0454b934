package eventlog

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md from the catalogue")

// areas are the headings of docs/EVENTS.md; the key is the event number divided by 1000.
var areas = map[int]string{
	1: "Entry",
	2: "Side",
	3: "Home log",
	4: "Membership",
	5: "Programs and actions",
	6: "Presets",
	7: "Platform and engines",
	8: "Load runs and playground",
	9: "Entries whose callers run their programs themselves",
}

// preface is the text of docs/EVENTS.md above the list of events.
const preface = `# Log events

Each line written by internal/eventlog is one numbered event, with the event's name as its message. Lines about single
requests (internal/reqlog) have no number. An event carries ` + "`event`, `node`" + ` and, where they apply, ` + "`step`, `peer`,\n" +
	"`program`, `call`, `organisation`, `code`, `outcome`, `error`, `count`, `took`, `trace` and `detail`" + `.
Numbers are stable. This page is generated from the catalogue in internal/eventlog by
` + "`go test ./internal/eventlog -run TestDocs -update`" + `; without the flag the test compares the two.
`

// emitted reports for each event number whether the text of a Go file of the repository, tests
// excepted, has the event as eventlog.NAME. Files of this package name their events without the
// prefix, so they do not count.
func emitted(t *testing.T) map[int]bool {
	t.Helper()
	used := map[string]bool{}
	use := regexp.MustCompile(`\beventlog\.([A-Z]\w+)`)
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range use.FindAllStringSubmatch(string(text), -1) {
			used[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob("catalogue_*.go")
	define := regexp.MustCompile(`(?m)^\t(\w+)\s+= register\((\d+),`)
	numbers := map[int]bool{}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range define.FindAllStringSubmatch(string(text), -1) {
			n, _ := strconv.Atoi(m[2])
			numbers[n] = used[m[1]]
		}
	}
	return numbers
}

// renderPage renders the catalogue as docs/EVENTS.md: the events that are emitted, by area, and
// then the numbers reserved for events that are not emitted yet.
func renderPage(t *testing.T) string {
	used := emitted(t)
	var b, reserved strings.Builder
	b.WriteString(preface)
	area := 0
	for _, e := range Catalogue() {
		if !used[e.Number] {
			fmt.Fprintf(&reserved, "| %d | `%s` |\n", e.Number, e.Name)
			continue
		}
		if e.Number/1000 != area {
			area = e.Number / 1000
			fmt.Fprintf(&b, "\n## %s (%d–%d)\n\n| event | name | level | meaning |\n|---|---|---|---|\n", areas[area], area*1000, area*1000+999)
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	if reserved.Len() > 0 {
		b.WriteString("\n## Reserved numbers\n\nNo code emits these events yet; their numbers are not used for anything else.\n\n| event | name |\n|---|---|\n")
		b.WriteString(reserved.String())
	}
	return b.String()
}

// TestDocs guards against a page that differs from the catalogue.
func TestDocs(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "EVENTS.md")
	if *update {
		if err := os.WriteFile(path, []byte(renderPage(t)), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != renderPage(t) {
		t.Errorf("%s differs from the catalogue; run this test with -update", path)
	}
}

// TestCatalogue guards against events without an area, with a malformed name or meaning, and
// with the name of another event.
func TestCatalogue(t *testing.T) {
	name := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	seen := map[string]int{}
	for _, e := range Catalogue() {
		if areas[e.Number/1000] == "" || !name.MatchString(e.Name) || !strings.HasSuffix(e.Meaning, ".") {
			t.Errorf("event %+v: no area for its number, a name not in snake case, or a meaning without a full stop", e)
		}
		if other := seen[e.Name]; other != 0 {
			t.Errorf("events %d and %d are both named %q", other, e.Number, e.Name)
		}
		seen[e.Name] = e.Number
	}
}

// TestEmit guards against lines without the fields of the event or of the refusal in its error,
// against lines below the level of the logger, and against an unknown level.
func TestEmit(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "e1", settings.Log{Format: "json", Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	cause := &structs.Refusal{Code: structs.CodeFenced, Outcome: structs.OutcomeNotRun, Step: "order", Peer: "s1"}
	l.Emit(OrderRefused, Fields{Peer: "side-1", Count: 4, Err: errors.Wrap(cause, "load model")})
	l.Emit(HoldGranted, Fields{Detail: "below the level"})
	line := out.String()
	for _, want := range []string{
		fmt.Sprintf(`"event":%d`, OrderRefused.Number), `"msg":"order_fenced"`, `"level":"warning"`, `"node":"e1"`,
		`"step":"order"`, `"peer":"side-1"`, `"code":"fenced"`, `"outcome":"not_run"`, `"count":4`,
	} {
		if !strings.Contains(line, want) {
			t.Errorf("line %s lacks %s", line, want)
		}
	}
	if strings.Count(line, "\n") != 1 {
		t.Errorf("%q is not exactly one line", line)
	}
	if _, err := New(&out, "e1", settings.Log{Level: "loud"}); err == nil {
		t.Error("New accepts an unknown level")
	}
}
