package balancer

import "time"

// FirstEvent notes that the first event of an attempt came, elapsed after it was sent: its prefill is over.
func (b *Balancer) FirstEvent(request *Request, backend *Backend, elapsed time.Duration) {
	b.endPrefill(request, backend)
	b.prefill.observe(request, elapsed)
}

// Finish takes the outcome of an attempt, which took elapsed since it was sent. It must be called once for each picked
// backend.
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
		request.sentAttempts-- // nothing was sent, so another attempt is no retry
		backend.markUnreachable(now)
	case Canceled: // it says nothing of the backend
	}
	b.updateWeights(backend.Service, now)
	b.answerQueued(now)
}

// endPrefill removes the request's prefill from what is queued at the backend, once for each attempt.
func (b *Balancer) endPrefill(request *Request, backend *Backend) {
	if request.isPrefilling {
		b.changedLoads[backend.ID] = backend
		request.isPrefilling = false
		backend.queuedPrefillMs = max(0, backend.queuedPrefillMs-request.prefillMs)
	}
}

// markUnreachable ejects a backend that could not be connected to, for a time that doubles with each failure.
func (b *Backend) markUnreachable(now time.Time) {
	b.connectBackoff = min(maxConnectBackoff, max(initialConnectBackoff, b.connectBackoff*2))
	b.isUnreachable, b.probeAt = true, now.Add(b.connectBackoff)
}

// markReachable ends the ejection of an unreachable backend after an attempt that it answered. As in gRFC A100, slow
// start begins when a connection becomes ready.
func (b *Backend) markReachable(now time.Time) {
	if b.isUnreachable {
		b.isUnreachable, b.connectBackoff = false, 0
		b.stats.readySince = now
	}
}
