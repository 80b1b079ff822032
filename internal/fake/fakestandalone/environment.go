package fakestandalone

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"pumiceline/internal/standalone/discovery"
)

// Environment is a fake discovery and fake backends, each on a listener.
type Environment struct {
	Discovery *Discovery
	Backends  []*Backend
	Entries   []discovery.Entry // as listed at the start, by index of the backend

	discoveryListener net.Listener
	backendListeners  []net.Listener
}

const (
	backendCores      = 8 // requests that a backend of an Environment serves at once
	readHeaderTimeout = 10 * time.Second
)

// NewEnvironment returns an environment with one backend per listener of backends. The backends are assigned to the
// zones round-robin and call serve for each request.
func NewEnvironment(discoveryListener net.Listener, backends []net.Listener, zones []string, serve func()) *Environment {
	e := &Environment{Discovery: NewDiscovery(), discoveryListener: discoveryListener, backendListeners: backends}
	for i, ln := range backends {
		name := fmt.Sprintf("toy-%d", i+1)
		entry := discovery.Entry{Host: name, Address: ln.Addr().String(), Zone: zones[i%len(zones)], InstanceType: instanceType,
			Cell: 1, Health: discovery.HealthServing, Size: 1}
		e.Discovery.Put(entry)
		e.Entries = append(e.Entries, entry)
		e.Backends = append(e.Backends, &Backend{Name: name, Cores: backendCores, Serve: serve})
	}
	return e
}

// Serve serves until ctx ends or a listener fails.
func (e *Environment) Serve(ctx context.Context) error {
	ended := make(chan error, len(e.backendListeners)+1)
	serve := func(ln net.Listener, h http.Handler) {
		server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
		context.AfterFunc(ctx, func() { server.Close() })
		go func() { ended <- server.Serve(ln) }() // ends with ctx
	}
	for i, b := range e.Backends {
		serve(e.backendListeners[i], b)
	}
	serve(e.discoveryListener, e.Discovery)
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("fake environment: %w", err)
	case <-ctx.Done():
		return nil
	}
}
