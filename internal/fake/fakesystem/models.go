package fakesystem

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// residentModel is a model in a report or in the platform's list.
type residentModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// residentModels returns the resident models. The caller holds b.mu.
func (b *Backend) residentModels() []residentModel {
	resident := make([]residentModel, 0, len(b.models))
	for name, adapters := range b.models {
		resident = append(resident, residentModel{Name: name, Version: 1, Adapters: slices.Clone(adapters)})
	}
	return resident
}

// isResident reports whether a model is resident and, unless adapter is empty, has the adapter. The caller holds b.mu.
func (b *Backend) isResident(model, adapter string) bool {
	adapters, resident := b.models[model]
	return resident && (adapter == "" || slices.Contains(adapters, adapter))
}

// operationUnload is the operation that removes a model or an adapter. Any other operation loads one.
const operationUnload = "model_unload"

// modelCommand is the body of /order.
type modelCommand struct {
	Operation  string  `json:"operation"`
	Model      string  `json:"model"`
	Adapter    string  `json:"adapter"`    // empty: the model itself
	IfRevision *uint64 `json:"ifRevision"` // nil: any revision
	Owner      string  `json:"owner"`
	Fence      *uint64 `json:"fenceNo"`
}

func (b *Backend) serveCommand(w http.ResponseWriter, r *http.Request) {
	var c modelCommand
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c)
	if err != nil || c.Owner == "" || c.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(b.execute(c))
}

// execute applies a command to the models and returns the status of the response.
func (b *Backend) execute(c modelCommand) (status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loading || c.IfRevision != nil && *c.IfRevision != b.revision {
		return http.StatusConflict
	}
	adapters, resident := b.models[c.Model]
	switch {
	case c.Operation == operationUnload && c.Adapter != "":
		b.models[c.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == c.Adapter })
	case c.Operation == operationUnload:
		delete(b.models, c.Model)
	case c.Adapter != "" && !resident:
		return http.StatusBadRequest
	case c.Adapter != "":
		b.models[c.Model] = append(adapters, c.Adapter)
	case resident:
		return http.StatusOK
	default:
		b.loading = true
		time.AfterFunc(b.ModelLoadTime, func() { b.onModelLoaded(c.Model) })
	}
	b.revision++
	return http.StatusAccepted
}

func (b *Backend) onModelLoaded(model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loading = false
	b.models[model] = []string{}
	b.modelLoads++
}
