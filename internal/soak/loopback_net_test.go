package soak

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Two runs at a time never share addresses, also where their process IDs select the same network.
func TestClaimLoopbackNet_IsExclusive(t *testing.T) {
	first, err := claimLoopbackNet()
	require.NoError(t, err)
	second, err := claimLoopbackNet()
	require.NoError(t, err)
	assert.NotEqual(t, first.address(0), second.address(0))
	assert.NotEqual(t, first.address(0), first.address(1))
	first.close()
	second.close()
	again, err := claimLoopbackNet()
	require.NoError(t, err)
	defer again.close()
	assert.Equal(t, first.address(addressesPerSubnet), again.address(addressesPerSubnet), "a closed network is free again")
}
