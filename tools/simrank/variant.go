package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

const (
	policyFolder     = "internal/standalone/policy/"
	concurrencyLimit = "internal/standalone/concurrency/limit.go"
)

// variant is the policy with edits in one file, or the unchanged policy if it has no file. The names match those in
// earlier reports.
type variant struct {
	name  string
	file  string
	edits []edit
}

var commonVariants = []variant{
	{name: "as it is"},
	{"look-ahead 1", policyFolder + "schedule.go", []edit{setConstant("maxCandidates", "1")}},
	{"look-ahead 3", policyFolder + "schedule.go", []edit{setConstant("maxCandidates", "3")}},
	{"aggression 4", policyFolder + "slowstart.go", []edit{setConstant("aggression", "4.0")}},
	{"blackout 20 s", policyFolder + "weights.go", []edit{setConstant("blackoutPeriod", "20_000_000")}},
	{"cold load 0.7", policyFolder + "slowstart.go", []edit{setConstant("maxWarmupLoad", "0.7")}},
	{"roam from 0.05", policyFolder + "locality.go", []edit{setConstant("homeZoneUtilization", "0.05")}},
	{"crowded at 0.2 of the aim", policyFolder + "admission.go", []edit{setConstant("congestedTargetShare", "0.2")}},
	{"crowded borne 0.1", concurrencyLimit, []edit{setConstant("ToleratedCongestion", "0.1")}},
	{"slow from 1.5", policyFolder + "outlier.go", []edit{setConstant("slowFactor", "1.5")}},
	{"crowded at 1.2 times calm", policyFolder + "admission.go", []edit{setConstant("congestedUnloadedFactor", "1.2")}},
}

// affinityVariants matter only where the deployment has affinity keys.
var affinityVariants = []variant{
	{"a cold key for 1", policyFolder + "schedule.go",
		[]edit{setConstant("minAffinityPenalty", "1.0"), setConstant("affinityPenaltyPerLoad", "0.0")}},
	{"no keys", policyFolder + "schedule.go",
		[]edit{replaceText("r.affinityKey == 0 || !b.settings.KeyAffinity", "true")}},
}

// edit changes the text of a Go file. It returns an error unless the text or constant to change occurs exactly once.
type edit func(source string) (string, error)

// replaceText returns an edit that replaces a text.
func replaceText(old, replacement string) edit {
	return func(source string) (string, error) {
		if n := strings.Count(source, old); n != 1 {
			return "", fmt.Errorf("%q is there %d times, not once", old, n)
		}
		return strings.Replace(source, old, replacement, 1), nil
	}
}

// setConstant returns an edit that replaces the value of a package-level constant.
func setConstant(name, value string) edit {
	return func(source string) (string, error) {
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, "", source, parser.SkipObjectResolution)
		if err != nil {
			return "", err
		}
		values := constantValues(file, name)
		if len(values) != 1 {
			return "", fmt.Errorf("constant %s is there %d times, not once", name, len(values))
		}
		start, end := files.Position(values[0].Pos()).Offset, files.Position(values[0].End()).Offset
		return source[:start] + value + source[end:], nil
	}
}

// constantValues returns the values of the package-level constants with the given name.
func constantValues(file *ast.File, name string) (values []ast.Expr) {
	for _, declaration := range file.Decls {
		constants, ok := declaration.(*ast.GenDecl)
		if !ok || constants.Tok != token.CONST {
			continue
		}
		for _, spec := range constants.Specs {
			s, ok := spec.(*ast.ValueSpec)
			if !ok {
				continue
			}
			i := slices.IndexFunc(s.Names, func(id *ast.Ident) bool { return id.Name == name })
			if i >= 0 && i < len(s.Values) {
				values = append(values, s.Values[i])
			}
		}
	}
	return values
}

// errNoChange means that a variant's edits leave the policy unchanged.
var errNoChange = errors.New("the edits change nothing")

// apply returns the variant's text of its file.
func (v *variant) apply(source string) (string, error) {
	changed := source
	for _, e := range v.edits {
		var err error
		if changed, err = e(changed); err != nil {
			return "", fmt.Errorf("%s: %w", v.file, err)
		}
	}
	if changed == source {
		return "", fmt.Errorf("%s: %w", v.file, errNoChange)
	}
	return changed, nil
}

// build builds benchlink, which the operators' simulator runs, and pumiceline, which has fleetsim, with the variant's
// policy into the folder bin.
func (v *variant) build(bin string) error {
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return fmt.Errorf("make folder of programs: %w", err)
	}
	args := []string{"build", "-buildvcs=false", "-o", bin + "/"}
	if v.file != "" {
		overlay, err := v.writeOverlay(bin)
		if err != nil {
			return err
		}
		args = append(args, "-overlay", overlay)
	}
	out, err := exec.Command("go", append(args, "./cmd/benchlink", "./cmd/pumiceline")...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w: %s", err, out)
	}
	return nil
}

// writeOverlay writes the changed file and the overlay that go build takes, and returns the overlay's path.
func (v *variant) writeOverlay(folder string) (path string, err error) {
	source, err := os.ReadFile(v.file)
	if err != nil {
		return "", fmt.Errorf("read source: %w", err)
	}
	changed, err := v.apply(string(source))
	if err != nil {
		return "", err
	}
	changedPath := filepath.Join(folder, "changed.go")
	if err := os.WriteFile(changedPath, []byte(changed), 0o644); err != nil {
		return "", fmt.Errorf("write changed source: %w", err)
	}
	original, err := filepath.Abs(v.file)
	if err != nil {
		return "", fmt.Errorf("resolve path of source: %w", err)
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{original: changedPath}})
	if err != nil {
		return "", fmt.Errorf("encode overlay: %w", err)
	}
	path = filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(path, overlay, 0o644); err != nil {
		return "", fmt.Errorf("write overlay: %w", err)
	}
	return path, nil
}
