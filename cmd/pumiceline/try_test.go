package main

import (
	"bytes"
	"regexp"
	"testing"
	"time"
)

// While a backend drains and returns, no request is rejected and none fails.
func TestTry_ServesAllRequests(t *testing.T) {
	var out bytes.Buffer
	if err := (&tryCmd{Duration: 3 * time.Second, Rate: 40, Nodes: 3, Level: 12}).Run(output{&out}); err != nil {
		t.Fatal(err)
	}
	if !regexp.MustCompile(`\n(\d+) requests: \d+ served, 0 refused, 0 failed\n$`).MatchString(out.String()) {
		t.Errorf("output ends with:\n%s", out.String())
	}
}
