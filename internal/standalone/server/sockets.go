package server

import "pumiceline/internal/standalone/hotrestart"

// Fractions of the socket budget (limits.sockets).
const (
	// clientFraction is for client sockets and backendFraction for connections to backends. The rest is for the
	// listener, the admin API, discovery, a dial in progress and the runtime.
	clientFraction  = 0.55
	backendFraction = 0.35
	// Clients may also use the part of backendFraction that backends do not need. Of backendFraction they leave
	// unused at least backendReserve, and at least the open backend connections plus backendHeadroom.
	backendReserve  = 0.15
	backendHeadroom = 0.08
	// adminFraction is for the admin API, within minAdminSockets and maxAdminSockets.
	adminFraction   = 1.0 / 32
	minAdminSockets = 4
	maxAdminSockets = 12
	// guaranteedFraction is the part of clientFraction and of backendFraction that a process may always use, regardless
	// of the other processes of the proxy: a successor must be able to serve beside a process that has used up the
	// budget.
	guaranteedFraction = 0.25
)

// socketBudget is the number of sockets that all processes of the proxy may have open together.
type socketBudget float64

// clientShare is the number of client sockets that are always allowed where there is no other process.
func (b socketBudget) clientShare() int { return int(b * clientFraction) }

// backendShare is the number of backend connections that are allowed where there is no other process.
func (b socketBudget) backendShare() int { return int(b * backendFraction) }

// adminShare is the number of connections to the admin API.
func (b socketBudget) adminShare() int {
	return int(max(minAdminSockets, min(maxAdminSockets, b*adminFraction)))
}

// clientLimit is the number of client sockets allowed now: clientFraction, or more while backends do not use
// backendFraction, minus the client sockets of the other processes, but at least guaranteedFraction of clientFraction.
func (b socketBudget) clientLimit(backendConnections int, peers hotrestart.SocketUsage) int {
	used := socketBudget(backendConnections+peers.Backends) + b*backendHeadroom
	spare := b*(clientFraction+backendFraction) - max(b*backendReserve, used)
	return max(int(max(b*clientFraction, spare))-peers.Clients, int(b*clientFraction*guaranteedFraction))
}

// backendLimit is the number of backend connections allowed now: backendFraction minus the connections of the other
// processes, but at least guaranteedFraction of it.
func (b socketBudget) backendLimit(peers hotrestart.SocketUsage) int {
	return max(b.backendShare()-peers.Backends, int(b*backendFraction*guaranteedFraction))
}

// socketUsage returns how many sockets this process has open.
func (s *server) socketUsage() hotrestart.SocketUsage {
	return hotrestart.SocketUsage{Clients: s.clients.OpenSockets(), Backends: s.backends.OpenConnections()}
}

// shareQuotas adapts the limits of this process to the number of processes that have requests.
func (s *server) shareQuotas(processes int) error {
	s.backends.SetMaxConnections(s.sockets.backendLimit(s.process.PeerSockets()))
	return s.reloader.shareQuotas(processes)
}
