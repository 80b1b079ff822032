// Command knownred compares a run of go test with KNOWN-RED.txt, the list of tests that are known to fail for a real
// fault, one per line: "package.Test: cause (issue N)". It prints the list, and passes if exactly the listed tests
// failed. It fails on any other failure, on a listed test that passed or does not exist, and on a list of more than
// three tests.
//
// A fault that shows on some runs only is listed as "package.Test: cause (issue N; flaky: COMMAND --seed S)", with a
// command and seed that show it. Such a test may pass, but its package must have been tested; the command prints
// whether it failed.
//
//	go test ./... | tee tests.txt; go run ./tools/knownred KNOWN-RED.txt tests.txt
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred KNOWN-RED.txt TESTS.txt")
		os.Exit(exitUsage)
	}
	if err := run(os.Args[1], os.Args[2], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(exitFailure)
	}
}

// run compares the output of go test in the file testsPath with the list in listPath; a list that does not exist is
// empty.
func run(listPath, testsPath string, out io.Writer) error {
	list, err := os.ReadFile(listPath)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read list: %w", err)
	}
	tests, err := os.Open(testsPath)
	if err != nil {
		return fmt.Errorf("open output of tests: %w", err)
	}
	defer tests.Close()
	return checkFailures(string(list), tests, out)
}

// checkFailures compares the tests that failed with the list, which it prints to out. The error names all differences.
func checkFailures(list string, tests io.Reader, out io.Writer) error {
	known, err := parseList(list)
	for _, k := range known {
		fmt.Fprintln(out, "known red:", k.line)
	}
	if err != nil {
		return err
	}
	results, err := readResults(tests)
	if err != nil {
		return err
	}
	var errs []error
	for _, name := range results.failed {
		if !slices.ContainsFunc(known, func(k knownFailure) bool { return k.test == name }) {
			errs = append(errs, fmt.Errorf("%s failed", name))
		}
	}
	for _, k := range known {
		hasFailed := slices.Contains(results.failed, k.test)
		switch {
		case k.isFlaky && !results.hasTested(k.test):
			errs = append(errs, fmt.Errorf("%s is known to fail on some runs, and its package was not tested", k.test))
		case k.isFlaky:
			fmt.Fprintf(out, "flaky: %s, failed in this run: %t\n", k.test, hasFailed)
		case !hasFailed:
			errs = append(errs, fmt.Errorf("%s is known to fail and did not: it passed, or there is no such test", k.test))
		}
	}
	return errors.Join(errs...)
}
