package distribution

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A subscriber that has an earlier configuration gets a delta. If the delta does not apply, it requests the full
// document.
func TestConfigCopy_AppliesDeltas(t *testing.T) {
	hub := newServingHub(t)
	routes := strings.Repeat(`{"name":"route","host":"h.example","pathStart":"/a/"},`, 100)
	first := message.ConfigUpdate{Sequence: 1, Document: []byte(`{"version":1,"routes":[` + routes + `]}`)}
	second := message.ConfigUpdate{Sequence: 2, Document: []byte(`{"version":2,"routes":[` + routes + `]}`)}
	hub.SetConfig(first)
	var copied ConfigCopy
	document, isNewer := copied.Apply(poll(t, hub, "p", message.PollRequest{}).Config)
	require.True(t, isNewer)
	assert.Equal(t, first.Document, document)
	hub.SetConfig(second)
	update := poll(t, hub, "p", message.PollRequest{ConfigSequence: copied.KnownSequence()}).Config
	assert.Empty(t, update.Document)
	assert.Less(t, len(update.Delta), 100)

	other := ConfigCopy{sequence: 1, document: []byte("other")}
	_, isNewer = other.Apply(update)
	assert.False(t, isNewer)
	assert.Equal(t, uint64(1), other.Sequence(), "a delta that does not apply leaves the copy as it is")
	document, isNewer = other.Apply(poll(t, hub, "p", message.PollRequest{ConfigSequence: other.KnownSequence()}).Config)
	assert.True(t, isNewer)
	assert.Equal(t, second.Document, document)

	document, isNewer = copied.Apply(update)
	require.True(t, isNewer)
	assert.Equal(t, second.Document, document)
	_, isNewer = copied.Apply(&first)
	assert.False(t, isNewer, "the sequence never decreases")
}
