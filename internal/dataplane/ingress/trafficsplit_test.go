package ingress

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
)

func TestTrafficSplit_SpreadsEvenlyByWeight(t *testing.T) {
	config, err := configuration.Parse([]byte(`{"version":1,"services":[{"name":"a","maxConns":1},{"name":"b","maxConns":1}],
"routes":[{"name":"r","host":"h","pathStart":"/","kind":"changing","timeoutMs":1000,"targetMs":100,
"split":[{"service":"a","share":3},{"service":"b","share":1}],"tries":1}]}`))
	require.NoError(t, err)
	route := config.Match("h", "/")
	require.NotNil(t, route)
	var split trafficSplit
	picked := ""
	for range 8 {
		picked += split.pick(route)
	}
	assert.Equal(t, "aabaaaba", picked)
	split.reset()
	assert.Equal(t, "a", split.pick(route))
}
