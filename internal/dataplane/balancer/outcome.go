package balancer

import (
	"time"
)

// Finish takes the outcome of an attempt.
func (b *Balancer) Finish(request *Request, backend *Backend, outcome Outcome, span time.Duration, now time.Time) {
	backend.running--
	b.dequeue(request, backend)
	backend.tokens -= request.PromptTokens + request.OutputTokens
	backend.trialOut = false
	if request.Model != "" {
		b.countDemand(request).running--
		b.changed[backend.ID] = backend
	}
	switch outcome {
	case Answered:
		backend.evidence.report(now, span, false)
		b.connected(backend, now)
	case Failed:
		backend.evidence.report(now, span, true)
	case NotRun:
		backend.shedUntil = now.Add(shedPause)
		b.connected(backend, now)
	case NotHere:
		backend.missing[request.Model] = now.Add(missingPause)
		b.connected(backend, now)
	case ConnectFailed:
		request.sends-- // nothing has arrived anywhere
		backend.backoff = min(maxBackoff, max(connectBackoff, backend.backoff*2))
		backend.lost, backend.retryAt = true, now.Add(backend.backoff)
	}
	b.reweigh(backend, now)
	b.serveWaiting(now)
}

// Began notes that a request's first event came after span.
func (b *Balancer) Began(request *Request, backend *Backend, span time.Duration) {
	b.dequeue(request, backend)
	b.pace.learn(request, span)
}

func (b *Balancer) dequeue(request *Request, backend *Backend) {
	if request.queued {
		b.changed[backend.ID] = backend
		request.queued = false
		backend.queued = max(0, backend.queued-request.work)
	}
}

// connected ends the time out of the schedule after a trial send that came through.
func (b *Balancer) connected(backend *Backend, now time.Time) {
	if backend.lost {
		backend.lost, backend.backoff = false, 0
		backend.evidence.readySince = now
	}
}

// reweigh brings the weights of a backend's service up to date.
func (b *Balancer) reweigh(changed *Backend, now time.Time) {
	s := b.services[changed.Service]
	if s == nil {
		return
	}
	total, count := 0.0, 0
	for _, backend := range s.backends {
		if weight, ok := backend.evidence.derived(now, backend.Capacity); ok {
			total += weight
			count++
		}
	}
	for _, backend := range s.backends {
		weight := 1.0
		if count > 0 {
			mean := total / float64(count)
			if derived, ok := backend.evidence.derived(now, backend.Capacity); ok {
				weight = derived / mean // relative to the mean, which is used in the blackout
			}
		}
		backend.weight = max(minWeight, weight*backend.evidence.ramp(now))
	}
}
