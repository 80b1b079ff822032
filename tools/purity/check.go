package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	modulePrefix    = "pumiceline/"
	durationPackage = "pumiceline/internal/duration" // parses and formats durations; never reads the clock
)

// forbiddenImports are the packages that no package on the list may import, nor the packages below them.
var forbiddenImports = []string{"net", "os", "syscall"}

// clockFunctions are the functions of package time that read the clock or wait.
var clockFunctions = map[string]bool{
	"After": true, "AfterFunc": true, "NewTicker": true, "NewTimer": true, "Now": true, "Since": true, "Sleep": true,
	"Tick": true, "Until": true,
}

// check returns a package's violations of its rule, each with its position.
func check(rule Rule) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(rule.Folder, "*.go"))
	if err != nil {
		return nil, err
	}
	var findings []string
	checked := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") || rule.Except[filepath.Base(file)] {
			continue
		}
		checked++
		found, err := checkFile(file)
		if err != nil {
			return nil, err
		}
		findings = append(findings, found...)
	}
	if checked == 0 {
		return nil, fmt.Errorf("no Go file in %s", rule.Folder)
	}
	if rule.Level == NoTime {
		found, err := checkDependencies(rule.Folder)
		if err != nil {
			return nil, err
		}
		findings = append(findings, found...)
	}
	return findings, nil
}

// checkFile returns the forbidden imports of one file, and its uses of the clock.
func checkFile(name string) ([]string, error) {
	positions := token.NewFileSet()
	file, err := parser.ParseFile(positions, name, nil, 0)
	if err != nil {
		return nil, err
	}
	var findings []string
	paths := map[string]string{} // import paths, by the name that the file uses for the package
	for _, imported := range file.Imports {
		path, err := strconv.Unquote(imported.Path.Value)
		if err != nil {
			return nil, err
		}
		name := packageName(imported, path)
		paths[name] = path
		if isForbidden(path) && (path != "net/http" || name == "_" || name == ".") {
			findings = append(findings, fmt.Sprintf("%s: imports %s", positions.Position(imported.Pos()), path))
		}
	}
	return append(findings, forbiddenUses(file, positions, paths)...), nil
}

// packageName returns the name that the file uses for an imported package. If the import gives no name, it assumes the
// last element of the path.
func packageName(imported *ast.ImportSpec, path string) string {
	if imported.Name != nil {
		return imported.Name.Name
	}
	return path[strings.LastIndex(path, "/")+1:]
}

// forbiddenUses returns the file's uses of names that isForbiddenUse reports. paths has its import paths, by the names
// that the file uses for them.
func forbiddenUses(file *ast.File, positions *token.FileSet, paths map[string]string) (findings []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		qualifier, ok := selector.X.(*ast.Ident)
		if !ok {
			return true
		}
		if path, name := paths[qualifier.Name], selector.Sel.Name; isForbiddenUse(path, name) {
			findings = append(findings, fmt.Sprintf("%s: uses %s.%s", positions.Position(node.Pos()), path, name))
		}
		return true
	})
	return findings
}

// isForbiddenUse reports whether a name of a package reads the clock, waits, or uses the network. The status and method
// names of net/http are allowed: they are constants.
func isForbiddenUse(path, name string) bool {
	switch path {
	case "time":
		return clockFunctions[name]
	case "net/http":
		return !strings.HasPrefix(name, "Status") && !strings.HasPrefix(name, "Method")
	default:
		return false
	}
}

func isForbidden(path string) bool {
	for _, forbidden := range forbiddenImports {
		if path == forbidden || strings.HasPrefix(path, forbidden+"/") {
			return true
		}
	}
	return false
}

// checkDependencies returns the imports of time, net, os and syscall in the package and in those of this module that it
// depends on.
func checkDependencies(folder string) ([]string, error) {
	const format = `{{if not .Standard}}{{$p := .ImportPath}}{{range .Imports}}{{$p}} {{.}}{{"\n"}}{{end}}{{end}}`
	out, err := exec.Command("go", "list", "-deps", "-f", format, "./"+filepath.ToSlash(folder)).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var findings []string
	for line := range strings.Lines(string(out)) {
		importer, path, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || !strings.HasPrefix(importer, modulePrefix) {
			continue
		}
		isTime := path == "time" && importer != durationPackage
		if isTime || isForbidden(path) {
			findings = append(findings, fmt.Sprintf("%s: depends on %s, which imports %s", folder, importer, path))
		}
	}
	return findings, nil
}
