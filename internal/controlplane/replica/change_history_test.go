package replica

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A member that was away for many changes takes the state in one message, however many there were.
func TestAMemberCatchesUpAfterThousandsOfChanges(t *testing.T) {
	for _, count := range []int{1000, 10_000} {
		g := newGroup(t, 3)
		g.tick(2 * time.Second)
		g.absent = []int{2}
		g.tick(2*time.Second, 2)
		head := g.members[0]
		for i := range count {
			document := fmt.Appendf(nil, `{"version":%d}`, i+1)
			change := message.Change{Version: uint64(i + 1), Base: uint64(i), Digest: fmt.Appendf(nil, "%016d", i)}
			require.NoError(t, head.applyChange(newChangeRecord(&head.chain, change, document, head.View().Number)))
			g.members[1].chain = head.chain
		}
		head.takeOutput()
		head.forwardToSuccessor(nil)
		g.take(head.takeOutput())
		g.deliver(2)
		restarted := New(g.members[2].options, accept, g.now, g.members[2].control, g.members[2].chain)
		g.members[2], g.absent = restarted, nil
		g.lines = nil
		g.tick(2 * time.Second)
		assert.Equal(t, uint64(count), restarted.CommittedState().Version)
		assert.LessOrEqual(t, len(restarted.chain.History), maxHistory)
		assert.True(t, restarted.IsSynced())
		g.call(2, http.MethodGet, "", "")
		require.Len(t, g.results, 1)
		assert.Equal(t, fmt.Sprintf(`{"version":%d}`, count), string(g.results[0].Body))
	}
}

// A change that does not make the document that it says leaves the state as it is.
func TestAChangeThatDoesNotFitChangesNothing(t *testing.T) {
	state := message.ChainState{Digest: []byte("d"), Document: []byte("old document")}
	record := newChangeRecord(&state, message.Change{Version: 2, Digest: []byte("x")}, []byte("new document"), 1)
	broken := *record
	broken.Delta = []byte{0, 200, 1, 0}
	_, err := ApplyChange(&state, &broken)
	assert.Error(t, err)
	broken = *record
	broken.DocumentDigest = []byte("other")
	_, err = ApplyChange(&state, &broken)
	assert.Error(t, err)
	broken = *record
	broken.Previous = []byte("e")
	_, err = ApplyChange(&state, &broken)
	assert.ErrorIs(t, err, ErrBaseMismatch)
	next, err := ApplyChange(&state, record)
	require.NoError(t, err)
	assert.Equal(t, "new document", string(next.Document))
	assert.Equal(t, "old document", string(state.Document))
}
