// Package jsonbound bounds the memory that a JSON text takes once it is decoded. A value such as {} takes a hundred times
// the bytes of its text, so a bound on the text alone does not bound it.
package jsonbound

import (
	"bytes"
	"errors"
)

// ErrTooManyValues is returned for a text that may have more values than are allowed.
var ErrTooManyValues = errors.New("too many JSON values")

// MostValues returns a number that the values of a JSON text do not exceed: each but the first follows a bracket, a comma
// or a colon. Those within strings count too.
func MostValues(text []byte) int {
	values := 1
	for _, separator := range []byte{'[', '{', ',', ':'} {
		values += bytes.Count(text, []byte{separator})
	}
	return values
}

// Allowance is a number of values that several texts may have together.
type Allowance struct{ left int }

// NewAllowance returns an allowance for so many values.
func NewAllowance(values int) *Allowance { return &Allowance{left: values} }

// Take takes the values of a text from the allowance. It returns ErrTooManyValues if there are fewer left.
func (a *Allowance) Take(text []byte) error {
	values := MostValues(text)
	if values > a.left {
		return ErrTooManyValues
	}
	a.left -= values
	return nil
}
