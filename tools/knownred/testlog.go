package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxLineSize is the longest line of go test's output, in bytes.
const maxLineSize = 16 << 20

var (
	errTruncatedOutput = errors.New("the tests' output breaks off")
	errNoTests         = errors.New("no test was run")
)

// failedTests returns the tests that failed according to the output of go test, as package.Test. A package that failed
// without one (it was not built, it panicked, it timed out) is there by its name, besides the tests that it named:
// later tests of it never ran.
func failedTests(output io.Reader) ([]string, error) {
	var log testLog
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		log.addLine(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read output of tests: %w", err)
	}
	switch {
	case len(log.pending) > 0 || log.aborted:
		return nil, errTruncatedOutput
	case log.packages == 0:
		return nil, errNoTests
	}
	return log.failed, nil
}

// testLog collects failures from the lines of go test's output.
type testLog struct {
	failed   []string
	packages int      // whose results have been read
	pending  []string // failed tests of the package whose result is still to come
	aborted  bool     // that package panicked or exited
}

func (l *testLog) addLine(line string) {
	word, rest, _ := strings.Cut(line, "\t")
	switch {
	case strings.HasPrefix(line, "--- FAIL: "):
		l.pending = append(l.pending, strings.Fields(line)[2])
	case strings.HasPrefix(line, "panic: "), strings.HasPrefix(line, "fatal error: "),
		strings.HasPrefix(line, "exit status "):
		l.aborted = true
	case word == "FAIL" && rest != "":
		l.endFailedPackage(rest)
	case strings.TrimSpace(word) == "ok":
		l.endPackage()
	}
}

// endFailedPackage adds the failures of a package. result is its name, and the time or the reason after it.
func (l *testLog) endFailedPackage(result string) {
	name, _, _ := strings.Cut(result, "\t")
	name, _, _ = strings.Cut(name, " ")
	if l.aborted || len(l.pending) == 0 {
		l.failed = append(l.failed, name)
	}
	for _, test := range l.pending {
		l.failed = append(l.failed, name+"."+test)
	}
	l.endPackage()
}

func (l *testLog) endPackage() {
	l.pending, l.aborted = nil, false
	l.packages++
}
