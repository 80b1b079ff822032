package main

import (
	"fmt"
	"regexp"
	"strings"
)

// maxKnownFailures is how many tests may be known to fail.
const maxKnownFailures = 3

// knownFailure is one line of the list.
type knownFailure struct {
	test string // package.Test
	line string
}

var listLine = regexp.MustCompile(`^(\S+\.Test\w*): \S.* \(issue \d+\)$`)

// parseList reads the list. Empty lines and comments, which begin with #, are skipped. With an error it returns what it
// has read so far.
func parseList(text string) (known []knownFailure, err error) {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		match := listLine.FindStringSubmatch(line)
		if match == nil {
			return known, fmt.Errorf("%q is not of the form \"package.Test: cause (issue N)\"", line)
		}
		known = append(known, knownFailure{test: match[1], line: line})
	}
	if len(known) > maxKnownFailures {
		return known, fmt.Errorf("%d tests are known to fail, %d may be", len(known), maxKnownFailures)
	}
	return known, nil
}
