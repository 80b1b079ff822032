package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// prefillRates keeps by model how many milliseconds a prompt token takes until the first event where no other prefill
// is queued before it. It tracks a low quantile of the observations, as most of what lies above it is queueing.
type prefillRates map[message.ModelName]float64

// estimateMs is how long the prefill of the request should take, in milliseconds.
func (r prefillRates) estimateMs(request *Request) float64 {
	rate, ok := r[request.Model.Base()]
	if !ok {
		rate = defaultPrefillRate
	}
	return rate * float64(request.PromptTokens)
}

// observe takes the time from sending a request to its first event.
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
