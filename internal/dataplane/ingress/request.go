package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/message"
)

// Request headers that only the proxy reads.
const (
	headerModel      = "Model"
	headerTokenCount = "Token-Count" // number of prompt tokens and, after a comma, maximum number of output tokens
)

const (
	// maxTimeLeft bounds the time that a client gives for a request. It is also used if the client's value is missing,
	// malformed or higher.
	maxTimeLeft = 10 * time.Minute
	// maxPriority is the number of the lowest priority; 0 is the highest priority.
	maxPriority = 9
	// defaultPromptTokens and defaultOutputTokens are used if the client does not give the number of tokens.
	defaultPromptTokens = 1000
	defaultOutputTokens = 200

	// A client is assumed to give up a stream if the first event does not arrive within the longest of three times:
	// this minimum, and the two multiples.
	minStreamTimeout       = 2 * time.Second
	streamTimeoutPerTarget = 4 // times the route's latency target
	streamTimeoutPerGap    = 8 // times the route's maximum gap between events
)

func newBalancerRequest(
	r *http.Request, route *configuration.Route, service string, arrived, deadline time.Time,
) *balancer.Request {
	request := &balancer.Request{
		Service: service, Model: message.ModelName(r.Header.Get(headerModel)), Priority: route.Priority,
		Arrived: arrived, Deadline: deadline, ClientTimeoutAt: clientTimeoutAt(route, arrived, deadline),
		LatencyTarget: route.LatencyTarget,
	}
	if request.Model != "" {
		tokens := parseTokenCount(r.Header.Get(headerTokenCount))
		request.PromptTokens, request.OutputTokens = tokens.prompt, tokens.output
	}
	return request
}

// tokenCount holds the number of tokens of a request's prompt and the maximum number of its output.
type tokenCount struct{ prompt, output int }

// parseTokenCount parses the value of headerTokenCount. A number that is missing or malformed gets its default.
func parseTokenCount(text string) tokenCount {
	count := tokenCount{prompt: defaultPromptTokens, output: defaultOutputTokens}
	promptText, outputText, hasOutput := strings.Cut(text, ",")
	if prompt, err := strconv.Atoi(strings.TrimSpace(promptText)); err == nil && prompt >= 0 {
		count.prompt = prompt
	}
	if output, err := strconv.Atoi(strings.TrimSpace(outputText)); hasOutput && err == nil && output >= 0 {
		count.output = output
	}
	return count
}

// priorityOf returns the priority that is sent to the backend: the client's unchanged if it is a number, otherwise the
// route's, limited to the range of the header. The proxy's own queue is ordered by the route's priority only.
func priorityOf(r *http.Request, route *configuration.Route) int {
	if text := r.Header.Get(backend.HeaderPriority); text != "" {
		if priority, err := strconv.Atoi(text); err == nil {
			return priority
		}
	}
	return min(maxPriority, max(0, route.Priority))
}

// timeLeft returns the time that the client gives for the request, from its arrival.
func timeLeft(r *http.Request) time.Duration {
	text := r.Header.Get(backend.HeaderTimeLeft)
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || milliseconds < 0 || milliseconds > float64(maxTimeLeft.Milliseconds()) {
		return maxTimeLeft
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// clientTimeoutAt estimates when the client gives up if it has received nothing. Of a stream it expects the first event
// long before the deadline.
func clientTimeoutAt(route *configuration.Route, arrived, deadline time.Time) time.Time {
	if route.Kind != configuration.Streaming {
		return deadline
	}
	timeout := max(minStreamTimeout, streamTimeoutPerTarget*route.LatencyTarget, streamTimeoutPerGap*route.MaxEventGap)
	if at := arrived.Add(timeout); at.Before(deadline) {
		return at
	}
	return deadline
}
