package faulttest

import (
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The run delay of this process can be read. A process ID without a process is an error.
func TestRunDelay(t *testing.T) {
	delay, err := RunDelay(os.Getpid())
	require.NoError(t, err)
	assert.GreaterOrEqual(t, int64(delay), int64(0))
	_, err = RunDelay(math.MaxInt32)
	assert.ErrorIs(t, err, os.ErrNotExist)
}
