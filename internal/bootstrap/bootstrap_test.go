package bootstrap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sampleFile has an unknown key and omits many optional keys.
const sampleFile = `
node: "a-1"
zone: "a"
ip: "10.1.0.1"
zones: {a: "r"}
listen: {front: "10.1.0.1:80", ready: "10.1.0.1:81"}
portRange: [7000, 7015]
seedNodes: ["10.1.0.1:90"]
stateDir: null
bounds: {drainMs: 2500, retryRatio: 0.25, checksFence: true}
cloud: {address: "10.9.0.1:80", ratePerS: 3.5}
unknown: {x: 1}
`

func TestParse_ReadsSettings(t *testing.T) {
	settings, err := Parse([]byte(sampleFile))
	require.NoError(t, err)
	assert.Equal(t, 7000, settings.FirstPort)
	assert.Equal(t, 2500*time.Millisecond, settings.Bounds.Drain)
	assert.Equal(t, 0.25, settings.Bounds.RetryRatio)
	assert.True(t, settings.Bounds.ChecksFencingTokens)
	assert.Equal(t, 3.5, settings.Platform.MaxCallsPerSecond)
	assert.Empty(t, settings.StateDir, "a null stateDir means that the machine has no disk")
	assert.Equal(t, defaultGracePeriod, settings.Bounds.GracePeriod)
}

func TestParse_ReportsEveryFault(t *testing.T) {
	_, err := Parse([]byte("ip: 3\nportRange: [9, 2]\nseedNodes: \"x\"\n"))
	require.Error(t, err)
	assert.Equal(t, "node: must be given; zone: must be given; ip: a text is wanted; ip: must be given; "+
		"seedNodes: a list is wanted; portRange: two ports in rising order are wanted", err.Error())
	_, err = Parse([]byte("node: [unclosed"))
	assert.ErrorContains(t, err, "not YAML")
}

// A settings file of two documents, or with a key twice, could be read in two ways.
func TestParse_RefusesWhatCanBeReadInTwoWays(t *testing.T) {
	_, err := Parse([]byte(sampleFile + "---\n"))
	require.NoError(t, err, "an empty document after it")
	_, err = Parse([]byte(sampleFile + "---\nnode: other\n"))
	assert.ErrorContains(t, err, "a second YAML document")
	_, err = Parse([]byte(sampleFile + "node: other\n"))
	assert.ErrorContains(t, err, "already defined")
}
