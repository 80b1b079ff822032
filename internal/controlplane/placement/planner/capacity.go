package planner

import (
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// Capacity is the capacity of a backend of a service. It bounds the size of the weights of models and adapters
// together, in MB, and the number of adapters.
type Capacity struct{ Runtime *configuration.Runtime }

// UsedMB returns the size of loaded models with their adapters.
func (c Capacity) UsedMB(models []message.LoadedModel) float64 {
	used := 0.0
	for _, model := range models {
		used += c.loadedMB(model)
	}
	return used
}

// loadedMB is the size of a loaded model with its adapters. The size of a model that is not in the configuration is
// unknown, so it counts as the full capacity, and nothing is loaded beside it.
func (c Capacity) loadedMB(loaded message.LoadedModel) float64 {
	model, ok := c.Runtime.Model(loaded.Name)
	if !ok {
		return c.Runtime.WeightCapacityMB
	}
	return model.WeightsMB + float64(len(loaded.Adapters))*model.AdapterMB
}

// sizeMB is the size of a model or an adapter by name.
func (c Capacity) sizeMB(name message.ModelName) float64 {
	model, ok := c.Runtime.Model(name.Base())
	switch {
	case !ok:
		return c.Runtime.WeightCapacityMB
	case name.Adapter() != "":
		return model.AdapterMB
	}
	return model.WeightsMB
}

// Fits reports whether a model or an adapter may be loaded beside the loaded models.
func (c Capacity) Fits(models []message.LoadedModel, name message.ModelName) bool {
	if name.Adapter() != "" && countAdapters(models) >= c.Runtime.AdapterSlots {
		return false
	}
	return c.UsedMB(models)+c.sizeMB(name) <= c.Runtime.WeightCapacityMB
}

func countAdapters(models []message.LoadedModel) int {
	count := 0
	for _, model := range models {
		count += len(model.Adapters)
	}
	return count
}
