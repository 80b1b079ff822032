package inflight

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

func TestIsSignificantChange(t *testing.T) {
	for _, c := range []struct {
		name          string
		last, current message.BackendLoad
		want          bool
	}{
		{"nothing changed", load("b", 10, 100), load("b", 10, 100), false},
		{"one request more", load("b", 1, 0), load("b", 2, 0), false},
		{"2 of 10 requests more", load("b", 10, 0), load("b", 12, 0), true},
		{"2 of 100 requests more", load("b", 100, 0), load("b", 102, 0), false},
		{"15 of 100 requests less", load("b", 100, 0), load("b", 85, 0), true},
		{"the last request ends", load("b", 1, 0), load("b", 0, 0), true},
		{"queued prefill changes below the threshold", load("b", 1, 100), load("b", 1, 159), false},
		{"queued prefill changes by the threshold", load("b", 1, 100), load("b", 1, 40), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, isSignificantChange(c.last, c.current))
		})
	}
}

func TestDeltaEncoder_SendsUnchangedLoadsOnce(t *testing.T) {
	var encoder DeltaEncoder
	var decoder DeltaDecoder
	totals := []message.BackendLoad{load("a", 3, 0), load("b", 0, 200)}
	first := encoder.Next(decoder.Version(), totals)
	assert.True(t, first.Complete)
	assert.ElementsMatch(t, totals, decoder.Apply(first))
	second := encoder.Next(decoder.Version(), totals)
	assert.Empty(t, second.Loads)
	assert.False(t, second.Complete)
	assert.Equal(t, first.Version, second.Version)
	assert.ElementsMatch(t, totals, decoder.Apply(second))
}
