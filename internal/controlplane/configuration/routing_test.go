package configuration

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConfig_MatchLongestPrefix(t *testing.T) {
	good := `"timeoutMs":100,"service":"s"`
	config, err := Parse([]byte(document(1, route("short", "/a/", good)+","+route("long", "/a/b/", good))))
	require.NoError(t, err)
	assert.Equal(t, "long", config.Match("H.example:80", "/a/b/c").Name)
	assert.Equal(t, "short", config.Match("h.example", "/a/bc").Name)
	assert.Nil(t, config.Match("h.example", "/b/"))
	assert.Nil(t, config.Match("other.example", "/a/"))
}
