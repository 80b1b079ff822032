package main

import (
	"errors"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Each edit of a variant finds its text or constant exactly once in the variant's file, and the changed file can be
// parsed.
func TestVariantsApply(t *testing.T) {
	for _, v := range slices.Concat(commonVariants, affinityVariants) {
		if v.file == "" {
			continue
		}
		source, err := os.ReadFile(filepath.Join("../..", v.file))
		if err != nil {
			t.Errorf("%s: %v", v.name, err)
			continue
		}
		changed, err := v.apply(string(source))
		if err != nil {
			t.Errorf("%s: %v", v.name, err)
			continue
		}
		if _, err := parser.ParseFile(token.NewFileSet(), v.file, changed, 0); err != nil {
			t.Errorf("%s: %v", v.name, err)
		}
	}
}

func TestEdits(t *testing.T) {
	const source = `package p

const single = 1

const (
	first  = 2.5 // half of five
	second = first * 2
)

func f() int { const inner = 3; return inner }
`
	for name, c := range map[string]struct {
		edit      edit
		old, new  string // of the source; empty: the edit fails
		wantError string
	}{
		"single constant":   {edit: setConstant("single", "7"), old: "single = 1", new: "single = 7"},
		"constant of group": {edit: setConstant("first", "0.5"), old: "first  = 2.5 //", new: "first  = 0.5 //"},
		"expression":        {edit: setConstant("second", "9"), old: "first * 2", new: "9"},
		"unknown constant":  {edit: setConstant("third", "9"), wantError: "0 times"},
		"local constant":    {edit: setConstant("inner", "9"), wantError: "0 times"},
		"text":              {edit: replaceText("return inner", "return 4"), old: "return inner", new: "return 4"},
		"text found twice":  {edit: replaceText("first", "x"), wantError: "2 times"},
	} {
		got, err := c.edit(source)
		if c.wantError != "" {
			if err == nil || !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("%s: %v, want %q", name, err, c.wantError)
			}
			continue
		}
		if want := strings.Replace(source, c.old, c.new, 1); err != nil || got != want {
			t.Errorf("%s: %v\n%s", name, err, got)
		}
	}
}

func TestVariantWithoutChange(t *testing.T) {
	v := variant{"same", "p.go", []edit{setConstant("c", "1")}}
	if _, err := v.apply("package p\n\nconst c = 1\n"); !errors.Is(err, errNoChange) {
		t.Errorf("a variant that changes nothing: %v", err)
	}
}
