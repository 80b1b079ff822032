// Package duration converts between durations in files that operators write, such as "250ms", and microseconds in the
// program.
//
// It is a separate package because packages that must not read a clock, such as internal/fleetsim/model, import it.
// tools/purity forbids these to import a package that reads the clock.
package duration

import (
	"fmt"
	"time"
)

// Span is a duration in microseconds. Its text form is that of time.Duration.
type Span int64

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for a negative duration and for one between
// zero and a microsecond. It truncates a longer one to whole microseconds.
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
