package configuration

import (
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxDepth bounds how deeply the objects and lists of a document are nested.
const maxDepth = 32

// maxValues bounds the values of a document. A value takes some ten times the bytes in memory that its text has.
const maxValues = 1 << 18

// checkStrictJSON returns an error unless a text is one JSON value to its last byte that every reader reads alike: it is
// UTF-8, no object has a key twice, and its nesting and the number of its values are bounded.
func checkStrictJSON(text []byte) error {
	if !utf8.Valid(text) {
		return errors.New("not UTF-8")
	}
	decoder := &strictDecoder{Decoder: json.NewDecoder(bytes.NewReader(text))}
	decoder.UseNumber()
	if err := checkValue(decoder, "", 0); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself
		return errors.Errorf("text after the JSON value, from byte %d", decoder.InputOffset())
	}
	return nil
}

// strictDecoder reads a document and counts its values.
type strictDecoder struct {
	*json.Decoder
	values int
}

// checkValue checks the next value of a decoder, which stands at a path.
func checkValue(decoder *strictDecoder, path string, depth int) error {
	token, err := decoder.Token()
	decoder.values++
	switch {
	case err != nil:
		return errors.Wrap(noEOF(err), "not a whole JSON object")
	case depth > maxDepth:
		return errors.Errorf("%s: more than %d levels of lists and objects", path, maxDepth)
	case decoder.values > maxValues:
		return errors.Errorf("%s: the document has more than %d values", orRoot(path), maxValues)
	}
	switch token {
	case json.Delim('{'):
		return checkObject(decoder, path, depth)
	case json.Delim('['):
		return checkList(decoder, path, depth)
	}
	return nil
}

func checkObject(decoder *strictDecoder, path string, depth int) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return errors.Wrap(noEOF(err), "not a whole JSON object")
		}
		key, _ := token.(string) // the decoder accepts no other key
		if seen[key] {
			return errors.Errorf("%s: the key %q stands twice", orRoot(path), key)
		}
		seen[key] = true
		if err := checkValue(decoder, joinPath(path, key), depth+1); err != nil {
			return err
		}
	}
	return checkEnd(decoder)
}

func checkList(decoder *strictDecoder, path string, depth int) error {
	for decoder.More() {
		if err := checkValue(decoder, path+"[]", depth+1); err != nil {
			return err
		}
	}
	return checkEnd(decoder)
}

// checkEnd reads the bracket that ends a list or an object.
func checkEnd(decoder *strictDecoder) error {
	_, err := decoder.Token()
	return errors.Wrap(noEOF(err), "not a whole JSON object")
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
