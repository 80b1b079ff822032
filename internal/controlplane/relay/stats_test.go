package relay

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestStatsCountCallsByKindAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		n.members["far"] = answers
		for range 3 {
			_, err := n.relay.Call(t.Context(), acquire)
			require.NoError(t, err)
		}
		_, err := n.relay.Call(t.Context(), watch)
		require.NoError(t, err)
		delete(n.members, "far")
		_, err = n.relay.Call(t.Context(), acquire)
		require.Error(t, err)
		n.candidates = Candidates{}
		_, err = n.relay.Call(t.Context(), message.Call{Kind: message.CallNumber})
		require.Error(t, err)
		stats := n.relay.Stats()
		assert.Equal(t, []CallCount{
			{"acquire", 200, 3}, {"acquire", 504, 1}, {"number", 503, 1}, {"watch", 200, 1},
		}, stats.Calls)
		assert.EqualValues(t, len(n.sent), stats.Requests)
	})
}

func TestStatsMeasureTheLatencyOfAnsweredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.candidates.Issuer = far
		slow := false
		n.members["far"] = func(r sentRequest) *message.CallResponse {
			if slow {
				time.Sleep(50 * time.Millisecond)
			}
			return answers(r)
		}
		for i := range 100 {
			slow = i >= 98
			_, err := n.relay.Call(t.Context(), acquire)
			require.NoError(t, err)
		}
		latencies := n.relay.Stats().Latencies
		require.Len(t, latencies, 1)
		assert.Equal(t, KindName("acquire"), latencies[0].Kind)
		assert.InEpsilon(t, 2, latencies[0].MedianMs, 0.02)
		assert.InEpsilon(t, 52, latencies[0].P99Ms, 0.02)
	})
}

func TestStatsCountWaitingCallsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.relay.options.Send = func(string, *message.Message) {}
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 {
			go func() { _, _ = n.relay.Call(ctx, watch) }()
		}
		go func() { _, _ = n.relay.Call(ctx, acquire) }()
		synctest.Wait()
		stats := n.relay.Stats()
		assert.Equal(t, 1, stats.WaitingCalls)
		assert.Equal(t, 2, stats.WaitingWatches)
		cancel()
		synctest.Wait()
		assert.Zero(t, n.relay.Stats().WaitingWatches)
	})
}

func TestStatsKeepTheirJSONKeys(t *testing.T) {
	encoded, err := json.Marshal(Stats{
		Calls:        []CallCount{{Kind: "put", Status: 412, Count: 3}},
		Latencies:    []CallLatency{{Kind: "put", MedianMs: 1.5, P99Ms: 9}},
		WaitingCalls: 1, WaitingWatches: 2, Requests: 7,
	})
	require.NoError(t, err)
	assert.JSONEq(t, `{"calls":[{"kind":"put","status":412,"count":3}],"latencies":[{"kind":"put","p50Ms":1.5,"p99Ms":9}],
		"waitingCalls":1,"waitingWatches":2,"requests":7}`, string(encoded))
}
