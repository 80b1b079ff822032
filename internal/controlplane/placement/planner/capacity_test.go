package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

func TestCapacity_Fits(t *testing.T) {
	capacity := Capacity{Runtime: &configuration.Runtime{
		WeightCapacityMB: 210, AdapterSlots: 2, Models: []configuration.Model{
			{Name: "m", WeightsMB: 100, AdapterMB: 4}, {Name: "n", WeightsMB: 100, AdapterMB: 4}, {Name: "big", WeightsMB: 202},
		},
	}}
	m, n := message.LoadedModel{Name: "m"}, message.LoadedModel{Name: "n"}
	withAdapter := message.LoadedModel{Name: "m", Adapters: []string{"a1"}}
	withAdapters := message.LoadedModel{Name: "m", Adapters: []string{"a1", "a2"}}
	for _, c := range []struct {
		name   string
		loaded []message.LoadedModel
		load   message.ModelName
		want   bool
	}{
		{"a model into an empty backend", nil, "big", true},
		{"a model beside another", []message.LoadedModel{m}, "n", true},
		{"a model beyond the weights", []message.LoadedModel{m, n}, "m", false},
		{"a model that adapters leave no room for", []message.LoadedModel{withAdapters}, "big", false},
		{"an adapter", []message.LoadedModel{m, n}, "m/a1", true},
		{"an adapter beyond the weights", []message.LoadedModel{{Name: "big"}, withAdapter}, "m/a2", false},
		{"an adapter beyond the slots", []message.LoadedModel{withAdapters}, "m/a3", false},
		{"an unknown model into an empty backend", nil, "unknown", true},
		{"a model beside an unknown one, which fills the backend", []message.LoadedModel{{Name: "unknown"}}, "m", false},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, capacity.Fits(c.loaded, c.load)) })
	}
}
