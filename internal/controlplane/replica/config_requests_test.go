package replica

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Before a read or a rejection is answered, a majority must confirm the view.
func TestConfigRequest_ReadsAndRejectionsNeedMajority(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(time.Second)
	c.put(0, 0, testDocument(5, "x"))
	c.transcript = nil
	c.get(0)
	c.put(2, 3, testDocument(9, "y"))
	assert.Equal(t, []string{
		"m2 -> m0: confirm", "m2 -> m1: confirm", "m2 -> m2: confirm",
		"m0 -> m0: confirm", "m0 -> m1: confirm", "m0 -> m2: confirm",
	}, c.transcript)
	require.Len(t, c.responses, 3)
	assert.Equal(t, testDocument(5, "x"), string(c.responses[1].Body))
	assert.Equal(t, http.StatusPreconditionFailed, c.responses[2].Status)
}
