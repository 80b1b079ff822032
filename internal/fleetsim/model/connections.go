package model

// connectionPool holds one proxy's connections to one server process.
type connectionPool struct {
	generation int32 // of the server process
	inUse      int32
	idleSince  []Time // of the idle connections, longest idle first
}

// openConnections returns a proxy's connection pool for a server, after removing broken and expired connections.
func (sm *simulation) openConnections(p *proxy, s *server) *connectionPool {
	pool := p.connections[s.index]
	if pool == nil {
		pool = &connectionPool{}
		p.connections[s.index] = pool
	}
	if pool.generation != s.generation { // the server process was replaced: the old connections are broken
		*pool = connectionPool{generation: s.generation}
	}
	sm.closeExpired(pool, s)
	return pool
}

// closeExpired closes connections that have been idle for IdleTimeout.
func (sm *simulation) closeExpired(pool *connectionPool, s *server) {
	expired := 0
	for expired < len(pool.idleSince) && sm.now-pool.idleSince[expired] >= Time(sm.scenario.Connections.IdleTimeout) {
		expired++
	}
	if expired > 0 {
		s.connections -= expired
		pool.idleSince = append(pool.idleSince[:0], pool.idleSince[expired:]...)
	}
}

// closeIdleConnections closes a proxy's expired connections. It repeats once a second until the proxy's process ends.
func (sm *simulation) closeIdleConnections(proxyIndex, generation int32) {
	if !sm.isRunning(proxyIndex, generation) {
		return
	}
	p := &sm.proxies[proxyIndex]
	for serverIndex, pool := range p.connections { // the order does not matter: each server is handled by itself
		if s := sm.servers[serverIndex]; pool.generation == s.generation {
			sm.closeExpired(pool, s)
		} else {
			pool.idleSince = pool.idleSince[:0]
		}
		if len(pool.idleSince) == 0 && pool.inUse == 0 {
			delete(p.connections, serverIndex)
		}
	}
	sm.schedule(sm.now+microsPerSecond, event{kind: evCloseIdle, subject: proxyIndex, number: generation})
}

// closeIdleConnectionsTo carries out a node's CloseIdleConns.
func (sm *simulation) closeIdleConnectionsTo(p *proxy, serverID uint32) {
	s := sm.findServer(serverID)
	if s == nil {
		return
	}
	if pool := p.connections[s.index]; pool != nil && pool.generation == s.generation {
		s.connections -= len(pool.idleSince)
		pool.idleSince = pool.idleSince[:0]
	}
}

// releaseMode selects whether a connection stays open after an attempt.
type releaseMode bool

const (
	keepConnection  releaseMode = true // idle, for a later attempt
	closeConnection releaseMode = false
)

// releaseConnection ends an attempt's use of its connection.
func (sm *simulation) releaseConnection(attempt *serverAttempt, mode releaseMode) {
	s, p := sm.servers[attempt.server], &sm.proxies[attempt.proxy]
	// The server counts a connection from the end of the handshake until its process ends.
	isCounted := s.generation == attempt.serverGeneration && (attempt.stage > stageTravelling || !attempt.newConnection)
	if p.up && p.generation == attempt.proxyGeneration {
		if pool := p.connections[attempt.server]; pool != nil && pool.generation == attempt.serverGeneration {
			pool.inUse--
			if mode == keepConnection && isCounted {
				pool.idleSince = append(pool.idleSince, sm.now)
				return
			}
		}
	}
	if isCounted {
		s.connections--
	}
}
