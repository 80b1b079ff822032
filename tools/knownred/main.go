// Command knownred judges a run of go test by KNOWN-RED.txt: tests that are known to fail for a real fault, each on a line of its
// own, "package.Test: cause (issue N)". The run passes where just these have failed, and they are printed. It fails on any other
// failure, on a test of the list that passed or that nobody knows, and on a list of more than three.
//
//	go test ./... | tee tests.txt; go run ./tools/knownred KNOWN-RED.txt tests.txt
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

// most is how many tests may be known to fail.
const most = 3

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred KNOWN-RED.txt TESTS.txt")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run judges the output of go test in the file tests by the list in the file known; no such list is an empty one.
func run(known, tests string, out io.Writer) error {
	list, err := os.ReadFile(known)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("the list: %w", err)
	}
	text, err := os.Open(tests)
	if err != nil {
		return fmt.Errorf("the tests' output: %w", err)
	}
	defer text.Close()
	return judge(string(list), text, out)
}

var line = regexp.MustCompile(`^(\S+\.Test\w*): \S.* \(issue \d+\)$`)

func judge(list string, tests io.Reader, out io.Writer) error {
	var red []string
	for _, l := range strings.Split(list, "\n") {
		if l = strings.TrimSpace(l); l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		m := line.FindStringSubmatch(l)
		if m == nil {
			return fmt.Errorf("%q is not of the form \"package.Test: cause (issue N)\"", l)
		}
		red = append(red, m[1])
		fmt.Fprintln(out, "known red:", l)
	}
	if len(red) > most {
		return fmt.Errorf("%d tests are known to fail, %d may be", len(red), most)
	}
	failed, err := failures(tests)
	if err != nil {
		return err
	}
	var all []error
	for _, name := range failed {
		if !slices.Contains(red, name) {
			all = append(all, fmt.Errorf("%s failed", name))
		}
	}
	for _, name := range red {
		if !slices.Contains(failed, name) {
			all = append(all, fmt.Errorf("%s is known to fail and did not: it passed, or there is no such test", name))
		}
	}
	return errors.Join(all...)
}

// failures are the tests that go test says have failed, as package.Test. A package that failed without one (it was not built, it
// panicked, its time was up) stands there by its name alone, whatever else it said: tests after that point never ran.
func failures(tests io.Reader) (all []string, err error) {
	var here []string // of the package whose end is still to come
	broken := false
	packages := 0
	sc := bufio.NewScanner(tests)
	sc.Buffer(nil, 16<<20)
	for sc.Scan() {
		l := sc.Text()
		word, rest, _ := strings.Cut(l, "\t")
		switch {
		case strings.HasPrefix(l, "--- FAIL: "):
			here = append(here, strings.Fields(l)[2])
		case strings.HasPrefix(l, "panic: ") || strings.HasPrefix(l, "fatal error: ") || strings.HasPrefix(l, "exit status "):
			broken = true
		case word == "FAIL" && rest != "":
			name, _, _ := strings.Cut(rest, "\t")
			name, _, _ = strings.Cut(name, " ")
			if broken || len(here) == 0 {
				all = append(all, name)
			}
			for _, test := range here {
				all = append(all, name+"."+test)
			}
			here, broken = nil, false
			packages++
		case strings.TrimSpace(word) == "ok":
			here, broken = nil, false
			packages++
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("the tests' output: %w", err)
	}
	if len(here) > 0 || broken {
		return nil, errors.New("the tests' output breaks off")
	}
	if packages == 0 {
		return nil, errors.New("no test was run")
	}
	return all, nil
}
