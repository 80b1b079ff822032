package model

import "pumiceline/internal/standalone/policy"

// waitCV is the coefficient of variation of what requests wait on others.
const waitCV = 0.25

// endDownstreamWait ends the wait on others of an attempt that its server has done its own work for.
func (r *simulation) endDownstreamWait(t int32, out policy.Outcome) {
	if k := &r.serverAttempts[t]; r.servers[k.server].epoch != k.epoch { // its process has ended meanwhile
		r.returnAttempt(t, policy.ConnectionReset, false)
		return
	}
	r.returnAnswer(t, out)
}

// touchKey says whether s met key of late, and has it meet it now. What it remembers is bounded: the key met longest ago goes.
func (r *simulation) touchKey(s *server, key uint64) bool {
	k := &r.scenario.Keys
	most := k.CapacityPerCore * s.instanceType.Cores
	if k.Count == 0 || most == 0 {
		return false
	}
	if s.keyHits == nil {
		s.keyHits = make(map[uint64]Time, most)
	}
	at, met := s.keyHits[key]
	if !met && len(s.keyHits) >= most {
		oldest, since := uint64(0), r.now+1
		for other, t := range s.keyHits {
			if t < since || t == since && other < oldest { // the map's order must not show
				oldest, since = other, t
			}
		}
		delete(s.keyHits, oldest)
	}
	s.keyHits[key] = r.now
	return met && r.now-at <= Time(k.TTL)
}

// probeServer has a proxy ask a server for its load. Its answer is late like every report; a server that hangs gives none.
func (r *simulation) probeServer(n int32, id uint32) {
	s := r.findServer(id)
	if reportDeliveryByName[r.scenario.Reports.Delivery] != policy.ReportsByPolling || s == nil {
		r.fail(n, "probes server %d, which it may not", id)
		return
	}
	r.observe(Record{Kind: ServerProbed, Proxy: n, Server: id})
	zone := r.proxies[n].zone
	r.schedule(r.nextTick(r.now+r.networkDelay(zone, s.zone)+r.networkDelay(s.zone, zone)), event{kind: evProbeResult, subject: n, number: r.proxies[n].incarnation, id: uint64(id)})
}

func (r *simulation) receiveProbe(n, inc int32, id uint32) {
	s, p := r.findServer(id), &r.proxies[n]
	if p.incarnation != inc || !p.up {
		return
	}
	r.policyEvent = policy.Event{Kind: policy.LoadPolled, Server: id, Outcome: policy.TimedOut}
	if s.state != stateDown && s.hangs == 0 && s.pauses == 0 && !r.isServerPartitioned(n, s) {
		r.policyEvent.Outcome = policy.OK
		if report, has := r.loadReport(s); has {
			r.reportBuffer = append(r.reportBuffer[:0], report[:]...)
			r.policyEvent.Report = r.reportBuffer
		}
	}
	r.deliver(n)
}
