package model

// connections are one proxy's connections to one server.
type connectionPool struct {
	epoch int32
	used  int32
	idle  []Time // since when, oldest first
}

// closeExpired closes connections that have been idle for too long.
func (r *simulation) closeExpired(k *connectionPool, s *server) {
	n := 0
	for n < len(k.idle) && r.now-k.idle[n] >= Time(r.scenario.Connections.IdleTimeout) {
		n++
	}
	if n > 0 {
		s.connections -= n
		k.idle = append(k.idle[:0], k.idle[n:]...)
	}
}

func (r *simulation) closeIdleConnections(n, inc int32) {
	p := &r.proxies[n]
	if p.incarnation != inc || !p.up {
		return
	}
	for s, k := range p.connections { // what is done to one server does not touch another: any order will do
		if srv := r.servers[s]; k.epoch == srv.epoch {
			r.closeExpired(k, srv)
		} else {
			k.idle = k.idle[:0]
		}
		if len(k.idle) == 0 && k.used == 0 {
			delete(p.connections, s)
		}
	}
	r.schedule(r.now+1_000_000, event{kind: evCloseIdle, subject: n, number: inc})
}

// releaseConnection ends an attempt's use of its connection: kept, or closed with it.
func (r *simulation) releaseConnection(k *serverAttempt, keep bool) {
	s, p := r.servers[k.server], &r.proxies[k.proxy]
	counted := s.epoch == k.epoch && (k.stage > stageTravelling || !k.newConnection)
	if p.up && p.incarnation == k.incarnation {
		if pool := p.connections[k.server]; pool != nil && pool.epoch == k.epoch {
			pool.used--
			if keep && counted {
				pool.idle = append(pool.idle, r.now)
				return
			}
		}
	}
	if counted {
		s.connections--
	}
}
