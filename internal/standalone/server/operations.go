package server

import (
	"context"
	"errors"

	"pumiceline/internal/standalone/admin"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/metrics"
)

// Reasons why the proxy is not ready, as the admin API shows them.
var (
	errStopping     = errors.New("stopping")
	errNoEndpoints  = errors.New("no pool config yet")
	errNotAccepting = errors.New("not taking connections yet")
)

// startAdmin serves the admin API until running ends, if the configuration has an address for it.
func (s *server) startAdmin(running, stop context.Context) error {
	if s.cfg.AdminListen == "" {
		return nil
	}
	ln, err := s.opts.Network.Listen(s.cfg.AdminListen)
	if err != nil {
		return &config.KeyError{Key: "operator", Err: err}
	}
	api := admin.New(admin.Options{Log: s.log, MaxConnections: s.sockets.adminShare(), Metrics: s.metrics.Handler(),
		Disable: s.watcher.Disable, Enable: s.watcher.Enable, Ready: func() error { return s.ready(stop) }})
	s.background.Go(func() {
		if err := api.Serve(running, ln); err != nil {
			s.log.Error("admin API stopped", "error", err)
		}
	})
	return nil
}

// ready returns nil if this process can serve, and otherwise the reason why it cannot.
func (s *server) ready(stop context.Context) error {
	switch {
	case stop.Err() != nil:
		return errStopping
	case !s.watcher.HasEndpoints():
		return errNoEndpoints
	case !s.accepting.Load():
		return errNotAccepting
	}
	return nil
}

// registerGauges registers the gauges whose values are read from the proxy's parts at each scrape.
func (s *server) registerGauges() {
	s.metrics.RegisterGauges(metrics.Gauges{InFlight: s.clients.InFlight, Backends: s.watcher.EndpointCount,
		Unhealthy:  func() int { return s.engine.EjectedServers() + s.watcher.DisabledCount() },
		TableSizes: s.tableSizes})
}

// tableSizes returns the number of entries of each table that is keyed by ID, host, address or class: the series of
// svc_kept. Each number falls again when the counted objects are removed, or has a fixed bound;
// docs/runbook-standalone.md says which.
func (s *server) tableSizes() map[string]int {
	engine, backends, clients := s.engine.TableSizes(), s.backends.TableSizes(), s.clients.TableSizes()
	discovery := s.watcher.TableSizes()
	return map[string]int{
		"calls":            engine.Calls,
		"timers":           engine.Timers,
		"module_requests":  engine.Policy.OpenRequests,
		"module_held":      engine.Policy.QueuedRequests,
		"module_spare":     engine.Policy.FreeRequests,
		"module_servers":   engine.Policy.Servers,
		"module_kinds":     engine.Policy.InstanceTypes,
		"destinations":     backends.Backends,
		"connections":      s.backends.OpenConnections(),
		"idle_connections": backends.IdleConnections,
		"hosts":            discovery.Endpoints,
		"host_names":       discovery.IDs,
		"suspension_names": discovery.Maintenance,
		"front_sockets":    s.clients.OpenSockets(),
		"correlation_ids":  clients.CorrelationIDs,
		"class_numbers":    clients.ClassNumbers,
		"class_series":     s.metrics.ClassCount(),
		"gate_waiting":     clients.GateQueue,
		"probes":           s.loadPoller.InFlight(),
	}
}
