package singleton

// Heartbeats are POSTs of a Heartbeat as JSON to HeartbeatPath. The response is 200 with a HeartbeatResponse as JSON.
const (
	HeartbeatPath = "/v1/beat"
	FleetHeader   = "X-Fleet"  // in each POST: the sender's fleet
	LeaderHeader  = "X-Leader" // in the response of a member that does not lead: the leader's ID, if the member knows it
)

// Heartbeat is the message that an instance sends to the lease manager.
type Heartbeat struct {
	Name        string        `json:"name"`
	Incarnation Incarnation   `json:"life"`
	Addr        string        `json:"addr,omitempty"` // for other instances; empty: they can't reach it
	Zone        string        `json:"zone,omitempty"`
	Build       uint64        `json:"build,omitempty"`   // a newer one is preferred
	Leaving     bool          `json:"leaving,omitempty"` // releases its roles and is granted no further ones
	Roles       []string      `json:"does,omitempty"`    // the roles that it can carry out; empty: all
	Leases      []LeaseReport `json:"held,omitempty"`
}

// LeaseReport is the state of a lease at its holder.
type LeaseReport struct {
	Role     string       `json:"work"`
	Token    FencingToken `json:"token"`
	Steps    uint64       `json:"steps"`          // completed with this token; a lease is renewed only when this grows
	Released bool         `json:"over,omitempty"` // the instance does nothing more with this token
}

// HeartbeatResponse is the response to a Heartbeat. It may be sent only once a quorum has confirmed, after the
// heartbeat was received, that the member still leads: a deposed leader would renew a lease that its successor lets
// expire.
type HeartbeatResponse struct {
	Leases []LeaseRenewal `json:"yours,omitempty"` // all leases of the incarnation that sent the heartbeat
	Reason string         `json:"why,omitempty"`   // why the instance is granted nothing
	// Holders lists, by role, the holders that other instances can reach. Whatever a holder sends to them carries its
	// token, as an effect does, so that they can reject a former holder.
	Holders map[string]HolderEndpoint `json:"owners,omitempty"`
}

// LeaseRenewal is the state of a lease at the lease manager.
type LeaseRenewal struct {
	Role      string       `json:"work"`
	Token     FencingToken `json:"token"`
	Remaining Time         `json:"left"`          // of the lease, by the lease manager's clock when it received the heartbeat
	Release   bool         `json:"end,omitempty"` // complete the step in progress and release the lease
}

// HolderEndpoint is the address and the token of a role's holder.
type HolderEndpoint struct {
	Addr  string       `json:"addr"`
	Token FencingToken `json:"token"`
}
