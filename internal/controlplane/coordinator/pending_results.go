package coordinator

import (
	"sync"
	"sync/atomic"

	"pumiceline/internal/message"
)

// pendingResults passes configuration responses to the API requests that wait for them.
type pendingResults struct {
	mutex   sync.Mutex
	waiting map[uint64]chan *message.ConfigResponse
	lastID  atomic.Uint64
}

// newPendingResults makes a table that numbers requests from incarnation, so that responses to an earlier process
// match no request of this one.
func newPendingResults(incarnation uint64) *pendingResults {
	p := &pendingResults{waiting: map[uint64]chan *message.ConfigResponse{}}
	p.lastID.Store(incarnation)
	return p
}

// register returns the ID of a new request and the channel that gets its response. The caller must unregister the ID.
func (p *pendingResults) register() (uint64, chan *message.ConfigResponse) {
	id, result := p.lastID.Add(1), make(chan *message.ConfigResponse, 1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.waiting[id] = result
	return id, result
}

func (p *pendingResults) unregister(id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.waiting, id)
}

// resolve passes a response to its request. It drops the response if the request has one already, or does not wait
// any more.
func (p *pendingResults) resolve(result *message.ConfigResponse) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if waiting, ok := p.waiting[result.ID]; ok {
		select {
		case waiting <- result:
		default:
		}
	}
}
