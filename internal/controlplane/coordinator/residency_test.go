package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// A backend that restarts under another ID at the same address still has its earlier models on its disk.
func TestResidencyHistory_SurvivesBackendRestart(t *testing.T) {
	start := time.Now()
	list := func(after time.Duration, id message.BackendID, models ...message.ModelName) *discovery.BackendList {
		backend := message.Backend{ID: id, Service: "s", Address: "a:1"}
		for _, model := range models {
			backend.Models = append(backend.Models, message.LoadedModel{Name: model})
		}
		return &discovery.BackendList{Backends: []message.Backend{backend}, ObservedAt: start.Add(after)}
	}
	history := &residencyHistory{}
	history.record(nil)
	history.record(list(2*time.Second, "b-1", "m1"))
	history.record(list(time.Second, "b-1", "older"))
	history.record(list(3*time.Second, "b-2", "m2"))
	restarted := message.Backend{ID: "b-3", Service: "s", Address: "a:1"}
	assert.Equal(t, map[message.ModelName]bool{"m1": true, "m2": true}, history.modelsOf(restarted))
	assert.Empty(t, history.modelsOf(message.Backend{ID: "b-1", Service: "another", Address: "a:1"}))
}

// The history of a machine that is not listed any more is dropped after residencyRetention.
func TestResidencyHistory_DropsMachinesNotListedAnyMore(t *testing.T) {
	start := time.Now()
	var history residencyHistory
	listed := func(after time.Duration, backends ...message.Backend) {
		history.record(&discovery.BackendList{Backends: backends, ObservedAt: start.Add(after)})
	}
	gone := message.Backend{ID: "gone", Service: "s", Address: "a:1", Models: []message.LoadedModel{{Name: "m"}}}
	stays := message.Backend{ID: "stays", Service: "s", Address: "a:2", Models: []message.LoadedModel{{Name: "m"}}}
	listed(0, gone, stays)
	listed(residencyRetention, stays)
	assert.True(t, history.modelsOf(gone)["m"], "it may be restarting")
	listed(residencyRetention+time.Second, stays)
	assert.Empty(t, history.modelsOf(gone))
	assert.True(t, history.modelsOf(stays)["m"])
	assert.Len(t, history.machines, 1)
}
