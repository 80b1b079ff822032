package fakesystem

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	eventInterval = 10 * time.Millisecond // between the events of a stream
	maxBodyBytes  = 1 << 20
)

// ResponsePrefix is the start of the body of a response that is not a stream.
const ResponsePrefix = "done by "

// Seal is the Server-Seal of the response to a request.
func Seal(requestID string) string { return "seal-" + requestID }

// Backend is a fake backend of one service. Its exported fields must not change after Start.
type Backend struct {
	ID            string
	Service       string
	Zone          string
	Capacity      int           // requests that run at once
	ModelLoadTime time.Duration // of a model; an adapter is loaded at once
	StreamEvents  int           // events of a response; 0: responses are not streams
	WorkTime      time.Duration // of a request whose response is not a stream
	// StreamsByTokenCount makes a stream contain one event per output token of the request's Token-Count header,
	// instead of StreamEvents events. It has no effect if StreamEvents is 0 or the header is missing or malformed.
	StreamsByTokenCount bool

	address    string
	server     *http.Server
	executions *ExecutionCounter

	mu         sync.Mutex
	models     map[string][]string // adapters, by resident model
	revision   uint64              // number of commands that were accepted with status 202
	loading    bool                // a model is being loaded
	isDraining bool                // the list shows it as draining; it goes on serving
	running    int                 // requests
	modelLoads int
}

// Start serves on loopback, with the given models resident, until Close.
func (b *Backend) Start(executions *ExecutionCounter, models ...string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start backend %s: %w", b.ID, err)
	}
	b.address, b.executions, b.models = listener.Addr().String(), executions, map[string][]string{}
	for _, model := range models {
		b.models[model] = []string{}
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(listener) }() // ends with Close
	return nil
}

// Close stops the backend at once and closes its connections.
func (b *Backend) Close() { _ = b.server.Close() }

// StartDraining makes the list show the backend as draining. The backend goes on serving.
func (b *Backend) StartDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isDraining = true
}

// IsDraining reports whether the list shows the backend as draining.
func (b *Backend) IsDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isDraining
}

// Models returns the names of the resident models.
func (b *Backend) Models() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.models))
}

// ModelLoads returns how many models were loaded by command.
func (b *Backend) ModelLoads() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.modelLoads
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
		b.serveReport(w)
	case "/order":
		b.serveCommand(w, r)
	case "/health":
		w.Header().Set("Backend-Id", b.ID)
	default:
		b.serveRequest(w, r)
	}
}

// report is the response body of /report.
type report struct {
	Active    int             `json:"active"`
	CallCount uint64          `json:"callCount"`
	InUse     bool            `json:"inUse"`
	Models    []residentModel `json:"models"`
	Queued    int             `json:"queued"`
	Stage     string          `json:"stage"`
}

func (b *Backend) serveReport(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report{Stage: "full", Models: b.residentModels(), InUse: b.loading, CallCount: b.revision,
		Active: b.running})
}

// serveRequest runs one request. The response is a stream of events or a single text.
func (b *Backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if status := b.admit(r.Header.Get("Model")); status != http.StatusOK {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
		return
	}
	defer b.finish()
	defer b.executions.begin(id, b.ID)()
	w.Header().Set("Server-Seal", Seal(id))
	w.Header().Set("Backend-Load", b.loadHeader())
	if b.StreamEvents == 0 {
		time.Sleep(b.WorkTime)
		fmt.Fprint(w, ResponsePrefix, b.ID)
		return
	}
	b.streamEvents(w, r)
}

// admit reserves capacity for a request. An empty name means that the request needs no model. Any status other than 200
// rejects the request, which must not run then.
func (b *Backend) admit(name string) (status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if model, adapter, _ := strings.Cut(name, "/"); name != "" && !b.isResident(model, adapter) {
		return http.StatusMisdirectedRequest
	}
	if b.running >= b.Capacity {
		return http.StatusServiceUnavailable
	}
	b.running++
	return http.StatusOK
}

func (b *Backend) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *Backend) loadHeader() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", b.running, b.Capacity)
}

// streamEvents sends events until all are sent or the client disconnects.
func (b *Backend) streamEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for event := 1; event <= b.eventCount(r.Header.Get("Token-Count")); event++ {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
		fmt.Fprintf(w, "id: %d\ndata: word %d\n\n", event, event)
		_ = http.NewResponseController(w).Flush() // fails if the client has disconnected; its context has ended then
	}
}

// eventCount returns the number of events of a stream. tokenCount is the request's Token-Count: input and output
// tokens.
func (b *Backend) eventCount(tokenCount string) int {
	var tokensIn, tokensOut int
	if !b.StreamsByTokenCount {
		return b.StreamEvents
	}
	if _, err := fmt.Sscanf(tokenCount, "%d,%d", &tokensIn, &tokensOut); err != nil {
		return b.StreamEvents
	}
	return tokensOut
}
