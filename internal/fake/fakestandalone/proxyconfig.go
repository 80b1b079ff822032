package fakestandalone

import (
	"encoding/json"
	"time"

	"pumiceline/internal/standalone/settings"
)

// instanceType is the instance type of all backends.
const instanceType = "std-8"

// Classes are the request classes of the configuration that ProxyConfig writes.
var Classes = []RequestClass{
	{Name: "quick-quote", Share: 0.5, Deadline: 1500 * time.Millisecond},
	{Name: "full-quote", Share: 0.3, Deadline: 6 * time.Second},
	{Name: "issue-policy", Share: 0.2, IdempotencyKey: true, Deadline: 3 * time.Second},
}

// Tenants are the tenants of the configuration that ProxyConfig writes.
var Tenants = []string{"steppe-tours", "khan-air"}

// ReplicaOptions are the parameters of a configuration.
type ReplicaOptions struct {
	Listen    string
	Discovery string // address
	Zones     []string
	Ordinal   int // of the replica, from 0
	GroupSize int // number of replicas
}

// ProxyConfig returns a complete configuration, in the platform's form, of the only replica of a proxy.
func ProxyConfig(listen, discovery string, zones []string) ([]byte, error) {
	return ReplicaConfig(ReplicaOptions{Listen: listen, Discovery: discovery, Zones: zones, GroupSize: 1})
}

// ReplicaConfig returns a complete configuration, in the platform's form, of one of a proxy's replicas.
func ReplicaConfig(opts ReplicaOptions) ([]byte, error) {
	return json.Marshal(map[string]any{"name": "try", "listen": opts.Listen, "discovery": opts.Discovery,
		"settings": replicaSettings(opts)})
}

func replicaSettings(opts ReplicaOptions) settings.Settings {
	s := settings.Settings{
		DiscoveryMode:  "subscribe",
		GroupSize:      opts.GroupSize,
		Ordinal:        opts.Ordinal,
		Zone:           opts.Ordinal % len(opts.Zones),
		Zones:          opts.Zones,
		InstanceTypes:  []string{instanceType},
		OverQuotaValue: 0.1,
		BatchPeriod:    5000,
		SizeReporting:  "nominal",
		ValueBasis:     "work",
	}
	for _, c := range Classes {
		s.Classes = append(s.Classes, classSettings(c))
	}
	for _, t := range Tenants {
		s.Tenants = append(s.Tenants, settings.Tenant{Name: t, QuotaPerS: 200})
	}
	const second = 1e6 // settings have microseconds
	l := &s.Limits
	l.AllowCancel, l.AllowHedging = true, true
	l.DialTimeout, l.ConnIdleTimeout, l.MaxRetryAfter = 0.25*second, 10*second, 2.5*second
	l.MaxOpenRequests, l.MaxAttempts = 20000, 3
	s.LoadReports.Columns, s.LoadReports.Delivery = []string{"cpu", "rps", "err_rps"}, "piggyback"
	s.Prices.CrossZone = 0.03
	r := &s.Rules
	r.ResponseGrace, r.SubscribeWithin = 0.02*second, 10*second
	r.WarmupTime, r.InitialCapacity = 24*second, 0.12
	r.OverloadTime, r.OverloadFactor = second, 3
	return s
}

func classSettings(c RequestClass) settings.Class {
	const second = 1e6
	class := settings.Class{
		Name:          c.Name,
		Semantics:     "pure",
		DedupScope:    "all",
		DedupWindow:   5 * second,
		LatencyTarget: c.Deadline.Seconds() / 2 * second,
		ClientTimeout: c.Deadline.Seconds() * second,
		Value:         1,
	}
	if c.IdempotencyKey {
		class.Semantics, class.DedupScope, class.DedupWindow, class.Value = "token", "zone", 3*second, 5
	}
	return class
}
