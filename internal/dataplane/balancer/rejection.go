package balancer

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// pendingModelLoad is a load of a model by a backend that is in progress.
type pendingModelLoad struct {
	message.PendingModelLoad
	readyAt time.Time
}

// provides reports whether the load brings the request's model, or the base model of its adapter.
func (l *pendingModelLoad) provides(request *Request) bool {
	return l.Service == request.Service && (l.Model == request.Model || l.Model == request.Model.Base())
}

// rejectIfTooLate rejects a request that cannot be served in time by waiting; false means that it waits: for capacity
// where a backend has loaded its model, else for a load.
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

// expectedReadyAt estimates when the request's model is loaded: by the load in progress where there is one, else by how
// long a load that begins now takes.
func (b *Balancer) expectedReadyAt(request *Request, now time.Time) time.Time {
	for i := range b.pendingModelLoads {
		if load := &b.pendingModelLoads[i]; load.provides(request) {
			return load.readyAt.Add(loadPropagation / 2) // the mean, where it is between 0 and loadPropagation
		}
	}
	runtime := b.runtime(request.Service)
	if runtime == nil {
		return now.Add(unknownLoadTime)
	}
	if now.Sub(request.Arrived) < time.Duration(placementWaitShare*float64(request.LatencyTarget)) {
		return now.Add(warmLoadTime) // it may still be placed, by a load from a backend's own disk
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

// isLoadedAnywhere reports whether a backend of the service has loaded the model, draining or ejected ones included.
func (b *Balancer) isLoadedAnywhere(service string, model message.ModelName, now time.Time) bool {
	s := b.services[service]
	return s != nil && slices.ContainsFunc(s.backends, func(backend *Backend) bool { return backend.hasModel(model, now) })
}

// reject answers a request that waits in Dispatcher.Pick. The channel has space: each Submit is answered once.
func (b *Balancer) reject(request *Request, retryAfter time.Duration, reason RejectReason) {
	request.result <- PickResult{
		RetryAfter: retryAfter, Rejection: reason, Decision: Decision{WaitReason: request.waitReason},
	}
}
