package listener

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"pumiceline/internal/standalone/metrics"
)

// BenchmarkMetrics compares the cost of a request through the server, without sockets, with the cost of counting it in
// the metrics. The ratio of the two within one run does not depend on the machine.
func BenchmarkMetrics(b *testing.B) {
	server := newTestServer(respondOK, 9)
	b.Run("request", func(b *testing.B) {
		for i := range b.N {
			r := httptest.NewRequest(http.MethodGet, "/quote", nil)
			r.Header = http.Header{
				correlationIDHeader: {fmt.Sprint(i)},
				classHeader:         {"quote"},
				tenantHeader:        {"acme"},
				timeLeftHeader:      {"900"},
			}
			server.ServeHTTP(httptest.NewRecorder(), r)
		}
	})
	b.Run("counts", func(b *testing.B) {
		for range b.N {
			server.opts.Metrics.AttemptSent()
			server.opts.Metrics.RequestEnded("quote", metrics.Served)
		}
	})
}
