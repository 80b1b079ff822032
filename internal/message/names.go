package message

import "strings"

// BackendID identifies one start of a backend process, as the platform's list names it: a backend that restarts at the
// same address gets another ID.
type BackendID string

// ModelName names a model of a service or, where an adapter follows after a slash ("model/adapter"), an adapter of it.
type ModelName string

// adapterSeparator stands between a model and its adapter in a name.
const adapterSeparator = "/"

// ModelOf returns the model of a name that may have an adapter.
func ModelOf(name ModelName) ModelName {
	model, _, _ := strings.Cut(string(name), adapterSeparator)
	return ModelName(model)
}

// AdapterOf returns the adapter of a name, empty where it has none.
func AdapterOf(name ModelName) string {
	_, adapter, _ := strings.Cut(string(name), adapterSeparator)
	return adapter
}

// WithAdapter returns the name of an adapter of the model.
func (n ModelName) WithAdapter(adapter string) ModelName {
	return n + adapterSeparator + ModelName(adapter)
}

// Holds reports whether the backend holds a model, and its adapter where the name has one.
func (b *Backend) Holds(name ModelName) bool {
	model, adapter := ModelOf(name), AdapterOf(name)
	for _, held := range b.Models {
		if held.Name != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, other := range held.Adapters {
			if other == adapter {
				return true
			}
		}
	}
	return false
}
