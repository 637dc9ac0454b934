// Package docs_test checks that the pages in docs agree with the code and with each other.
package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/structs"
)

// codes returns the values of the constants in structs/refusal.go whose names begin with Code.
func codes(t *testing.T) []structs.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "structs", "refusal.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []structs.Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "Code") {
			return true
		}
		if text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value); err == nil {
			out = append(out, structs.Code(text))
		}
		return true
	})
	return out
}

// TestAPIListsEachCode checks that the table of codes in API.md lists each code of structs with
// the HTTP status that httpapi gives it, and no other code.
func TestAPIListsEachCode(t *testing.T) {
	page, err := os.ReadFile("API.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]{3}) \\|").FindAllStringSubmatch(string(page), -1) {
		listed[row[1]+" "+row[2]] = true
	}
	known := codes(t)
	for _, c := range known {
		status := httpapi.NewProblem(structs.Refusalf(c, structs.OutcomeNotRun, "", "")).Status
		if line := fmt.Sprintf("%s %d", c, status); !listed[line] {
			t.Errorf("API.md does not list code and status %q", line)
		}
	}
	if len(listed) != len(known) {
		t.Errorf("API.md lists %d codes, structs has %d", len(listed), len(known))
	}
}

// TestLinks checks each path of the form docs/NAME.md in the pages of docs and docs/design: the
// page that it names must exist.
func TestLinks(t *testing.T) {
	pages, _ := filepath.Glob("*.md")
	designPages, _ := filepath.Glob(filepath.Join("design", "*.md"))
	link := regexp.MustCompile(`\bdocs/[A-Za-z/]+\.md\b`)
	for _, page := range append(pages, designPages...) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, target := range link.FindAllString(string(text), -1) {
			if _, err := os.Stat(filepath.Join("..", target)); err != nil {
				t.Errorf("%s names %s, which does not exist", page, target)
			}
		}
	}
}
