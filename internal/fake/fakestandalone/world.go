package fakestandalone

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"pumiceline/internal/standalone/discovery"
	"pumiceline/internal/standalone/settings"
)

// Environment is a roster and a few destinations on loopback listeners.
type Environment struct {
	Discovery *Discovery
	Backends  []*Backend
	Entries   []discovery.Entry // as the roster listed them first, in the destinations' order

	discoveryListener net.Listener
	backendListeners  []net.Listener
}

// NewEnvironment makes a world whose roster listens at discoveryListener and whose destinations listen at the others, in turn in the sites.
func NewEnvironment(discoveryListener net.Listener, destinations []net.Listener, sites []string, work func()) *Environment {
	w := &Environment{Discovery: NewDiscovery(), discoveryListener: discoveryListener, backendListeners: destinations}
	for i, ln := range destinations {
		name := fmt.Sprintf("toy-%d", i+1)
		e := discovery.Entry{Host: name, Address: ln.Addr().String(), Zone: sites[i%len(sites)], InstanceType: "std-8", Cell: 1, Health: "SERVING", Size: 1}
		w.Discovery.Put(e)
		w.Entries = append(w.Entries, e)
		w.Backends = append(w.Backends, &Backend{Name: name, Cores: 8, Serve: work})
	}
	return w
}

// Serve serves until ctx ends, or a listener fails.
func (w *Environment) Serve(ctx context.Context) error {
	ended := make(chan error, len(w.backendListeners)+1)
	run := func(ln net.Listener, h http.Handler) {
		server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
		context.AfterFunc(ctx, func() { server.Close() })
		go func() { ended <- server.Serve(ln) }()
	}
	for i, d := range w.Backends {
		run(w.backendListeners[i], d)
	}
	run(w.discoveryListener, w.Discovery)
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("standin: %w", err)
	case <-ctx.Done():
		return nil
	}
}

// Classes and Tenants are those of the configuration that Config writes.
var (
	Classes = []RequestClass{{"quick-quote", 0.5, false, 1500 * time.Millisecond}, {"full-quote", 0.3, false, 6 * time.Second},
		{"issue-policy", 0.2, true, 3 * time.Second}}
	Tenants = []string{"steppe-tours", "khan-air"}
)

// ProxyConfig writes a whole configuration in the platform's form for the one proxy of this world.
func ProxyConfig(listen, discovery string, sites []string) ([]byte, error) {
	return ReplicaConfig(listen, discovery, sites, 0, 1)
}

// ReplicaConfig writes that of proxy i, from 0, of so many.
func ReplicaConfig(listen, discovery string, sites []string, i, of int) ([]byte, error) {
	const us = 1e6
	s := settings.Settings{DiscoveryMode: "subscribe", GroupSize: of, Ordinal: i, Zone: i % len(sites), InstanceTypes: []string{"std-8"}, OverQuotaValue: 0.1, BatchPeriod: 5000,
		SizeReporting: "nominal", ValueBasis: "work", Zones: sites}
	for _, c := range Classes {
		k := settings.Class{Name: c.Name, Semantics: "pure", DedupScope: "all", DedupWindow: 5 * us, LatencyTarget: c.Deadline.Seconds() / 2 * us,
			ClientTimeout: c.Deadline.Seconds() * us, Value: 1}
		if c.Keyed {
			k.Semantics, k.DedupScope, k.DedupWindow, k.Value = "token", "zone", 3*us, 5
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range Tenants {
		s.Tenants = append(s.Tenants, settings.Tenant{Name: t, QuotaPerS: 200})
	}
	l := &s.Limits
	l.AllowCancel, l.AllowHedging, l.DialTimeout, l.ConnIdleTimeout, l.MaxRetryAfter = true, true, 0.25*us, 10*us, 2.5*us
	l.MaxOpenRequests, l.MaxAttempts = 20000, 3
	s.LoadReports.Columns, s.LoadReports.Delivery = []string{"cpu", "rps", "err_rps"}, "piggyback"
	s.Prices.CrossZone = 0.03
	r := &s.Rules
	r.ResponseGrace, r.SubscribeWithin, r.WarmupTime, r.OverloadTime, r.InitialCapacity, r.OverloadFactor = 0.02*us, 10*us, 24*us, us, 0.12, 3
	return json.Marshal(map[string]any{"name": "try", "listen": listen, "discovery": discovery, "settings": s})
}
