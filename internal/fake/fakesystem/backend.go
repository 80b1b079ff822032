// Package fakesystem holds what surrounds the system, spoken as PROTOCOL.md says: backends with models, a service that must run
// each request at most once, and the platform's list. It serves trials and tests on loopback.
package fakesystem

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of a fake backend.
const (
	eventEvery = 10 * time.Millisecond
	maxBody    = 1 << 20
)

// Backend is a fake backend of one service.
type Backend struct {
	ID            string
	Service       string
	Zone          string
	Capacity      int
	ModelLoadTime time.Duration // of a model; an adapter is there at once
	StreamEvents  int           // of a stream; 0: the service answers whole

	address string
	server  *http.Server
	runs    *ExecutionCounter

	mutex    sync.Mutex
	models   map[string][]string
	revision uint64
	busy     bool
	running  int
	loads    int
}

// ExecutionCounter counts how often each request ran, over all backends.
type ExecutionCounter struct {
	mutex  sync.Mutex
	counts map[string]int
}

// NewExecutionCounter makes an empty count.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{counts: map[string]int{}} }

func (r *ExecutionCounter) record(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[id]++
}

// Count returns how often a request ran.
func (r *ExecutionCounter) Count(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.counts[id]
}

// Start lets the backend listen on loopback with the models given.
func (b *Backend) Start(runs *ExecutionCounter, models ...string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address, b.runs, b.models = listener.Addr().String(), runs, map[string][]string{}
	for _, model := range models {
		b.models[model] = []string{}
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(listener) }() // it ends with Close
	return nil
}

// Close ends the backend at once.
func (b *Backend) Close() { _ = b.server.Close() }

// ModelLoads returns how many models were loaded by order.
func (b *Backend) ModelLoads() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.loads
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("Target-Backend"); target != "" && target != b.ID {
		w.Header().Set("Backend-Id", b.ID)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		b.report(w)
	case "/order":
		b.order(w, r)
	case "/health":
		w.Header().Set("Backend-Id", b.ID)
	default:
		b.run(w, r)
	}
}

type residentModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// residentModels returns what the backend holds; its mutex must be held.
func (b *Backend) residentModels() []residentModel {
	held := make([]residentModel, 0, len(b.models))
	for name, adapters := range b.models {
		held = append(held, residentModel{Name: name, Version: 1, Adapters: slices.Clone(adapters)})
	}
	return held
}

func (b *Backend) report(w http.ResponseWriter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "full", "models": b.residentModels(), "inUse": b.busy, "callCount": b.revision, "queued": 0, "active": b.running,
	})
}

type modelCommand struct {
	Operation  string  `json:"operation"`
	Model      string  `json:"model"`
	Adapter    string  `json:"adapter"`
	IfRevision *uint64 `json:"ifRevision"`
	Owner      string  `json:"owner"`
	Fence      *uint64 `json:"fenceNo"`
}

func (b *Backend) order(w http.ResponseWriter, r *http.Request) {
	var o modelCommand
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil || o.Owner == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(b.execute(o))
}

func (b *Backend) execute(o modelCommand) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.busy || o.IfRevision != nil && *o.IfRevision != b.revision {
		return http.StatusConflict
	}
	adapters, held := b.models[o.Model]
	switch {
	case o.Operation == "model_unload" && o.Adapter != "":
		b.models[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
	case o.Operation == "model_unload":
		delete(b.models, o.Model)
	case o.Adapter != "" && !held:
		return http.StatusBadRequest
	case o.Adapter != "":
		b.models[o.Model] = append(adapters, o.Adapter)
	case held:
		return http.StatusOK
	default:
		b.busy = true
		time.AfterFunc(b.ModelLoadTime, func() { b.loaded(o.Model) })
	}
	b.revision++
	return http.StatusAccepted
}

func (b *Backend) loaded(model string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.busy = false
	b.models[model] = []string{}
	b.loads++
}

// admit takes a place for a request; a status other than 0 declines it.
func (b *Backend) admit(name string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if name != "" {
		model, adapter, _ := strings.Cut(name, "/")
		adapters, held := b.models[model]
		if !held || adapter != "" && !slices.Contains(adapters, adapter) {
			return http.StatusMisdirectedRequest
		}
	}
	if b.running >= b.Capacity {
		return http.StatusServiceUnavailable
	}
	b.running++
	return 0
}

func (b *Backend) finish() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
}

func (b *Backend) load() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", b.running, b.Capacity)
}

// run runs one request: a stream of events, or one answer.
func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if status := b.admit(r.Header.Get("Model")); status != 0 {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
		return
	}
	defer b.finish()
	b.runs.record(id)
	w.Header().Set("Server-Seal", "seal-"+id)
	w.Header().Set("Backend-Load", b.load())
	if b.StreamEvents == 0 {
		fmt.Fprintf(w, "done by %s", b.ID)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	tick := time.NewTicker(eventEvery)
	defer tick.Stop()
	for event := 1; event <= b.StreamEvents; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
		fmt.Fprintf(w, "id: %d\ndata: word %d\n\n", event, event)
		_ = http.NewResponseController(w).Flush() // a caller that has gone ends the request's context
	}
}
