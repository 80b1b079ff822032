package model

// conns are one proxy's connections to one server.
type conns struct {
	epoch int32
	used  int32
	idle  []Time // since when, oldest first
}

// expire closes connections that have been idle for too long.
func (r *run) expire(k *conns, s *server) {
	n := 0
	for n < len(k.idle) && r.now-k.idle[n] >= Time(r.w.Conn.Idle) {
		n++
	}
	if n > 0 {
		s.conns -= n
		k.idle = append(k.idle[:0], k.idle[n:]...)
	}
}

func (r *run) sweep(n, inc int32) {
	p := &r.proxies[n]
	if p.inc != inc || !p.up {
		return
	}
	for s, k := range p.conns { // what is done to one server does not touch another: any order will do
		if srv := r.servers[s]; k.epoch == srv.epoch {
			r.expire(k, srv)
		} else {
			k.idle = k.idle[:0]
		}
		if len(k.idle) == 0 && k.used == 0 {
			delete(p.conns, s)
		}
	}
	r.at(r.now+1_000_000, event{kind: evSweep, a: n, b: inc})
}

// release ends an attempt's use of its connection: kept, or closed with it.
func (r *run) release(k *task, keep bool) {
	s, p := r.servers[k.server], &r.proxies[k.proxy]
	counted := s.epoch == k.epoch && (k.stage > travelling || !k.fresh)
	if p.up && p.inc == k.inc {
		if pool := p.conns[k.server]; pool != nil && pool.epoch == k.epoch {
			pool.used--
			if keep && counted {
				pool.idle = append(pool.idle, r.now)
				return
			}
		}
	}
	if counted {
		s.conns--
	}
}
