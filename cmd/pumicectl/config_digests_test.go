package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDescribeConfigs_NamesWhoDiffers(t *testing.T) {
	cases := []struct {
		name    string
		configs []configInForce
		want    []string
	}{
		{"none", nil, nil},
		{"alike", []configInForce{{address: "a", version: 3, digest: "x"}, {address: "b", version: 3, digest: "x"}}, nil},
		{"a process of an earlier version", []configInForce{{address: "a", version: 3, digest: "x"}, {address: "b", version: 3}}, nil},
		{"behind", []configInForce{{address: "a", version: 2, digest: "w"}, {address: "b", version: 3, digest: "x"}},
			[]string{"a: has version 2; b has version 3"}},
		{"another text under the same version", []configInForce{{address: "a", version: 3, digest: "x"}, {address: "b", version: 3, digest: "y"}},
			[]string{"b: version 3 differs from that of a: digest y, not x"}},
		{"a document of an earlier version", []configInForce{{address: "a", version: 3, digest: "x", fault: "text after the JSON value"}},
			[]string{"a: version 3 is not valid now: text after the JSON value"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, describeConfigs(c.configs)) })
	}
}
