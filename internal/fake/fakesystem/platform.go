package fakesystem

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Platform is a fake of the platform, which serves the list of backends.
type Platform struct {
	Address string // set by Start

	server *http.Server

	mu           sync.Mutex
	backends     []*Backend
	listRequests int
}

// Start serves on loopback until Close.
func (p *Platform) Start(backends ...*Backend) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	p.Address, p.backends = listener.Addr().String(), backends
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(listener) }() // ends with Close
	return nil
}

// Close stops the platform at once and closes its connections.
func (p *Platform) Close() { _ = p.server.Close() }

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

func (p *Platform) serve(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listRequests++
	list := backendList{Backends: make([]listedBackend, 0, len(p.backends))}
	for _, b := range p.backends {
		list.Backends = append(list.Backends, b.listed())
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (b *Backend) listed() listedBackend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return listedBackend{ID: b.ID, Service: b.Service, Address: b.address, Zone: b.Zone, Capacity: b.Capacity, State: "ready",
		Models: b.residentModels()}
}
