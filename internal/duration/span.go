// Package duration reads and writes times as operators write them: microseconds in the program, "250ms" in files.
//
// It is apart from package model so that nothing there imports the package that also holds the real clock.
package duration

import (
	"fmt"
	"time"
)

// Span is a length of time in microseconds.
type Span int64

// UnmarshalText reads a Go duration such as "1.5s"; less than a microsecond and negative ones are errors.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	switch {
	case err != nil:
		return fmt.Errorf("%q is no time with a unit (such as 250ms or 10s)", text)
	case d < 0:
		return fmt.Errorf("%q is negative", text)
	case d > 0 && d < time.Microsecond:
		return fmt.Errorf("%q is under a microsecond", text)
	}
	*s = Span(d.Microseconds())
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Span) String() string { return (time.Duration(s) * time.Microsecond).String() }

// Seconds is the span in seconds.
func (s Span) Seconds() float64 { return float64(s) / 1e6 }
