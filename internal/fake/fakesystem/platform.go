package fakesystem

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
)

// Platform is a fake of the platform, which serves the list of backends.
type Platform struct {
	Address string // set by Start

	mu           sync.Mutex
	servers      []*http.Server
	backends     []*Backend
	listRequests int
}

// Start serves on loopback until Close.
func (p *Platform) Start(backends ...*Backend) error {
	p.backends = backends
	entrance, err := p.Listen()
	if err != nil {
		return err
	}
	p.Address = entrance.Address
	return nil
}

// Entrance is one address of the platform. A run gives each machine its own, so that one machine can be cut off from the
// platform.
type Entrance struct {
	Address string

	isCut atomic.Bool
}

// SetCut cuts the entrance off, or ends that. Calls that arrive while it is cut off get no answer.
func (e *Entrance) SetCut(isCut bool) { e.isCut.Store(isCut) }

// Listen opens one more entrance on loopback. It serves until Close.
func (p *Platform) Listen() (*Entrance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	entrance := &Entrance{Address: listener.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if entrance.isCut.Load() {
			<-r.Context().Done() // until the caller gives up
			return
		}
		p.serve(w)
	})}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Close
	return entrance, nil
}

// Close stops the platform at once and closes its connections.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.servers {
		_ = server.Close()
	}
}

// Add lists one more backend.
func (p *Platform) Add(backend *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backends = append(slices.Clone(p.backends), backend)
}

// Remove takes a backend off the list. The backend itself goes on serving.
func (p *Platform) Remove(backend *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backends = slices.DeleteFunc(slices.Clone(p.backends), func(b *Backend) bool { return b == backend })
}

// ListRequests returns how often the list was requested.
func (p *Platform) ListRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listRequests
}

// backendList is a page of the list; the fake has only one.
type backendList struct {
	Backends []listedBackend `json:"backends"`
	NextPage *string         `json:"nextPage"` // always null
}

type listedBackend struct {
	ID       string          `json:"id"`
	Service  string          `json:"service"`
	Address  string          `json:"address"`
	Zone     string          `json:"zone"`
	Capacity int             `json:"capacity"`
	State    string          `json:"state"`
	Models   []residentModel `json:"models"`
}

func (p *Platform) serve(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listRequests++
	list := backendList{Backends: make([]listedBackend, 0, len(p.backends))}
	for _, b := range p.backends {
		list.Backends = append(list.Backends, b.listed())
	}
	_ = json.NewEncoder(w).Encode(list)
}

// States of a backend on the list.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

func (b *Backend) listed() listedBackend {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := stateReady
	if b.isDraining {
		state = stateDraining
	}
	return listedBackend{ID: b.ID, Service: b.Service, Address: b.address, Zone: b.Zone, Capacity: b.Capacity, State: state,
		Models: b.residentModels()}
}
