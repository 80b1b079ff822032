package balancer

import "time"

// FirstEvent records that the first event of an attempt arrived, elapsed after it was sent: its prefill is complete.
func (b *Balancer) FirstEvent(request *Request, backend *Backend, elapsed time.Duration) {
	b.endPrefill(request, backend)
	b.prefill.observe(request, elapsed)
}

// Finish records the outcome of an attempt, elapsed after it was sent. It must be called exactly once for each picked
// backend: until then the attempt counts as in flight.
func (b *Balancer) Finish(request *Request, backend *Backend, outcome Outcome, elapsed time.Duration, now time.Time) {
	backend.inFlight--
	b.endPrefill(request, backend)
	backend.inFlightTokens -= request.tokens()
	backend.probeInFlight = false
	if request.Model != "" {
		b.demandFor(request).inFlight--
		b.changedLoads[backend.ID] = backend
	}
	switch outcome {
	case Succeeded:
		backend.stats.addCompletion(now, elapsed)
		backend.markReachable(now)
	case Failed:
		backend.stats.addError(now)
	case ErrorResponse:
		backend.stats.addError(now)
		backend.markReachable(now)
	case Rejected:
		backend.ejectedUntil = now.Add(overloadEjection)
		backend.markReachable(now)
	case Misdirected:
		backend.missingUntil[request.Model] = now.Add(missingModelEjection)
		backend.markReachable(now)
	case ConnectFailed:
		request.sentAttempts-- // nothing was sent, so another attempt does not count as a retry
		backend.markUnreachable(now)
	case Withdrawn:
		request.sentAttempts--
	case Canceled: // the outcome gives no information about the backend
	}
	b.updateWeights(backend.Service, now)
	b.answerQueued(now)
}

// endPrefill subtracts the request's prefill time from the prefill queued at the backend, once for each attempt.
func (b *Balancer) endPrefill(request *Request, backend *Backend) {
	if request.isPrefilling {
		b.changedLoads[backend.ID] = backend
		request.isPrefilling = false
		backend.queuedPrefillMs = max(0, backend.queuedPrefillMs-request.prefillMs)
	}
}

// markUnreachable ejects a backend after a failure to connect, for a time that doubles with each consecutive failure.
func (b *Backend) markUnreachable(now time.Time) {
	b.connectBackoff = min(maxConnectBackoff, max(initialConnectBackoff, b.connectBackoff*2))
	b.isUnreachable, b.probeAt = true, now.Add(b.connectBackoff)
}

// markReachable ends the ejection of an unreachable backend that has responded to an attempt. As in gRFC A100, slow
// start begins when a connection becomes ready, so it restarts here.
func (b *Backend) markReachable(now time.Time) {
	if b.isUnreachable {
		b.isUnreachable, b.connectBackoff = false, 0
		b.stats.readySince = now
	}
}
