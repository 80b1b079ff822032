package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
)

func TestParseTokenCount(t *testing.T) {
	tests := []struct {
		name, text string
		want       tokenCount
	}{
		{"none", "", tokenCount{defaultPromptTokens, defaultOutputTokens}},
		{"prompt and output", "30, 40", tokenCount{30, 40}},
		{"prompt alone", "30", tokenCount{30, defaultOutputTokens}},
		{"malformed prompt", "x,40", tokenCount{defaultPromptTokens, 40}},
		{"negative output", "30,-1", tokenCount{30, defaultOutputTokens}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, test.want, parseTokenCount(test.text)) })
	}
}

func TestTimeLeft(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": maxTimeLeft, "soon": maxTimeLeft, "-1": maxTimeLeft, "600001": maxTimeLeft,
		"0": 0, "1.5": 1500 * time.Microsecond, "30000": 30 * time.Second,
	} {
		request := &http.Request{Header: http.Header{backend.HeaderTimeLeft: {text}}}
		assert.Equal(t, want, timeLeft(request), text)
	}
}

func TestPriorityOf(t *testing.T) {
	route := &configuration.Route{Priority: 12}
	assert.Equal(t, maxPriority, priorityOf(&http.Request{Header: http.Header{}}, route), "the route's, limited to 0..9")
	client := http.Header{backend.HeaderPriority: {"2"}}
	assert.Equal(t, 2, priorityOf(&http.Request{Header: client}, route), "the client's takes precedence")
	malformed := http.Header{backend.HeaderPriority: {"high"}}
	assert.Equal(t, maxPriority, priorityOf(&http.Request{Header: malformed}, route))
}

func TestClientTimeoutAt(t *testing.T) {
	arrived := time.Unix(1000, 0)
	deadline := arrived.Add(10 * time.Second)
	tests := []struct {
		name  string
		route configuration.Route
		want  time.Time
	}{
		{"not a stream", configuration.Route{Kind: configuration.Changing, LatencyTarget: time.Second}, deadline},
		{"minimum", configuration.Route{Kind: configuration.Streaming}, arrived.Add(minStreamTimeout)},
		{"by latency target", configuration.Route{Kind: configuration.Streaming, LatencyTarget: time.Second},
			arrived.Add(4 * time.Second)},
		{"by event gap", configuration.Route{Kind: configuration.Streaming, MaxEventGap: time.Second},
			arrived.Add(8 * time.Second)},
		{"at most the deadline", configuration.Route{Kind: configuration.Streaming, LatencyTarget: time.Minute}, deadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, clientTimeoutAt(&test.route, arrived, deadline))
		})
	}
}
