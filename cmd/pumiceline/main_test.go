package main

import (
	"bytes"
	"strings"
	"testing"
)

const exampleConfig = "../../example/config.json"

func TestCheckAndVersion(t *testing.T) {
	t.Setenv("ROUTER_LISTEN", "")
	var out bytes.Buffer
	if err := (&checkCmd{Config: exampleConfig}).Run(output{&out}); err != nil ||
		!strings.Contains(out.String(), "try listens on 127.0.0.1:7070") {
		t.Errorf("%q, %v", out.String(), err)
	}
	if err := (&checkCmd{Config: "nowhere"}).Run(output{&out}); err == nil {
		t.Error("check accepts a missing file")
	}
	out.Reset()
	if err := (versionCmd{}).Run(output{&out}); err != nil || !strings.HasPrefix(out.String(), "pumiceline ") {
		t.Errorf("%q, %v", out.String(), err)
	}
}
