package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// prefillRates estimates for each model the prefill time per prompt token, in milliseconds, without queueing at the
// backend. It tracks a low quantile of the observed times, because most of the time above it is queueing.
type prefillRates map[message.ModelName]float64

// estimateMs returns the estimated time of the request's prefill, in milliseconds.
func (r prefillRates) estimateMs(request *Request) float64 {
	rate, ok := r[request.Model.Base()]
	if !ok {
		rate = defaultPrefillRate
	}
	return rate * float64(request.PromptTokens)
}

// observe updates the estimate by the time from sending a request to its first event.
func (r prefillRates) observe(request *Request, elapsed time.Duration) {
	if request.PromptTokens < minObservedPrompt {
		return
	}
	model := request.Model.Base()
	observed := max(minPrefillRate, (milliseconds(elapsed)-firstEventOverheadMs)/float64(request.PromptTokens))
	rate, ok := r[model]
	switch {
	case !ok:
		r[model] = observed
	case observed > rate:
		r[model] = rate * (1 + rateStepUp)
	default:
		r[model] = rate * (1 - rateStepDown)
	}
}
