// Command purity checks that packages of decision logic do not use the clock, the network or files, so that they can be
// simulated and tested with any time and any order of events. CI runs it on tools/purity/packages.txt.
//
//	go run ./tools/purity tools/purity/packages.txt
//
// It prints a line for each finding and exits with code 1 if there is one.
package main

import (
	"fmt"
	"os"
)

const (
	exitFindings = 1
	exitFailure  = 2 // of the command itself: usage, or a file that cannot be read
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: purity FILE")
		os.Exit(exitFailure)
	}
	findings, err := run(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "purity:", err)
		os.Exit(exitFailure)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(exitFindings)
	}
}

// run checks all rules of the list in a file and returns the findings.
func run(name string) ([]string, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	rules, err := readRules(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	var findings []string
	for _, rule := range rules {
		found, err := check(rule)
		if err != nil {
			return nil, fmt.Errorf("check %s: %w", rule.Folder, err)
		}
		findings = append(findings, found...)
	}
	return findings, nil
}
