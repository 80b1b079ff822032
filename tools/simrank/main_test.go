package main

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Every variant finds its text exactly once in the file that it names, and leaves a file that can be parsed.
func TestVariantsApply(t *testing.T) {
	for _, v := range slices.Concat(variants, keyed) {
		if v.file == "" {
			continue
		}
		text, err := os.ReadFile(filepath.Join("../..", v.file))
		if err != nil {
			t.Errorf("%s: %v", v.name, err)
			continue
		}
		if n := strings.Count(string(text), v.old); n != 1 {
			t.Errorf("%s: %s has %q %d times, want once", v.name, v.file, v.old, n)
		}
		changed := strings.Replace(string(text), v.old, v.new, 1)
		if _, err := parser.ParseFile(token.NewFileSet(), v.file, changed, 0); err != nil || changed == string(text) {
			t.Errorf("%s: the changed file: %v", v.name, err)
		}
	}
}
