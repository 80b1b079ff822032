package proxy

import (
	"encoding/json"
	"net/http"
	"time"

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
}

func (p *Proxy) serveStatus(w http.ResponseWriter) {
	status := Status{
		Node: p.settings.Node, IsReady: p.subscription.isReady.Load(), IsDraining: p.isDraining.Load(),
		List: p.subscription.monitor.Status(time.Now()), Process: p.process.Status(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // a client that has disconnected asks again
}
