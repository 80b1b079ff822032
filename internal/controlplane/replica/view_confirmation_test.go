package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A coordinator serves proxies only while a majority has confirmed that its view is the newest.
func TestViewConfirmation_PartitionedMemberServesNoProxies(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	require.Greater(t, c.members[2].ServingUntil(), c.now)
	c.dropMessage = func(m *message.Message) bool { return (m.ToAddress == "m2") != (m.FromAddress == "m2") }
	c.advance(confirmLifetime + confirmInterval)
	assert.LessOrEqual(t, c.members[2].ServingUntil(), c.now)
	assert.Greater(t, c.members[0].ServingUntil(), c.now)
}
