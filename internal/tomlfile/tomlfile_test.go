package tomlfile

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

const sample = `name = "a"
rate = 2.5

[world]
span = "1s"
sizes = [1, "x"]

[[world.kinds]]
cores = 8

[[world.kinds]]
limits = { least = 1, most = "2" }
`

func TestKeyIndex_Line(t *testing.T) {
	index := IndexKeys([]byte(sample))
	for key, want := range map[string]int{
		"name": 1, "rate": 2, "world": 4, "world.span": 5, "world.sizes.1": 6, "world.kinds.0.cores": 9,
		"world.kinds.1.limits.least": 12,
		"world.kinds.0.absent":       8, // line of the enclosing table
		"world.absent.deep":          4,
		"absent":                     0,
	} {
		if got := index.Line(key); got != want {
			t.Errorf("%s is on line %d, want %d", key, got, want)
		}
	}
}

func TestKeyIndex_HasAndBareNumbers(t *testing.T) {
	index := IndexKeys([]byte(sample))
	for key, want := range map[string]bool{"world": true, "world.kinds": true, "world.kinds.2": false, "world.spa": false} {
		if got := index.Has(key); got != want {
			t.Errorf("Has(%s) is %v", key, got)
		}
	}
	want := []string{"rate", "world.sizes.0", "world.kinds.0.cores", "world.kinds.1.limits.least"}
	if !slices.Equal(index.BareNumbers, want) {
		t.Errorf("bare numbers %v, want %v", index.BareNumbers, want)
	}
}

func TestIndexKeys_InvalidTextKeepsKeysBeforeError(t *testing.T) {
	index := IndexKeys([]byte("a = 1\nb = = 2\nc = 3\n"))
	if !index.Has("a") || index.Has("c") {
		t.Errorf("indexed %v", index.lines)
	}
}

func TestDecode_ErrorsNameFileLineAndKey(t *testing.T) {
	type decoded struct {
		Name  string
		World struct{ Span int }
	}
	for _, c := range []struct {
		name, text, prefix string // the text after prefix comes from the TOML library
	}{
		{"unknown key", "name = \"a\"\n[world]\nspam = 1\n", "f.toml:3: world.spam: there is no such key"},
		{"wrong type", "[world]\nspan = \"x\"\n", "f.toml:2: world.span: cannot decode TOML string"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v decoded
			err := Decode("f.toml", []byte(c.text), &v)
			var fileError *Error
			if !errors.As(err, &fileError) || fileError.File != "f.toml" {
				t.Fatalf("error %v", err)
			}
			if !strings.HasPrefix(err.Error(), c.prefix) {
				t.Errorf("error %q, want one with the prefix %q", err, c.prefix)
			}
		})
	}
}
