package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// The largest state that applications can create must fit into a segment. Otherwise every member would retry its
// write forever, without success.
func TestCoordinationState_LargestStateFitsIntoSegment(t *testing.T) {
	store := coordination.New(coordination.Options{})
	name := func(i int) string { return fmt.Sprintf("%06d", i) + strings.Repeat("x", coordination.MaxNameBytes-6) }
	for i := 0; ; i++ {
		answer := store.Execute(0, message.Call{
			Kind: message.CallAcquire, Lock: message.LockName(name(i)), Owner: message.OwnerName(name(i)), HoldMs: 600_000,
		}).Answer
		if answer.Status != coordination.StatusOK {
			require.Equal(t, coordination.StatusInsufficientMemory, answer.Status)
			t.Logf("%d holds", i)
			break
		}
	}
	for i := 0; ; i++ {
		answer := store.Execute(0, message.Call{Kind: message.CallPut, Key: message.KeyName(name(i)), Value: "v"}).Answer
		if answer.Status != coordination.StatusOK {
			require.Equal(t, coordination.StatusInsufficientMemory, answer.Status)
			t.Logf("%d keys", i)
			break
		}
	}
	state := store.Snapshot(0)
	encoded, err := state.MarshalMsg(nil)
	require.NoError(t, err)
	t.Logf("%d bytes", len(encoded))
	assert.Less(t, len(encoded), coordinationSegmentBytes-64<<10, "room for the epoch record and a few writes")
}
