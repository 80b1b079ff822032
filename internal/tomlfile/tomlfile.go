// Package tomlfile reads the files that operators write: strict TOML, with every fault told by file, line and key.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is a fault of an operator's file, with its place. Line is 0 where the key is not in the file.
type Error struct {
	File   string
	Line   int
	Key    string
	Reason string
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.Reason
}

// Decode reads text into v, which holds the defaults. A key that v does not know and a value that does not fit are an
// *Error; path only names the file.
func Decode(path string, text []byte, v any) error {
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v); err != nil {
		return decodeError(path, err)
	}
	return nil
}

func decodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		line, _ := strict.Errors[0].Position()
		return &Error{path, line, strings.Join(strict.Errors[0].Key(), "."), "there is no such key"}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return &Error{path, line, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: ")}
	}
	return &Error{File: path, Reason: err.Error()}
}

// KeyIndex are the keys of a file with the lines on which they stand: "world.kinds.0.cores", with places of lists from 0.
type KeyIndex struct {
	at map[string]int
	// BareNumbers are the keys whose values are bare numbers: where a time belongs, its unit is missing.
	BareNumbers []string
}

// Has says whether a key, or one below it, is in the file.
func (l *KeyIndex) Has(key string) bool {
	for k := range l.at {
		if k == key || strings.HasPrefix(k, key+".") {
			return true
		}
	}
	return false
}

// Line is that of a key, or of the nearest one round it that is in the file; 0: none is.
func (l *KeyIndex) Line(key string) int {
	for key != "" {
		if n := l.at[key]; n > 0 {
			return n
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
	return 0
}

// IndexKeys finds where the keys of a file stand. A text that is no TOML gives what comes before the fault.
func IndexKeys(text []byte) *KeyIndex {
	found, counts, prefix := &KeyIndex{at: map[string]int{}}, map[string]int{}, ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		key, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.Table:
			prefix = key + "."
			found.at[key] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s.%d.", key, counts[key])
			counts[key]++
			found.at[strings.TrimSuffix(prefix, ".")] = line
		case unstable.KeyValue:
			found.add(&p, prefix+key, line, e.Value())
		}
	}
	return found
}

func keyOf(p *unstable.Parser, e *unstable.Node) (key string, line int) {
	var parts []string
	for it := e.Key(); it.Next(); {
		n := it.Node()
		parts = append(parts, string(n.Data))
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

// add notes a key and those inside its value.
func (l *KeyIndex) add(p *unstable.Parser, key string, line int, v *unstable.Node) {
	l.at[key] = line
	switch v.Kind {
	case unstable.Integer, unstable.Float:
		l.BareNumbers = append(l.BareNumbers, key)
	case unstable.Array:
		n := 0
		for it := v.Children(); it.Next(); n++ {
			l.add(p, fmt.Sprintf("%s.%d", key, n), line, it.Node())
		}
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			inner, at := keyOf(p, it.Node())
			l.add(p, key+"."+inner, at, it.Node().Value())
		}
	}
}
