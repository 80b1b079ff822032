package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
)

// scrape returns all metrics as text.
func scrape(m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/v1/metrics", nil))
	return w.Body.String()
}

// The series of a class start at 0, stay when the class is removed, and continue when it is added again. The number of
// removed classes that keep series is bounded.
func TestMetrics_SeriesOfClasses(t *testing.T) {
	m := New()
	m.RegisterGauges(Gauges{
		InFlight:   func() int { return 7 },
		Backends:   func() int { return 12 },
		Unhealthy:  func() int { return 2 },
		TableSizes: func() map[string]int { return map[string]int{"hosts": 3} },
	})
	m.SetClasses([]string{"a", "b"})
	m.RequestEnded("a", Served)
	m.RequestEnded("a", Canceled)
	m.SetClasses([]string{"b", "c"})
	m.RequestEnded("a", Failed) // in flight while its class was removed
	m.SetClasses([]string{"a", "b"})
	m.AttemptSent()
	m.ConfigReloaded(true)
	m.ConfigReloaded(false)
	text := scrape(m)
	for _, line := range []string{`svc_answered_total{group="a"} 1`, `svc_errored_total{group="a"} 1`, `svc_deferred_total{group="c"} 0`,
		"svc_sends_total 1", "svc_conf_loaded_total 1", "svc_conf_invalid_total 1", "svc_current 7", "svc_cluster_size 12",
		"svc_cluster_unhealthy 2", `svc_kept{what="hosts"} 3`} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("%s is not in\n%s", line, text)
		}
	}
	for i := range 3 * maxRemovedClasses {
		m.SetClasses([]string{fmt.Sprint(i)})
	}
	if n := strings.Count(scrape(m), "svc_answered_total{"); n > maxRemovedClasses+1 {
		t.Errorf("%d classes have series", n)
	}
}
