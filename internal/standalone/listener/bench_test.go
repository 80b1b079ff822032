package listener

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"pumiceline/internal/standalone/metrics"
)

// BenchmarkFigures shows what the figures cost: a request through the front alone, without sockets, and the counts that it makes.
// Their ratio holds in one run, whatever the machine.
func BenchmarkFigures(b *testing.B) {
	f := newFront(answer, 9)
	b.Run("request", func(b *testing.B) {
		for i := range b.N {
			r := httptest.NewRequest(http.MethodGet, "/quote", nil)
			r.Header = http.Header{correlationIDHeader: {fmt.Sprint(i)}, classHeader: {"quote"}, tenantHeader: {"acme"}, timeLeftHeader: {"900"}}
			f.ServeHTTP(httptest.NewRecorder(), r)
		}
	})
	b.Run("counts", func(b *testing.B) {
		for range b.N {
			f.opts.Metrics.Sent()
			f.opts.Metrics.End("quote", metrics.Answered)
		}
	})
}
