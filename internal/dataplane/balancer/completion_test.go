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
	assert.True(t, waiting, "the only backend must be ejected")
	later := start.Add(initialConnectBackoff)
	b.queue = nil
	probe := newRequest("plain", "", later)
	result, waiting = submit(b, probe, later)
	require.False(t, waiting, "one probe must be sent after the backoff")
	_, waiting = submit(b, newRequest("plain", "", later), later)
	assert.True(t, waiting, "no second probe may be sent while one is in flight")
	b.Finish(probe, result.Backend, Succeeded, time.Millisecond, later)
	assert.Equal(t, later, b.backends["a"].stats.readySince, "a successful probe must begin slow start")
	assert.False(t, b.backends["a"].isUnreachable)
}

// A probe with any response, including an error, shows that the backend is reachable. A probe without a response does
// not.
func TestUnreachableBackend_ProbeOutcomes(t *testing.T) {
	for _, c := range []struct {
		name      string
		outcome   Outcome
		isReached bool
	}{
		{"served", Succeeded, true}, {"error response", ErrorResponse, true}, {"rejected", Rejected, true},
		{"misdirected", Misdirected, true}, {"no response", Failed, false}, {"connect failed", ConnectFailed, false},
		{"canceled", Canceled, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(t, plainBackend("a"))
			b.backends["a"].markUnreachable(start)
			later := start.Add(initialConnectBackoff)
			probe := newRequest("plain", "", later)
			result, waiting := submit(b, probe, later)
			require.False(t, waiting)
			b.Finish(probe, result.Backend, c.outcome, time.Millisecond, later)
			assert.Equal(t, !c.isReached, b.backends["a"].isUnreachable)
		})
	}
}
