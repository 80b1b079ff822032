// Package docrefs checks that the paths and symbols that documentation pages name in backticks exist: paths of the
// repository, and symbols of its packages such as `replica.Replica` or `balancer.Balancer.Pick`. Its test runs the
// check on the pages that a newcomer reads first.
package docrefs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

var (
	quotedPattern = regexp.MustCompile("`([^`\n]+)`")
	// symbolPattern matches a package and one or two names: package.Name or package.Type.Member.
	symbolPattern = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)
	pathPattern   = regexp.MustCompile(`^(?:\.ci|cmd|deploy|docs|example|internal|tools)(?:/[\w.-]+)+/?$`)
)

// Index has the names that pages may use: the symbols of each package of a module, by the package's name.
type Index struct {
	root    string
	symbols map[string]map[string]bool
}

// NewIndex reads the module at root. Packages with the same name share an entry.
func NewIndex(root string) (*Index, error) {
	index := &Index{root: root, symbols: map[string]map[string]bool{}}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "journal" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_gen.go") {
			return nil
		}
		return index.addFile(name)
	})
	return index, err
}

func (x *Index) addFile(name string) error {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	known := x.symbols[file.Name.Name]
	if known == nil {
		known = map[string]bool{}
		x.symbols[file.Name.Name] = known
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			known[qualified(d)] = true
		case *ast.GenDecl:
			addSpecs(known, d.Specs)
		}
	}
	return nil
}

// qualified returns a function's name, or Type.Method for a method.
func qualified(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return function.Name.Name
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "." + function.Name.Name
	}
	return function.Name.Name
}

func addSpecs(known map[string]bool, specs []ast.Spec) {
	for _, spec := range specs {
		switch s := spec.(type) {
		case *ast.ValueSpec:
			for _, name := range s.Names {
				known[name.Name] = true
			}
		case *ast.TypeSpec:
			known[s.Name.Name] = true
			addMembers(known, s)
		}
	}
}

func addMembers(known map[string]bool, spec *ast.TypeSpec) {
	var fields *ast.FieldList
	switch t := spec.Type.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			known[spec.Name.Name+"."+name.Name] = true
		}
	}
}

// Check returns a line for each name in backticks on the page that is a path or a symbol of the module and does not
// exist.
func (x *Index) Check(page string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(x.root, page))
	if err != nil {
		return nil, err
	}
	var findings []string
	for number, line := range strings.Split(string(text), "\n") {
		for _, match := range quotedPattern.FindAllStringSubmatch(line, -1) {
			if problem := x.problem(match[1]); problem != "" {
				findings = append(findings, fmt.Sprintf("%s:%d: `%s` %s", page, number+1, match[1], problem))
			}
		}
	}
	return findings, nil
}

// problem returns what is wrong with a name in backticks; empty: nothing, or it is neither a path nor a symbol.
func (x *Index) problem(name string) string {
	if pathPattern.MatchString(name) {
		if _, err := os.Stat(filepath.Join(x.root, name)); err != nil {
			return "does not exist"
		}
		return ""
	}
	match := symbolPattern.FindStringSubmatch(name)
	if match == nil {
		return ""
	}
	known, ok := x.symbols[match[1]]
	if !ok || known[match[2]] {
		return ""
	}
	return "is not a symbol of package " + match[1]
}
