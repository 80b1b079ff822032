package fakesystem

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// Platform keeps the list of backends.
type Platform struct {
	Address string

	server   *http.Server
	mutex    sync.Mutex
	backends []*Backend
	calls    int
}

// Start lets the platform listen on loopback.
func (p *Platform) Start(backends ...*Backend) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.Address, p.backends = listener.Addr().String(), backends
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(listener) }() // it ends with Close
	return nil
}

// Close ends the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// ListRequests returns how often the list was read.
func (p *Platform) ListRequests() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

type listed struct {
	ID       string          `json:"id"`
	Service  string          `json:"service"`
	Address  string          `json:"address"`
	Zone     string          `json:"zone"`
	Capacity int             `json:"capacity"`
	State    string          `json:"state"`
	Models   []residentModel `json:"models"`
}

func (p *Platform) serve(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	list := make([]listed, 0, len(p.backends))
	for _, b := range p.backends {
		b.mutex.Lock()
		list = append(list, listed{ID: b.ID, Service: b.Service, Address: b.address, Zone: b.Zone, Capacity: b.Capacity, State: "ready", Models: b.residentModels()})
		b.mutex.Unlock()
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"backends": list, "nextPage": nil})
}
