package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestUnreachableBackend_ReturnsAfterProbe(t *testing.T) {
	b := newBalancer(t, plainBackend("a"))
	r := newRequest("plain", "", start)
	result, _ := submit(b, r, start)
	b.Finish(r, result.Backend, ConnectFailed, 0, start)
	_, waiting := submit(b, newRequest("plain", "", start), start)
	assert.True(t, waiting, "it is ejected")
	later := start.Add(initialConnectBackoff)
	b.queue = nil
	probe := newRequest("plain", "", later)
	result, waiting = submit(b, probe, later)
	require.False(t, waiting, "one probe")
	_, waiting = submit(b, newRequest("plain", "", later), later)
	assert.True(t, waiting, "no second one while it is in flight")
	b.Finish(probe, result.Backend, Succeeded, time.Millisecond, later)
	assert.Equal(t, later, b.backends["a"].stats.readySince, "its success begins slow start")
	assert.False(t, b.backends["a"].isUnreachable)
}
