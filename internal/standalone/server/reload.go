package server

import (
	"log/slog"
	"sync"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/deployfile"
	"pumiceline/internal/standalone/discovery"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/listener"
	"pumiceline/internal/standalone/metrics"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/settings"
)

// reloader applies a new configuration to the running parts.
type reloader struct {
	admissionFile string
	gate          *listener.Gate // nil: no admission control
	engine        *engine.Engine
	backends      *backend.Pool
	transport     *forwarder.Transport
	clients       *listener.Server
	watcher       *discovery.Watcher
	metrics       *metrics.Metrics
	log           *slog.Logger

	mu        sync.Mutex
	processes int            // of this proxy that share its quotas; 0: not known yet, counts as 1
	cfg       *config.Config // in force; only reload replaces it
}

// reload reads the configuration and applies it completely or not at all. It also reloads the admission control file,
// even if the configuration is rejected.
func (r *reloader) reload(read ReadConfig) {
	// Read without the lock: a read may block (a pipe), and shareQuotas needs the lock. It is safe to read r.cfg here,
	// because only reload replaces it.
	next, err := read(r.cfg)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		err = r.apply(next)
	}
	r.metrics.ConfigReloaded(err == nil)
	if err == nil {
		return
	}
	// An incompletely written or invalid file must not stop a running proxy.
	r.log.Error("configuration not reloaded, previous one stays", "error", err)
	if r.gate == nil {
		return
	}
	if err := r.clients.ApplySettings(&r.cfg.Settings, r.applyAdmissionFile); err != nil {
		r.log.Error("admission file not reloaded, previous one stays", "error", err)
	}
}

// apply validates the whole configuration before it changes anything.
func (r *reloader) apply(next *config.Config) error {
	err := r.clients.ApplySettings(&next.Settings, func(numbered *settings.Settings) error {
		set, err := r.policySettings(numbered)
		if err != nil {
			return err
		}
		if _, err := policy.New(set, 0); err != nil {
			return &config.KeyError{Key: "settings", Err: err}
		}
		if err := r.applyAdmissionFile(numbered); err != nil {
			return err
		}
		return r.engine.ApplySettings(set)
	})
	if err != nil {
		return err
	}
	limits := &next.Settings.Limits
	r.backends.ApplySettings(engine.Duration(settings.Micros(limits.DialTimeout)),
		engine.Duration(settings.Micros(limits.ConnIdleTimeout)),
		config.ReportColumns(&next.Settings, &next.Policy))
	r.transport.MaxRetryAfter.Store(settings.Micros(limits.MaxRetryAfter))
	r.metrics.SetClasses(classNames(&next.Settings))
	for _, key := range changedStartupKeys(r.cfg, next) {
		r.log.Warn("changed key takes effect at the next start", "key", key)
	}
	r.log.Info("configuration reloaded", "discovery", next.Discovery, "classes", classNames(&next.Settings),
		"attempts", limits.MaxAttempts)
	r.cfg = next
	r.watcher.SetSource(discoverySource(next))
	return nil
}

// policySettings converts settings to those of the policy. While several processes of this proxy serve, GroupSize
// counts each of them as a proxy, so that together they use the slow-start budgets and tenants' quotas of one proxy.
func (r *reloader) policySettings(s *settings.Settings) (policy.Settings, error) {
	set, err := config.PolicySettings(s)
	set.GroupSize = max(1, set.GroupSize) * max(1, r.processes)
	return set, err
}

// shareQuotas tells the policy how many processes of this proxy serve.
func (r *reloader) shareQuotas(processes int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if processes == r.processes {
		return nil
	}
	r.processes = processes
	r.log.Info("number of serving processes changed", "processes", processes)
	return r.clients.ApplySettings(&r.cfg.Settings, func(numbered *settings.Settings) error {
		set, err := r.policySettings(numbered)
		if err != nil {
			return err
		}
		return r.engine.ApplySettings(set)
	})
}

// applyAdmissionFile reads the file of admission control for the given settings and applies it.
func (r *reloader) applyAdmissionFile(s *settings.Settings) error {
	if r.gate == nil {
		return nil
	}
	set, err := deployfile.ReadAdmission(r.admissionFile, s, r.cfg.Seed)
	if err != nil {
		return err
	}
	return r.gate.ApplySettings(set)
}

// classNames returns the names of the classes, in the order of the settings.
func classNames(s *settings.Settings) []string {
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// changedStartupKeys returns the keys that differ between two configurations and take effect only at the start.
func changedStartupKeys(old, next *config.Config) []string {
	var keys []string
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", old.Name == next.Name},
		{"listen", old.Listen == next.Listen},
		{"limits", old.Limits == next.Limits},
		{"operator", old.AdminListen == next.AdminListen},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}
