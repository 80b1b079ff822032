package duration

import (
	"strings"
	"testing"
)

func TestSpan_UnmarshalText(t *testing.T) {
	for _, c := range []struct {
		text string
		want Span
		err  string // substring of the expected error; empty: no error is expected
	}{
		{text: "250ms", want: 250_000},
		{text: "1.5s", want: 1_500_000},
		{text: "0s", want: 0},
		{text: "1us", want: 1},
		{text: "1999ns", want: 1},
		{text: "999ns", err: "under a microsecond"},
		{text: "-1s", err: "negative"},
		{text: "10", err: "no time with a unit"},
		{text: "", err: "no time with a unit"},
	} {
		t.Run(c.text, func(t *testing.T) {
			var s Span
			err := s.UnmarshalText([]byte(c.text))
			if c.err != "" {
				if err == nil || !strings.Contains(err.Error(), c.err) {
					t.Errorf("error %v, want one with %q", err, c.err)
				}
				return
			}
			if err != nil || s != c.want {
				t.Errorf("got %d µs and error %v, want %d µs", s, err, c.want)
			}
		})
	}
}

func TestSpan_MarshalTextRoundTrip(t *testing.T) {
	for _, want := range []Span{0, 1, 999, 250_000, 3_600_000_000} {
		text, err := want.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var got Span
		if err := got.UnmarshalText(text); err != nil || got != want {
			t.Errorf("%d is marshaled as %s and unmarshaled as %d, error %v", want, text, got, err)
		}
	}
}
