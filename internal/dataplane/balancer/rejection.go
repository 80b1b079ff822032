package balancer

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// pendingModelLoad is a load of a model that is in progress at a backend.
type pendingModelLoad struct {
	message.PendingModelLoad
	readyAt time.Time
}

// provides reports whether the load is of the request's model, or of the base model of its adapter.
func (l *pendingModelLoad) provides(request *Request) bool {
	return l.Service == request.Service && (l.Model == request.Model || l.Model == request.Model.Base())
}

// rejectIfTooLate rejects a request that cannot be served in time even if it waits. It returns false if the request
// waits: for capacity if a backend has loaded its model or it has no model, otherwise for a load of its model.
func (b *Balancer) rejectIfTooLate(request *Request, isModelLoaded bool, now time.Time) bool {
	if isModelLoaded || request.Model == "" {
		return b.rejectWithoutCapacity(request, now)
	}
	return b.rejectWithoutModel(request, now)
}

func (b *Balancer) rejectWithoutCapacity(request *Request, now time.Time) bool {
	request.waitReason = WaitCapacity
	if now.Sub(request.Arrived) < time.Duration(capacityWaitShare*float64(request.LatencyTarget)) {
		return false
	}
	b.reject(request, rejectedRetryAfter, RejectNoCapacity)
	return true
}

func (b *Balancer) rejectWithoutModel(request *Request, now time.Time) bool {
	if request.waitReason != WaitModel {
		request.waitReason = WaitModel
		b.hasUnmetDemand = true
	}
	if b.isDraining {
		b.reject(request, drainingRetryAfter, RejectDraining)
		return true
	}
	readyAt := b.expectedReadyAt(request, now)
	if !readyAt.Add(minServiceTime).After(request.ClientTimeoutAt) {
		return false
	}
	b.demandFor(request).unserved++
	b.reject(request, max(rejectedRetryAfter, readyAt.Sub(now)), RejectNoModel)
	return true
}

// expectedReadyAt estimates when the request's model will be loaded: by the load in progress if there is one,
// otherwise by the time of a load that begins now.
func (b *Balancer) expectedReadyAt(request *Request, now time.Time) time.Time {
	for i := range b.pendingModelLoads {
		if load := &b.pendingModelLoads[i]; load.provides(request) {
			return load.readyAt.Add(loadPropagation / 2) // the mean of a propagation time between 0 and loadPropagation
		}
	}
	runtime := b.runtime(request.Service)
	if runtime == nil {
		return now.Add(unknownLoadTime)
	}
	if now.Sub(request.Arrived) < time.Duration(placementWaitShare*float64(request.LatencyTarget)) {
		return now.Add(warmLoadTime) // a backend may still be told to load it from its own disk
	}
	for _, model := range runtime.Models {
		if model.Name == request.Model.Base() {
			if b.isLoadedAnywhere(request.Service, model.Name, now) {
				return now.Add(adapterLoadTime) // only the adapter is missing
			}
			return now.Add(model.LoadTime + loadPropagation)
		}
	}
	return now.Add(unknownLoadTime)
}

// isLoadedAnywhere reports whether any backend of the service has loaded the model, including draining and ejected
// ones.
func (b *Balancer) isLoadedAnywhere(service string, model message.ModelName, now time.Time) bool {
	s := b.services[service]
	return s != nil && slices.ContainsFunc(s.backends, func(backend *Backend) bool { return backend.hasModel(model, now) })
}

// reject answers a request that waits in Dispatcher.Pick. It does not block: each Submit is answered once, and Pick
// reads the result, so the channel has space.
func (b *Balancer) reject(request *Request, retryAfter time.Duration, reason RejectReason) {
	request.result <- PickResult{
		RetryAfter: retryAfter, Rejection: reason, Decision: Decision{WaitReason: request.waitReason},
	}
}
