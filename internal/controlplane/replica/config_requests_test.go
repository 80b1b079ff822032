package replica

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConfigRequest_ReadsAndRejectionsAskMajority(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(time.Second)
	c.request(0, http.MethodPut, "0", "\x05x")
	c.transcript = nil
	c.request(0, http.MethodGet, "", "")
	c.request(2, http.MethodPut, "3", "\x09y")
	assert.Equal(t, []string{
		"m2 -> m0: confirm", "m2 -> m1: confirm", "m2 -> m2: confirm",
		"m0 -> m0: confirm", "m0 -> m1: confirm", "m0 -> m2: confirm",
	}, c.transcript)
	require.Len(t, c.responses, 3)
	assert.Equal(t, "\x05x", string(c.responses[1].Body))
	assert.Equal(t, http.StatusPreconditionFailed, c.responses[2].Status)
}
