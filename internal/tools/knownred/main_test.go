package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestUnlisted guards against a failure that passes CI without being listed: another test, a
// test of the same name in another package, a build failure or a panic.
func TestUnlisted(t *testing.T) {
	known := parseKnown("# comment\nexample.org/a TestKnown | go test | seed 1 | seen | 4\nexample.org/a TestSeeds/seed-1 | go test | seed 1 | seen | 4\n")
	for _, c := range []struct {
		name, log string
		want      int
	}{
		{"known failure", "--- FAIL: TestKnown (0.1s)\nFAIL\nFAIL\texample.org/a\t0.1s\n", 0},
		{"other failure", "--- FAIL: TestOther (0.1s)\nFAIL\nFAIL\texample.org/a\t0.1s\n", 1},
		{"same name elsewhere", "--- FAIL: TestKnown (0.1s)\nFAIL\texample.org/b\t0.1s\n", 1},
		{"known subtest", "--- FAIL: TestSeeds (0.1s)\n    --- FAIL: TestSeeds/seed-1 (0.1s)\nFAIL\nFAIL\texample.org/a\t0.1s\n", 0},
		{"other subtest beside a known one", "--- FAIL: TestSeeds (0.1s)\n    --- FAIL: TestSeeds/seed-1 (0.1s)\n    --- FAIL: TestSeeds/seed-2 (0.1s)\nFAIL\texample.org/a\t0.1s\n", 1},
		{"build failure", "FAIL\texample.org/a [build failed]\n", 1},
		{"panic in a known test", "--- FAIL: TestKnown (0.1s)\npanic: x\nFAIL\texample.org/a\t0.1s\n", 1},
	} {
		var out bytes.Buffer
		if got, err := unlisted(&out, c.log+"FAIL\n", known); err != nil || len(got) != c.want {
			t.Errorf("%s: unlisted = %v, error %v, want %d of them", c.name, got, err, c.want)
		}
	}
}

// TestLogCutOff guards against a failure that passes CI since the log ends before it is stated, or
// since the rest of the log follows a line that is too long to read.
func TestLogCutOff(t *testing.T) {
	for name, log := range map[string]string{
		"empty":                    "",
		"before the package":       "--- FAIL: TestOther (0.1s)\n",
		"before the next failures": "FAIL\texample.org/a\t0.1s\n",
		"after a long line":        strings.Repeat("x", maxLineBytes+1) + "\n--- FAIL: TestOther (0.1s)\nFAIL\texample.org/a\t0.1s\nFAIL\n",
	} {
		if got, err := unlisted(&bytes.Buffer{}, log, nil); err == nil {
			t.Errorf("%s: unlisted = %v, want an error", name, got)
		}
	}
}
