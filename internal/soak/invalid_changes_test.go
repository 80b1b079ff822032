package soak

import (
	"net/http"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// Each invalid change is refused on top of the configuration that it is based on, and would be accepted without its fault.
func TestInvalidChanges_AreRefused(t *testing.T) {
	document, err := putBody(3, "marker1", false)
	require.NoError(t, err)
	state := &message.ChainState{Version: 3, Document: document}
	for _, invalid := range invalidChanges {
		body, err := invalid.body(&changeCall{base: 3, version: 5, marker: "marker2"})
		require.NoError(t, err)
		result := configuration.Validate(state, &message.ConfigRequest{Method: invalid.method, IfMatch: "3", Body: body})
		assert.Equal(t, http.StatusBadRequest, result.Status, "%s: %s", invalid.name, body)
	}
}

// An acknowledgement of each kind of invalid change is found, and named.
func TestCheck_FindsEachInvalidChange(t *testing.T) {
	for _, invalid := range invalidChanges {
		h := goodHistory()
		h.Changes[2].IsInvalid, h.Changes[2].Fault = true, invalid.name
		assert.True(t, lo.ContainsBy(Check(h), func(v Violation) bool {
			return v.Rule == RuleConfig && strings.Contains(v.Text, "is invalid ("+invalid.name+") and was acknowledged")
		}), invalid.name)
	}
}
