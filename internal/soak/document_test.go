package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/fake/fakesystem"
	"pumiceline/internal/message"
)

// The configuration parser accepts the body of a PUT, and rejects the one that is meant to be invalid.
func TestPutBody_IsInvalidOnRequestOnly(t *testing.T) {
	body, err := putBody(3, "marker1", false)
	require.NoError(t, err)
	config, err := configuration.Parse(body)
	require.NoError(t, err)
	assert.Len(t, config.Routes, 4)
	version, marker, err := readMarker(body)
	assert.NoError(t, err)
	assert.Equal(t, uint64(3), version)
	assert.Equal(t, "marker1", marker)
	invalid, err := putBody(3, "marker1", true)
	require.NoError(t, err)
	_, err = configuration.Parse(invalid)
	assert.ErrorContains(t, err, "unknown")
}

// A patched configuration has only the marker of the patch.
func TestPatchBody_ReplacesMarker(t *testing.T) {
	document, err := putBody(3, "marker1", false)
	require.NoError(t, err)
	body, err := patchBody(5, "marker2", "marker1")
	require.NoError(t, err)
	result := configuration.Validate(&message.ChainState{Version: 3, Document: document},
		&message.ConfigRequest{Method: "PATCH", IfMatch: "3", Body: body})
	require.Equal(t, statusOK, result.Status)
	version, marker, err := readMarker(result.Document)
	assert.NoError(t, err)
	assert.Equal(t, uint64(5), version)
	assert.Equal(t, "marker2", marker)
}

// The programs' parser accepts the settings of nodes, with the bounds that the checkers use.
func TestNode_SettingsAreValid(t *testing.T) {
	fleet, err := newFleet(NewShape(12, time.Minute), "programs", t.TempDir(), &fakesystem.Platform{}, newRecorder(StatedBounds()))
	require.NoError(t, err)
	t.Cleanup(fleet.close)
	hasDisk := map[string]bool{} // by address: machines with a coordinator
	for _, n := range fleet.nodes {
		hasDisk[n.IP] = hasDisk[n.IP] || n.role == RoleCoordinator
	}
	for _, n := range fleet.nodes {
		command, err := n.command(fleet.dir)
		require.NoError(t, err)
		t.Setenv(bootstrap.EnvironmentVariable, settingsPath(command.Env))
		settings, err := bootstrap.Load()
		require.NoError(t, err)
		assert.Equal(t, n.Name, settings.Node)
		assert.Equal(t, StatedBounds().Grace, settings.Bounds.GracePeriod)
		assert.Equal(t, hasDisk[n.IP], settings.StateDir != "")
		assert.True(t, settings.FirstStart)
	}
}

func settingsPath(environment []string) string {
	last := environment[len(environment)-1]
	return last[len(bootstrap.EnvironmentVariable)+1:]
}
