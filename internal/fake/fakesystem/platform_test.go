package fakesystem

import (
	"context"
	"net/http"
	"testing"
	"time"

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

func TestPlatform_ListsDrainingAndReplacedBackends(t *testing.T) {
	p := &Platform{}
	old := &Backend{ID: "old", Service: "s"}
	require.NoError(t, p.Start(old))
	t.Cleanup(p.Close)
	p.Add(&Backend{ID: "new", Service: "s"})
	old.StartDraining()
	_, text := send(t, "GET", "http://"+p.Address+"/backends", "")
	assert.Contains(t, text, `"state":"draining"`)
	assert.Contains(t, text, `"id":"new"`)
	p.Remove(old)
	_, text = send(t, "GET", "http://"+p.Address+"/backends", "")
	assert.NotContains(t, text, `"id":"old"`)
}

func TestPlatform_CutEntranceGivesNoAnswer(t *testing.T) {
	p := &Platform{}
	require.NoError(t, p.Start())
	t.Cleanup(p.Close)
	entrance, err := p.Listen()
	require.NoError(t, err)
	entrance.SetCut(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entrance.Address+"/backends", nil)
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	status, _ := send(t, "GET", "http://"+p.Address+"/backends", "")
	assert.Equal(t, http.StatusOK, status, "the other entrance is not cut off")
	entrance.SetCut(false)
	status, _ = send(t, "GET", "http://"+entrance.Address+"/backends", "")
	assert.Equal(t, http.StatusOK, status)
}
