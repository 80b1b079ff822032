package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// KeyIndex maps the keys of a file to their lines. A key is a full dotted path, with the keys of the enclosing tables;
// list elements are numbered from 0: "world.kinds.0.cores".
type KeyIndex struct {
	lines map[string]int
	// BareNumbers are the keys whose values are numbers. If one of them is a duration, its unit is missing.
	BareNumbers []string
}

// IndexKeys returns the index of a file's keys. If the text is not valid TOML, the index has the keys before the error.
func IndexKeys(text []byte) *KeyIndex {
	index := &KeyIndex{lines: map[string]int{}}
	elements := map[string]int{} // number of elements so far, by array of tables
	prefix := ""                 // key of the current table and a dot
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		expression := p.Expression()
		key, line := keyAndLine(&p, expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = key + "."
			index.lines[key] = line
		case unstable.ArrayTable:
			element := fmt.Sprintf("%s.%d", key, elements[key])
			elements[key]++
			prefix = element + "."
			index.lines[element] = line
		case unstable.KeyValue:
			index.add(&p, prefix+key, line, expression.Value())
		}
	}
	return index
}

// keyAndLine returns the dotted key of a node and its line.
func keyAndLine(p *unstable.Parser, node *unstable.Node) (key string, line int) {
	var parts []string
	for it := node.Key(); it.Next(); {
		part := it.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = p.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

// add adds a key and the keys inside its value.
func (x *KeyIndex) add(p *unstable.Parser, key string, line int, value *unstable.Node) {
	x.lines[key] = line
	switch value.Kind {
	case unstable.Integer, unstable.Float:
		x.BareNumbers = append(x.BareNumbers, key)
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); i++ {
			x.add(p, fmt.Sprintf("%s.%d", key, i), line, it.Node())
		}
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			inner, innerLine := keyAndLine(p, it.Node())
			x.add(p, key+"."+inner, innerLine, it.Node().Value())
		}
	}
}

// Has reports whether a key, or a key inside it, is in the file.
func (x *KeyIndex) Has(key string) bool {
	for k := range x.lines {
		if k == key || strings.HasPrefix(k, key+".") {
			return true
		}
	}
	return false
}

// Line returns the line of a key. If the file does not have it, Line returns the line of the innermost enclosing key
// that the file has, or 0 if there is none.
func (x *KeyIndex) Line(key string) int {
	for key != "" {
		if line := x.lines[key]; line > 0 {
			return line
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
	return 0
}
