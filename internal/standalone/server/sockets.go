package server

import "pumiceline/internal/standalone/hotrestart"

// Fractions of the socket budget: client sockets and connections to backends have one each, the rest is for the listener,
// discovery, a dial in progress and the runtime.
const (
	clientFraction  = 0.55
	backendFraction = 0.35
	// Of the backends' fraction, clients may use what is over the reserve and over what is in use with some headroom.
	backendReserve  = 0.15
	backendHeadroom = 0.08
	// adminFraction is that of the admin API, between minAdminSockets and maxAdminSockets.
	adminFraction   = 1.0 / 32
	minAdminSockets = 4
	maxAdminSockets = 12
	// guaranteedFraction of its fraction may be used by a process whatever the other processes of the proxy use.
	guaranteedFraction = 0.25
)

// socketBudget is how many sockets all processes of the proxy may hold together.
type socketBudget float64

// clientShare is the number of client sockets that are allowed in any case.
func (b socketBudget) clientShare() int { return int(b * clientFraction) }

// backendShare is the number of backend connections without other processes.
func (b socketBudget) backendShare() int { return int(b * backendFraction) }

// adminShare is the number of connections to the admin API.
func (b socketBudget) adminShare() int {
	return int(max(minAdminSockets, min(maxAdminSockets, b*adminFraction)))
}

// clientLimit is the number of client sockets allowed now: what the backends have no use for is lent to clients, what other
// processes hold is taken off.
func (b socketBudget) clientLimit(backendConnections int, peers hotrestart.SocketUsage) int {
	used := socketBudget(backendConnections+peers.Backends) + b*backendHeadroom
	spare := b*(clientFraction+backendFraction) - max(b*backendReserve, used)
	return max(int(max(b*clientFraction, spare))-peers.Clients, int(b*clientFraction*guaranteedFraction))
}

// backendLimit is the number of backend connections allowed now.
func (b socketBudget) backendLimit(peers hotrestart.SocketUsage) int {
	return max(b.backendShare()-peers.Backends, int(b*backendFraction*guaranteedFraction))
}

// socketUsage returns what this process holds.
func (s *server) socketUsage() hotrestart.SocketUsage {
	return hotrestart.SocketUsage{Clients: s.clients.OpenSockets(), Backends: s.backends.OpenConnections()}
}

// shareQuotas adapts the limits of this process to the number of processes that have requests.
func (s *server) shareQuotas(processes int) error {
	s.backends.SetMaxConnections(s.sockets.backendLimit(s.process.PeerSockets()))
	return s.reloader.shareQuotas(processes)
}
