// Package duration reads and writes durations as operators write them in files: "250ms" there, microseconds in the program.
//
// It is a package of its own because packages without a clock use it, such as internal/fleetsim/model, and tools/purity
// forbids them to import a package that reads the clock.
package duration

import (
	"fmt"
	"time"
)

// Span is a duration in microseconds. Its text form is that of time.Duration.
type Span int64

// UnmarshalText implements encoding.TextUnmarshaler. Negative durations and those under a microsecond are errors.
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

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String returns the text form.
func (s Span) String() string { return (time.Duration(s) * time.Microsecond).String() }

// Seconds returns the duration in seconds.
func (s Span) Seconds() float64 { return float64(s) / 1e6 }
