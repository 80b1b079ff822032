package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPrefillRates_TrackLowQuantile(t *testing.T) {
	rates := prefillRates{}
	r := &Request{Model: "m/a1", PromptTokens: 1000}
	assert.Equal(t, defaultPrefillRate*1000, rates.estimateMs(r))
	for i := range 300 {
		elapsed := 135 * time.Millisecond
		if i%2 == 0 {
			elapsed = time.Second // includes queueing
		}
		rates.observe(r, elapsed)
	}
	assert.InDelta(t, 100, rates.estimateMs(r), 30, "the estimate must not include queueing and overhead")
}
