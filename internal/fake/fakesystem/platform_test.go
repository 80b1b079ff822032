package fakesystem

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPlatform_ListsBackends(t *testing.T) {
	b := &Backend{ID: "b-1", Service: "s", Zone: "z", Capacity: 2}
	require.NoError(t, b.Start(NewExecutionCounter(), "small"))
	t.Cleanup(b.Close)
	p := &Platform{}
	require.NoError(t, p.Start(b))
	t.Cleanup(p.Close)
	status, text := send(t, "GET", "http://"+p.Address+"/backends", "")
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, text, `"id":"b-1"`)
	assert.Contains(t, text, `"state":"ready"`)
	assert.Equal(t, 1, p.ListRequests())
}
