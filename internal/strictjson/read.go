// Package strictjson reads JSON texts that come from outside and are kept or passed on. It refuses each text that two
// readers of JSON could read as different values, so that all who read the text later agree with who checked it.
package strictjson

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// MaxDepth bounds how deeply the objects and lists of a text are nested.
const MaxDepth = 32

// MaxValues bounds the values of a text. A value takes some ten times the bytes in memory that its text has.
const MaxValues = 1 << 18

// Read returns the value of a text: a map[string]any, []any, string, bool, json.Number or nil. It returns an error unless
// the text is one JSON value to its last byte that every reader reads alike:
//   - it is UTF-8, and no escape in it stands for half of a surrogate pair
//   - no object has a key twice, or two keys that differ in case only: some readers match keys without regard to case
//   - its numbers are finite as 64-bit floating-point numbers
//   - its nesting and the number of its values are within MaxDepth and MaxValues.
func Read(text []byte) (any, error) { return read(text, MaxValues) }

// read reads as Read does, with another bound of the values.
func read(text []byte, maxValues int) (any, error) {
	if !utf8.Valid(text) {
		return nil, errors.New("not UTF-8")
	}
	if hasUnpairedSurrogate(text) {
		return nil, errors.New("an escape that stands for half of a character")
	}
	r := &reader{decoder: json.NewDecoder(bytes.NewReader(text)), maxValues: maxValues}
	r.decoder.UseNumber()
	value, err := r.value("", 0)
	if err != nil {
		return nil, err
	}
	if _, err := r.decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself
		return nil, errors.Errorf("text after the JSON value, from byte %d", r.decoder.InputOffset())
	}
	return value, nil
}

// ReadObject returns the members of a text that Read reads as an object.
func ReadObject(text []byte) (map[string]any, error) {
	value, err := Read(text)
	if err != nil {
		return nil, err
	}
	object, ok := value.(map[string]any)
	if !ok {
		return nil, errors.New("not a whole JSON object: another value")
	}
	return object, nil
}

// reader reads a text and counts its values.
type reader struct {
	decoder   *json.Decoder
	values    int // read so far
	maxValues int
}

// value reads the next value, which stands at a path.
func (r *reader) value(path string, depth int) (any, error) {
	token, err := r.decoder.Token()
	r.values++
	switch {
	case err != nil:
		return nil, errors.Wrap(noEOF(err), "not a whole JSON object")
	case depth > MaxDepth:
		return nil, errors.Errorf("%s: more than %d levels of lists and objects", path, MaxDepth)
	case r.values > r.maxValues:
		return nil, errors.Errorf("%s: the document has more than %d values", orRoot(path), r.maxValues)
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return r.object(path, depth)
		}
		return r.list(path, depth)
	case json.Number:
		if _, err := token.Float64(); err != nil {
			return nil, errors.Errorf("%s: the number %.40s is out of range", orRoot(path), token)
		}
	}
	return token, nil
}

func (r *reader) object(path string, depth int) (map[string]any, error) {
	members, known := map[string]any{}, map[string]string{}
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return nil, errors.Wrap(noEOF(err), "not a whole JSON object")
		}
		key, _ := token.(string) // the decoder accepts no other key
		folded := foldCase(key)
		if other, isKnown := known[folded]; isKnown && other == key {
			return nil, errors.Errorf("%s: the key %q stands twice", orRoot(path), key)
		} else if isKnown {
			return nil, errors.Errorf("%s: the keys %q and %q differ in case only", orRoot(path), other, key)
		}
		known[folded] = key
		if members[key], err = r.value(joinPath(path, key), depth+1); err != nil {
			return nil, err
		}
	}
	return members, r.end()
}

func (r *reader) list(path string, depth int) ([]any, error) {
	items := []any{}
	for r.decoder.More() {
		item, err := r.value(path+"[]", depth+1)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, r.end()
}

// end reads the bracket that ends a list or an object.
func (r *reader) end() error {
	_, err := r.decoder.Token()
	return errors.Wrap(noEOF(err), "not a whole JSON object")
}

// foldCase returns the same text for all texts that differ in case only, as strings.EqualFold compares them.
func foldCase(text string) string {
	return strings.ToLower(strings.ToUpper(text))
}

// noEOF returns io.ErrUnexpectedEOF in place of io.EOF, as the text ends within a value.
func noEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // Token returns io.EOF itself
		return io.ErrUnexpectedEOF
	}
	return err
}

func orRoot(path string) string {
	if path == "" {
		return "the document"
	}
	return path
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
