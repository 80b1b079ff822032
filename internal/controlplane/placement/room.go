package placement

import (
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// Room says what fits into a backend of a service.
type Room struct{ Runtime *configuration.Runtime }

// Used is what models take with their adapters, in MB.
func (r Room) Used(models []message.LoadedModel) float64 {
	used := 0.0
	for _, model := range models {
		used += r.Size(model)
	}
	return used
}

// Size is what a held model takes with its adapters, in MB. One that the configuration does not know takes all.
func (r Room) Size(held message.LoadedModel) float64 {
	model, ok := r.model(held.Name)
	if !ok {
		return r.Runtime.WeightsMB
	}
	return model.WeightsMB + float64(len(held.Adapters))*model.AdapterMB
}

// SizeOf is what a model, or an adapter named after a slash, takes in MB.
func (r Room) SizeOf(name message.ModelName) float64 {
	model, ok := r.model(message.ModelOf(name))
	switch {
	case !ok:
		return r.Runtime.WeightsMB
	case message.AdapterOf(name) != "":
		return model.AdapterMB
	}
	return model.WeightsMB
}

func (r Room) model(name message.ModelName) (configuration.Model, bool) {
	for _, model := range r.Runtime.Models {
		if model.Name == name {
			return model, true
		}
	}
	return configuration.Model{}, false
}

// Fits reports whether a model or an adapter may be loaded beside what is held.
func (r Room) Fits(models []message.LoadedModel, name message.ModelName) bool {
	if message.AdapterOf(name) != "" && countAdapters(models) >= r.Runtime.AdapterSlots {
		return false
	}
	return r.Used(models)+r.SizeOf(name) <= r.Runtime.WeightsMB
}

func countAdapters(models []message.LoadedModel) int {
	count := 0
	for _, model := range models {
		count += len(model.Adapters)
	}
	return count
}
