package coordinator

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pumiceline/internal/message"
)

// Times of the operator's calls. An operator that hears nothing for a second asks another member.
const (
	answerWithin = 930 * time.Millisecond
	resubmit     = 220 * time.Millisecond
	maxBody      = 8 << 20
)

// resultBoard brings results to the calls that wait for them.
type resultBoard struct {
	mutex   sync.Mutex
	waiting map[uint64]chan *message.ConfigResponse
	next    atomic.Uint64
}

// newResultBoard makes a board that numbers calls from incarnation, so that a result for an earlier process is none for
// this one.
func newResultBoard(incarnation uint64) *resultBoard {
	b := &resultBoard{waiting: map[uint64]chan *message.ConfigResponse{}}
	b.next.Store(incarnation)
	return b
}

func (b *resultBoard) open() (uint64, chan *message.ConfigResponse) {
	id, result := b.next.Add(1), make(chan *message.ConfigResponse, 1)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.waiting[id] = result
	return id, result
}

func (b *resultBoard) close(id uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.waiting, id)
}

func (b *resultBoard) post(result *message.ConfigResponse) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if waiting, ok := b.waiting[result.ID]; ok {
		select {
		case waiting <- result:
		default:
		}
	}
}

// api serves the operator.
type api struct {
	owner *owner
	node  string
}

// ServeHTTP answers PUT, PATCH and GET on /config.
func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" && r.Method == http.MethodGet {
		a.serveStatus(w)
		return
	}
	if r.URL.Path != "/config" {
		http.NotFound(w, r)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPut && r.Method != http.MethodPatch {
		w.Header().Set("Allow", "GET, PUT, PATCH")
		http.Error(w, "GET, PUT or PATCH is wanted", http.StatusMethodNotAllowed)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body cannot be read whole: "+err.Error(), http.StatusBadRequest)
		return
	}
	call := &message.ConfigRequest{Method: r.Method, IfMatch: r.Header.Get("If-Match"), Body: body}
	result := a.submit(r, call)
	if result == nil {
		w.Header().Set("Retry-After", "0.2")
		http.Error(w, "not decided yet: ask again", http.StatusServiceUnavailable)
		return
	}
	answer(w, r, result)
}

func answer(w http.ResponseWriter, r *http.Request, result *message.ConfigResponse) {
	if r.Method == http.MethodGet && len(result.Body) == 0 {
		http.Error(w, "no configuration has been taken yet", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.Status)
	if len(result.Body) == 0 {
		result.Body = []byte("{}")
	}
	_, _ = w.Write(result.Body) // a caller that has gone asks again
}

// submit brings the call to the member that decides it, again and again until it answers.
func (a *api) submit(r *http.Request, call *message.ConfigRequest) *message.ConfigResponse {
	id, result := a.owner.results.open()
	defer a.owner.results.close(id)
	call.ID = id
	self := a.owner.self
	deadline := time.NewTimer(answerWithin)
	defer deadline.Stop()
	again := time.NewTicker(resubmit)
	defer again.Stop()
	for {
		m := &message.Message{From: self.Identity, FromAddress: self.Address, To: self.Identity, ConfigRequest: call}
		if s := a.owner.standing.Load(); s != nil {
			m.View = s.view.Number
		}
		a.owner.deliver(m)
		select {
		case found := <-result:
			return found
		case <-again.C:
		case <-deadline.C:
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}
