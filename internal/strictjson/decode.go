package strictjson

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned for a text that is longer than its bound.
var ErrTooLarge = errors.New("longer than its bound")

// maxFileValues bounds the values of a text that a file of the machine has.
const maxFileValues = 1 << 22

// Unmarshal decodes the text of a file into a struct as encoding/json does, and returns an error if Read would not accept
// the text for another reason than its number of values. The struct must not be used then.
func Unmarshal(text []byte, target any) error {
	if err := json.Unmarshal(text, target); err != nil {
		return err
	}
	_, err := read(text, maxFileValues)
	return err
}

// Decode reads a text of at most maxBytes to its end and decodes it as encoding/json does, if Read accepts it.
func Decode(source io.Reader, maxBytes int64, target any) error {
	text, err := io.ReadAll(io.LimitReader(source, maxBytes+1))
	switch {
	case err != nil:
		return err
	case int64(len(text)) > maxBytes:
		return ErrTooLarge
	}
	if _, err := Read(text); err != nil {
		return err
	}
	return json.Unmarshal(text, target)
}
