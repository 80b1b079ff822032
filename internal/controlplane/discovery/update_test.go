package discovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func listOf(entries ...message.Backend) *BackendList {
	list := &BackendList{Backends: entries}
	list.SetDigest()
	return list
}

func TestApplyUpdate_ResultEqualsNewerList(t *testing.T) {
	a, b, c := message.Backend{ID: "a"}, message.Backend{ID: "b"}, message.Backend{ID: "c"}
	loaded := b
	loaded.Models = []message.LoadedModel{{Name: "m"}}
	before, after := listOf(c, a, b), listOf(loaded, a, message.Backend{ID: "d"})
	update := after.UpdateSince(before)
	assert.Len(t, update.Backends, 2, "only what changed")
	assert.Equal(t, []message.BackendID{"c"}, update.Removed)
	next, ok := ApplyUpdate(before, update)
	require.True(t, ok)
	assert.Equal(t, after.Backends, next.Backends)
	_, ok = ApplyUpdate(listOf(a), update)
	assert.False(t, ok, "another base")
	_, ok = ApplyUpdate(nil, update)
	assert.False(t, ok, "no base")
	full, ok := ApplyUpdate(nil, after.FullUpdate())
	require.True(t, ok)
	assert.Equal(t, after.Digest, full.Digest)
	update.Removed = nil
	_, ok = ApplyUpdate(before, update)
	assert.False(t, ok, "the result has another digest than the update names")
}
