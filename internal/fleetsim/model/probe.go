package model

import "pumiceline/internal/standalone/policy"

// waitCV is the coefficient of variation of what requests wait on others.
const waitCV = 0.25

// waited ends the wait on others of an attempt that its server has done its own work for.
func (r *run) waited(t int32, out policy.Outcome) {
	if k := &r.tasks[t]; r.servers[k.server].epoch != k.epoch { // its process has ended meanwhile
		r.returned(t, policy.ConnectionReset, false)
		return
	}
	r.reply(t, out)
}

// meets says whether s met key of late, and has it meet it now. What it remembers is bounded: the key met longest ago goes.
func (r *run) meets(s *server, key uint64) bool {
	k := &r.w.Keys
	most := k.PerCore * s.kind.Cores
	if k.Count == 0 || most == 0 {
		return false
	}
	if s.met == nil {
		s.met = make(map[uint64]Time, most)
	}
	at, met := s.met[key]
	if !met && len(s.met) >= most {
		oldest, since := uint64(0), r.now+1
		for other, t := range s.met {
			if t < since || t == since && other < oldest { // the map's order must not show
				oldest, since = other, t
			}
		}
		delete(s.met, oldest)
	}
	s.met[key] = r.now
	return met && r.now-at <= Time(k.For)
}

// probe has a proxy ask a server for its load. Its answer is late like every report; a server that hangs gives none.
func (r *run) probe(n int32, id uint32) {
	s := r.serverOf(id)
	if reportVias[r.w.Reports.Via] != policy.ReportsByPolling || s == nil {
		r.fail(n, "probes server %d, which it may not", id)
		return
	}
	r.see(Record{Kind: Probed, Proxy: n, Server: id})
	zone := r.proxies[n].zone
	r.at(r.tick(r.now+r.delay(zone, s.zone)+r.delay(s.zone, zone)), event{kind: evProbed, a: n, b: r.proxies[n].inc, id: uint64(id)})
}

func (r *run) probed(n, inc int32, id uint32) {
	s, p := r.serverOf(id), &r.proxies[n]
	if p.inc != inc || !p.up {
		return
	}
	r.ev = policy.Event{Kind: policy.LoadPolled, Server: id, Outcome: policy.TimedOut}
	if s.state != down && s.hung == 0 && s.paused == 0 && !r.parted(n, s) {
		r.ev.Outcome = policy.OK
		if report, has := r.reportOf(s); has {
			r.report = append(r.report[:0], report[:]...)
			r.ev.Report = r.report
		}
	}
	r.give(n)
}
