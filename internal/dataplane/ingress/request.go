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

// Request headers that the proxy alone reads.
const (
	headerModel      = "Model"
	headerTokenCount = "Token-Count" // tokens of the prompt and, after a comma, at most of the output
)

const (
	// maxTimeLeft bounds the time that a client gives; it is also used where the client gives none or a malformed one.
	maxTimeLeft = 10 * time.Minute
	// maxPriority is the number of the lowest priority; 0 is the highest.
	maxPriority = 9
	// defaultPromptTokens and defaultOutputTokens are used where the client does not give the number of tokens.
	defaultPromptTokens = 1000
	defaultOutputTokens = 200

	// A client is assumed to give up a stream that has sent no event for the longest of these three times.
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

// tokenCount is the number of tokens of a request's prompt and, at most, of its output.
type tokenCount struct{ prompt, output int }

// parseTokenCount reads the value of headerTokenCount. What is missing or malformed gets its default.
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

// priorityOf is the priority that the backend gets: the client's as it is, else the route's within the bounds of the
// header. The proxy's own queue is ordered by the route's alone.
func priorityOf(r *http.Request, route *configuration.Route) int {
	if text := r.Header.Get(backend.HeaderPriority); text != "" {
		if priority, err := strconv.Atoi(text); err == nil {
			return priority
		}
	}
	return min(maxPriority, max(0, route.Priority))
}

// timeLeft is the time that the client gives the request, from its arrival.
func timeLeft(r *http.Request) time.Duration {
	text := r.Header.Get(backend.HeaderTimeLeft)
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || milliseconds < 0 || milliseconds > float64(maxTimeLeft.Milliseconds()) {
		return maxTimeLeft
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// clientTimeoutAt estimates when the client gives up if it has received nothing: of a stream it expects a first event
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
