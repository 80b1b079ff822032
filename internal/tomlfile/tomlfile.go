// Package tomlfile reads files that operators write, in strict TOML: every error names the file, line and key.
package tomlfile

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is an error in an operator's file, with its location.
type Error struct {
	File   string
	Line   int    // from 1; 0: the key is not in the file
	Key    string // full dotted path; empty: the error does not concern a single key
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		location += ": " + e.Key
	}
	return location + ": " + e.Reason
}

// Decode decodes text into v, which holds the defaults. Every error is an *Error, for example for a key that v does not
// have or a value that does not fit. path is the file's name in errors; the file itself is not read.
func Decode(path string, text []byte, v any) error {
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v); err != nil {
		return decodeError(path, err)
	}
	return nil
}

// decodeError converts an error of the TOML library to an *Error.
func decodeError(path string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return &Error{File: path, Line: line, Key: strings.Join(first.Key(), "."), Reason: "there is no such key"}
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		reason := strings.TrimPrefix(invalid.Error(), "toml: ")
		return &Error{File: path, Line: line, Key: strings.Join(invalid.Key(), "."), Reason: reason}
	}
	return &Error{File: path, Reason: err.Error()}
}
