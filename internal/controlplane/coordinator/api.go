package coordinator

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/bodybudget"
	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/lifecycle"
	"pumiceline/internal/message"
)

const (
	// decisionTimeout is how long a request waits for the replica's response before the client gets errNotDecided. The
	// operator's client tries another member after a second.
	decisionTimeout = 930 * time.Millisecond
	// resubmitInterval is how often a request without a response is submitted to the replica again.
	resubmitInterval = 220 * time.Millisecond
)

const maxConfigBody = 8 << 20 // bytes

// errNotDecided is returned for a request that was not decided in time. It may still have been applied, so the client
// sends it again unchanged.
var errNotDecided = errors.New("not decided yet: ask again")

// operatorAPI is the operator's HTTP API: GET, PUT and PATCH on /config, and GET on /status and /metrics. It shares its address
// with the API of applications, and passes their calls on to it.
type operatorAPI struct {
	loop         *replicaLoop
	node         string
	process      *lifecycle.Process
	applications *coordinationapi.Handler
	refusals     *configRefusals
	shown        shownConfigs
}

// ServeHTTP answers a request of the operator or of an application.
func (a *operatorAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/status" && r.Method == http.MethodGet:
		a.serveStatus(w)
	case r.URL.Path == "/metrics" && r.Method == http.MethodGet:
		a.refusals.serveMetrics(w, r)
	case r.URL.Path == "/config":
		a.serveConfig(w, r)
	case coordinationapi.Serves(r.URL.Path):
		a.applications.ServeHTTP(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (a *operatorAPI) serveConfig(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodPut && r.Method != http.MethodPatch {
		w.Header().Set("Allow", "GET, PUT, PATCH")
		http.Error(w, "GET, PUT or PATCH is wanted", http.StatusMethodNotAllowed)
		return
	}
	request := &message.ConfigRequest{Method: r.Method, IfMatch: r.Header.Get("If-Match")}
	if len(r.Header.Values("If-Match")) > 1 {
		a.refuse(w, request, http.StatusBadRequest, "If-Match: one version is wanted")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBody))
	if err != nil {
		a.refuse(w, request, statusOfBodyError(err), "the body cannot be read whole: "+err.Error())
		return
	}
	request.Body = body
	result, err := a.submit(r, request)
	if err != nil {
		w.Header().Set("Retry-After", "0.2")
		a.refuse(w, request, statusOfUndecided(r.Method), err.Error())
		return
	}
	a.writeConfigResponse(w, request, result)
}

// refuse answers a request that no member has decided.
func (a *operatorAPI) refuse(w http.ResponseWriter, request *message.ConfigRequest, status int, explanation string) {
	a.refusals.count(request, status, explanation)
	http.Error(w, explanation, status)
}

// statusOfUndecided is the status for a request that was not decided in time: 503 for a read and 504 for a change. A
// change may still be applied, and with 503 the API promises that nothing was done.
func statusOfUndecided(method string) int {
	if method == http.MethodGet {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// statusOfBodyError is the status for a body that could not be read completely. A body over maxConfigBody gets 413.
// It is also over the size that a replica accepts, which answers 413 too.
func statusOfBodyError(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, bodybudget.ErrExhausted):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func (a *operatorAPI) writeConfigResponse(w http.ResponseWriter, request *message.ConfigRequest, result *message.ConfigResponse) {
	body := result.Body
	if request.Method == http.MethodGet {
		body = a.shown.of(result.Body).text
	}
	if request.Method == http.MethodGet && len(body) == 0 {
		http.Error(w, "no configuration has been taken yet", http.StatusNotFound)
		return
	}
	a.refusals.count(request, result.Status, string(body))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.Status)
	if len(body) == 0 {
		body = []byte("{}")
	}
	_, _ = w.Write(body) // a client that has disconnected sends its request again
}

// submit passes the request to the replica, which forwards it to the member that decides it. As messages may be lost,
// it repeats this every resubmitInterval until a response arrives. The error is errNotDecided.
func (a *operatorAPI) submit(r *http.Request, request *message.ConfigRequest) (*message.ConfigResponse, error) {
	id, results := a.loop.pending.register()
	defer a.loop.pending.unregister(id)
	request.ID = id
	deadline := time.NewTimer(decisionTimeout)
	defer deadline.Stop()
	resubmit := time.NewTicker(resubmitInterval)
	defer resubmit.Stop()
	for {
		a.enqueue(request)
		select {
		case result := <-results:
			return result, nil
		case <-resubmit.C:
		case <-deadline.C:
			return nil, errNotDecided
		case <-r.Context().Done():
			return nil, errNotDecided
		}
	}
}

// enqueue queues the request for the replica as a message from itself.
func (a *operatorAPI) enqueue(request *message.ConfigRequest) {
	self := a.loop.self
	m := &message.Message{From: self.Identity, FromAddress: self.Address, To: self.Identity, ConfigRequest: request}
	if s := a.loop.snapshot.Load(); s != nil {
		m.View = s.view.Number
	}
	a.loop.deliver(m)
}
