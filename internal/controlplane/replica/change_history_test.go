package replica

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A change whose delta does not result in a document with the recorded digest is rejected and leaves the state
// unchanged.
func TestApplyChange_RejectsMismatch(t *testing.T) {
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
