package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// paceTable keeps, by model, how many milliseconds a prompt token takes until the first event where nothing waits
// before it: a low quantile of what was seen, as most of what is above it is waiting.
type paceTable map[message.ModelName]float64

const (
	usualPace   = 0.05 // milliseconds a token, where nothing was seen
	paceUp      = 0.02 // step upward after a slower request, as a part
	paceDown    = 0.10 // step downward after a faster one: a quantile of about a sixth
	leastPace   = 0.002
	firstEvent  = 35.0 // milliseconds that the shortest prompt takes, with the way there and back
	leastPrompt = 200  // shorter prompts say little
)

// work is how long the request's prompt should take, in milliseconds.
func (t paceTable) work(request *Request) float64 {
	pace, ok := t[message.ModelOf(request.Model)]
	if !ok {
		pace = usualPace
	}
	return pace * float64(request.PromptTokens)
}

// learn takes the time that a request's first event took.
func (t paceTable) learn(request *Request, span time.Duration) {
	if request.PromptTokens < leastPrompt {
		return
	}
	model := message.ModelOf(request.Model)
	seen := max(leastPace, (milliseconds(span)-firstEvent)/float64(request.PromptTokens))
	pace, ok := t[model]
	switch {
	case !ok:
		t[model] = seen
	case seen > pace:
		t[model] = pace * (1 + paceUp)
	default:
		t[model] = pace * (1 - paceDown)
	}
}
