// Command guards is a mutation test for the checks in the source that prevent a known
// fault, the guards. It removes one guard at a time from a copy of the tree and runs the
// tests that must then fail. If they pass, no test covers the guard: the command prints it
// and exits 1. It is not part of CI since it would take too long there. Run it before a
// change to a guard lands.
//
//	go run ./internal/tools/guards            # all guards of guards.toml
//	go run ./internal/tools/guards -only seal # guards whose name contains "seal"
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// guard is one entry of guards.toml.
type guard struct {
	// Name states the property that the guard ensures.
	Name string `toml:"name"`
	// File is the source file of the guard. Old is the text of the guard, which must occur
	// exactly once in the file; New replaces it to remove the guard.
	File string `toml:"file"`
	Old  string `toml:"old"`
	New  string `toml:"new"`
	// Test has the arguments of go test that select the tests.
	Test []string `toml:"test"`
}

// list is the content of guards.toml.
type list struct {
	Guards []guard `toml:"guard"`
}

// testTimeout bounds the build and the tests of one guard, since a removed guard may also make
// a test hang, which counts as a failure. The flag -timeout of go test bounds only the tests.
const testTimeout = 90 * time.Second

func main() {
	listPath := flag.String("list", "internal/tools/guards/guards.toml", "file that lists the guards")
	only := flag.String("only", "", "run only the guards whose name contains this text")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, *listPath, *only)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run tests the guards whose name contains only, and returns an error if a guard can be removed
// without a failing test.
func run(ctx context.Context, listPath, only string) error {
	guards, err := read(listPath)
	if err != nil {
		return err
	}
	tree, err := os.MkdirTemp("", "guards")
	if err != nil {
		return err
	}
	defer os.RemoveAll(tree)
	if err := copyTree(ctx, tree); err != nil {
		return err
	}
	survivors := 0
	for _, g := range guards {
		if !strings.Contains(g.Name, only) {
			continue
		}
		noticed, err := testWithout(ctx, tree, g)
		if err != nil {
			return errors.Wrapf(err, "guard %q", g.Name)
		}
		verdict := "noticed"
		if !noticed {
			verdict = "NOT NOTICED"
			survivors++
		}
		fmt.Printf("%-12s %s (%s)\n", verdict, g.Name, g.File)
	}
	if survivors > 0 {
		return errors.Newf("%d guards can be removed without a failing test", survivors)
	}
	return nil
}

// read returns the guards that the file lists. An unknown key is an error.
func read(path string) ([]guard, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var l list
	err = toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields().Decode(&l)
	return l.Guards, errors.Wrapf(err, "guards %q", path)
}

// copyTree copies the files that git tracks to a directory.
func copyTree(ctx context.Context, to string) error {
	out, err := exec.CommandContext(ctx, "git", "ls-files").Output()
	if err != nil {
		return errors.Wrap(err, "list the files of the tree")
	}
	for _, file := range strings.Fields(string(out)) {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		target := filepath.Join(to, file)
		if err := os.MkdirAll(filepath.Dir(target), 0o750); err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// testWithout removes the guard, runs its tests, restores the file, and reports whether a
// test failed.
func testWithout(ctx context.Context, tree string, g guard) (bool, error) {
	path := filepath.Join(tree, g.File)
	original, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	if n := strings.Count(string(original), g.Old); n != 1 {
		return false, errors.Newf("its text occurs %d times in %s, want 1", n, g.File)
	}
	without := strings.Replace(string(original), g.Old, g.New, 1)
	if err := os.WriteFile(path, []byte(without), 0o600); err != nil {
		return false, err
	}
	noticed, testErr := fails(ctx, tree, g.Test)
	return noticed, errors.CombineErrors(testErr, os.WriteFile(path, original, 0o600))
}

// fails reports whether the tests fail or time out. A tree that does not build is an error.
func fails(ctx context.Context, tree string, test []string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	args := append([]string{"test", "-count=1", "-timeout=60s"}, test...)
	cmd := exec.CommandContext(ctx, "go", args...) //nolint:gosec // the list is part of the tree
	cmd.Dir = tree
	out, err := cmd.CombinedOutput()
	if strings.Contains(string(out), "[build failed]") || strings.Contains(string(out), "[setup failed]") {
		return false, errors.Newf("the tree without the guard does not build: %s", out)
	}
	if err == nil {
		return false, nil
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) || ctx.Err() != nil {
		return true, nil
	}
	return false, err
}
