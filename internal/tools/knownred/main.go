// Command knownred checks whether every failure in a log of go test is listed in
// KNOWN-RED.txt, the list of tests that fail for a known fault. It prints the listed
// failures and exits 1 if there is any other.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
)

func main() {
	logPath := flag.String("log", "", "file with the output of go test")
	listPath := flag.String("list", "KNOWN-RED.txt", "file that lists the known failures")
	flag.Parse()
	if err := run(os.Stdout, *logPath, *listPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer, logPath, listPath string) error {
	log, err := os.ReadFile(logPath)
	if err != nil {
		return err
	}
	list, err := os.ReadFile(listPath)
	if err != nil {
		return err
	}
	known := parseKnown(string(list))
	unknown, err := unlisted(out, string(log), known)
	if err != nil {
		return fmt.Errorf("%s: %w", logPath, err)
	}
	if len(unknown) > 0 {
		return fmt.Errorf("failures not in %s: %s", listPath, strings.Join(unknown, ", "))
	}
	return nil
}

// parseKnown returns the listed tests as "package TestName": the text before the first "|"
// of each line that is neither empty nor a comment.
func parseKnown(list string) map[string]bool {
	known := map[string]bool{}
	lines := bufio.NewScanner(strings.NewReader(list))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, _, _ := strings.Cut(line, "|")
		known[strings.Join(strings.Fields(test), " ")] = true
	}
	return known
}

var (
	failedTest    = regexp.MustCompile(`^--- FAIL: (\S+)`)
	failedSubtest = regexp.MustCompile(`^\s+--- FAIL: (\S+)`)
	failedPackage = regexp.MustCompile(`^FAIL\s+(\S+)`)
)

// listedNames returns the names under which a failed test of a package must be listed: its own, or, if that is
// not listed, those of its failed subtests, so that a list of one subtest does not cover the others.
func listedNames(pkg, test string, subtests []string, known map[string]bool) []string {
	if known[pkg+" "+test] || len(subtests) == 0 {
		return []string{pkg + " " + test}
	}
	names := make([]string, 0, len(subtests))
	for _, s := range subtests {
		names = append(names, pkg+" "+s)
	}
	return names
}

// maxLineBytes is the length in bytes of the longest line that is read. A line of test output may
// exceed the default of 64 KiB.
const maxLineBytes = 1 << 24

// errCutOff reports a log that ends before its last line, in which go test states its result.
var errCutOff = errors.New("the log is cut off")

// unlisted returns the failed tests that are not in known and prints those that are to out.
// A package that failed without a failed test, for example by a build error, or that
// panicked is always unlisted. log must be that of a run that has failed, whose last line is FAIL.
func unlisted(out io.Writer, log string, known map[string]bool) ([]string, error) {
	// go test prints the package only after its failed tests, so these are pending until then.
	var unknown, pending []string
	lines := bufio.NewScanner(strings.NewReader(log))
	lines.Buffer(nil, maxLineBytes)
	// subtests holds the failed subtests of each pending test.
	subtests := map[string][]string{}
	panicked, last := false, ""
	for lines.Scan() {
		line := lines.Text()
		last = line
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			panicked = true
		}
		if m := failedTest.FindStringSubmatch(line); m != nil {
			pending = append(pending, m[1])
			continue
		}
		if m := failedSubtest.FindStringSubmatch(line); m != nil {
			test, _, _ := strings.Cut(m[1], "/")
			subtests[test] = append(subtests[test], m[1])
			continue
		}
		m := failedPackage.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		if len(pending) == 0 || panicked {
			unknown = append(unknown, m[1])
		}
		for _, test := range pending {
			for _, name := range listedNames(m[1], test, subtests[test], known) {
				if !known[name] {
					unknown = append(unknown, name)
					continue
				}
				fmt.Fprintln(out, "KNOWN RED:", name)
			}
		}
		pending, panicked = nil, false
		subtests = map[string][]string{}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if last != "FAIL" {
		return nil, errCutOff
	}
	return unknown, nil
}
