package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/lifecycle"
)

// statusPath is the path of the status at the address for readiness checks. Every other path is a readiness check.
const statusPath = "/status"

// Status is the state of a proxy. It is the body of GET /status at the address for readiness checks.
type Status struct {
	Node       string               `json:"node"`
	IsReady    bool                 `json:"ready"`
	IsDraining bool                 `json:"draining"`
	List       discovery.ListStatus `json:"list"` // the list of backends in use
	Process    lifecycle.Status     `json:"process"`
	Config     *ConfigStatus        `json:"config,omitempty"` // nil: no configuration has been applied
}

// ConfigStatus identifies the configuration that a proxy applies.
type ConfigStatus struct {
	Version configuration.Version `json:"version"` // the operator's
	// Digest is that of the stored configuration, as in the status of coordinators.
	Digest string `json:"digest"`
}

func (p *Proxy) serveStatus(w http.ResponseWriter) {
	status := Status{
		Node: p.settings.Node, IsReady: p.subscription.isReady.Load(), IsDraining: p.isDraining.Load(),
		List: p.subscription.monitor.Status(time.Now()), Process: p.process.Status(),
		Config: p.subscription.inForce.Load(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // a client that has disconnected asks again
}
