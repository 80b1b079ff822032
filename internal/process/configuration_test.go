package process_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// configurationText returns a valid configuration of a version.
func configurationText(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"h.example","pathStart":"/a/","kind":"changing","timeoutMs":1500,`+
		`"service":"docs"}],"services":[{"name":"docs","maxConns":130}]}`, version)
}

// Changes that one reader of JSON takes for another change than the next reader are refused by the real coordinators,
// and leave what is in force as it was: a PATCH with two versions was acknowledged, and the other one came into force.
func TestConfiguration_RefusesChangesThatReadersReadDifferently(t *testing.T) {
	c := startCluster(t)
	first := configurationText(1)
	require.Equal(t, http.StatusOK, c.call(configCall{http.MethodPut, "0", first}).status)
	for _, call := range []configCall{
		{http.MethodPatch, "1", `{"version":11,"Version":16,"add":{"routes":[]}}`},
		{http.MethodPatch, "1", `{"VERSION":26}`},
		{http.MethodPatch, "1", `{"version":11,"add":{"Routes":[]}}`},
		{http.MethodPatch, "1", `{"version":11,"add":{"lists":[]}}`},
		{http.MethodPatch, "1", `{"version":11,"add":{"services":[{"name":"q\ud800"}]}}`},
		{http.MethodPatch, "1", `{"version":11,"add":{"services":[{"name":"q"},{"name":"q","maxConns":1}]}}`},
		{http.MethodPut, "1", configurationText(11) + "}"},
		{http.MethodPut, "1", `{"version":11,"Version":16}`},
		{http.MethodPut, "1", `{"version":11,"x":1e999}`},
	} {
		answer := c.call(call)
		assert.Equal(t, http.StatusBadRequest, answer.status, "%s: %s", call.body, answer.body)
		for i := range c.machines {
			assert.JSONEq(t, first, c.readAt(i), "after %s", call.body)
		}
	}
	answer := c.call(configCall{http.MethodPatch, "1", `{"version":11,"add":{"services":[{"name":"q"}]}}`})
	assert.Equal(t, http.StatusOK, answer.status, answer.body)
}
