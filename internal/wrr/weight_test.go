package wrr

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestA58(t *testing.T) {
	assert.InDelta(t, 10/0.5, A58(10, 0.5, 0, 1), 1e-12)
	assert.InDelta(t, 10/(0.5+0.2*3), A58(10, 0.5, 0.2, 3), 1e-12)
}

func TestSlowStart(t *testing.T) {
	assert.InDelta(t, 0.1, SlowStart(0, 1, 100, 0.1, 1), 1e-12, "the floor")
	assert.InDelta(t, 0.25, SlowStart(0, 1, 4, 0.1, 1), 1e-12, "the first second counts as one")
	assert.InDelta(t, 0.5, SlowStart(2, 1, 4, 0.1, 1), 1e-12)
	assert.InDelta(t, 0.25, SlowStart(2, 1, 4, 0.1, 0.5), 1e-12)
	assert.InDelta(t, 1.0, SlowStart(4, 1, 4, 0.1, 1), 1e-12)
	assert.InDelta(t, 1.0, SlowStart(0, 1, 0.5, 0.1, 1), 1e-12, "a window shorter than a second")
	assert.Equal(t, SlowStart(2e6, 1e6, 4e6, 0.1, 2), SlowStart(2, 1, 4, 0.1, 2), "in any unit")
}
