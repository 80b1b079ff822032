package main

import (
	"fmt"
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

// reload reads the configuration again, beside the one that is in use.
type reload func(now *config.Config) (*config.Config, error)

// changer carries a new configuration to the parts that go by it.
type changer struct {
	mu        sync.Mutex
	processes int            // of this proxy, that share its budgets
	cfg       *config.Config // in use
	door      string         // the door's file
	gate      *listener.Gate // nil without one
	plan      *engine.Engine
	fleet     *backend.Pool
	transport *forwarder.Transport
	clients   *listener.Server
	watcher   *discovery.Watcher
	figures   *metrics.Metrics
	log       *slog.Logger
}

// hangup takes over what the configuration says now, as one whole or not at all. The door's file is read with it, and by itself
// where the configuration is of no use.
func (c *changer) hangup(read reload) {
	// A file that never comes must hold up nobody else, so it is read without the lock: cfg is changed here alone.
	next, err := read(c.cfg)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		err = c.take(next)
	}
	c.figures.Loaded(err == nil)
	if err == nil {
		return
	}
	// A half-written or wrong file must not stop a proxy that serves.
	c.log.Error("the new configuration is not usable; the old one stays", "error", err)
	if c.gate == nil {
		return
	}
	if err := c.clients.ApplySettings(&c.cfg.Settings, c.changeDoor); err != nil {
		c.log.Error("the door's new file is not usable; the old one stays", "error", err)
	}
}

func (c *changer) take(next *config.Config) error {
	err := c.clients.ApplySettings(&next.Settings, func(numbered *settings.Settings) error {
		module, err := c.module(numbered)
		if err != nil {
			return err
		}
		// Whatever can be wrong is found before anything is changed.
		if _, err := policy.New(module, 0); err != nil {
			return fmt.Errorf("config: settings: %w", err)
		}
		if err := c.changeDoor(numbered); err != nil {
			return err
		}
		return c.plan.ApplySettings(module)
	})
	if err != nil {
		return err
	}
	limits := &next.Settings.Limits
	c.fleet.ApplySettings(micros(limits.DialTimeout), micros(limits.IdleClose), config.Columns(&next.Settings, &next.Module))
	c.transport.MaxRetryAfter.Store(settings.Micros(limits.MaxRetryAfter))
	c.figures.Classes(classNames(&next.Settings))
	for _, key := range fixed(c.cfg, next) {
		c.log.Warn("this key is taken over only by a restart", "key", key)
	}
	c.log.Info("configuration read again", "discovery", next.Discovery, "classes", classNames(&next.Settings), "attempts", limits.TryLimit)
	c.cfg = next
	c.watcher.Move(next.Discovery, next.Settings.Zones, next.Settings.InstanceTypes)
	return nil
}

// module is the module's form of settings. Where several processes serve, each is one of a larger group of proxies to its module:
// together they send cold servers and take of tenants' shares what one would.
func (c *changer) module(s *settings.Settings) (policy.Settings, error) {
	m, err := config.Module(s)
	m.GroupSize = max(1, m.GroupSize) * max(1, c.processes)
	return m, err
}

// share tells the module how many processes of this proxy serve.
func (c *changer) share(processes int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if processes == c.processes {
		return nil
	}
	c.processes = processes
	c.log.Info("processes of this proxy that serve", "processes", processes)
	return c.clients.ApplySettings(&c.cfg.Settings, func(numbered *settings.Settings) error {
		module, err := c.module(numbered)
		if err != nil {
			return err
		}
		return c.plan.ApplySettings(module)
	})
}

// changeDoor reads the door's file for settings.
func (c *changer) changeDoor(s *settings.Settings) error {
	if c.gate == nil {
		return nil
	}
	set, err := deployfile.ReadAdmission(c.door, s, c.cfg.Seed)
	if err != nil {
		return err
	}
	return c.gate.ApplySettings(set)
}

func classNames(s *settings.Settings) (names []string) {
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// fixed names the keys that differ but hold until the proxy starts anew.
func fixed(old, next *config.Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", old.Name == next.Name}, {"listen", old.Listen == next.Listen}, {"limits", old.Limits == next.Limits},
		{"operator", old.Operator == next.Operator},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}
