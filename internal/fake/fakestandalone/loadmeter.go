package fakestandalone

import (
	"fmt"
	"sync"
	"time"
)

// loadMeter measures what a load report says. It is safe for concurrent use.
type loadMeter struct {
	mu          sync.Mutex
	periodStart time.Time
	busy        time.Duration // of all cores, in this period
	completed   int           // requests in this period, the failed ones among them
	failed      int
	latest      string // report, of the period before
}

// reportInterval is how often the values of a report are renewed.
const reportInterval = time.Second

// emptyReport is the report before the first period has ended.
const emptyReport = "TEXT util=0, qps=0, eps=0"

// add counts a request that kept a core busy for a time, and 1 if it failed.
func (m *loadMeter) add(busy time.Duration, failed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy += busy
	m.completed++
	m.failed += failed
}

// report returns the load as the header's text, with values that are about reportInterval old at most.
func (m *loadMeter) report(cores int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.periodStart.IsZero() {
		m.periodStart = now
	}
	if period := now.Sub(m.periodStart); period >= reportInterval {
		s := period.Seconds()
		m.latest = fmt.Sprintf("TEXT util=%.3f, qps=%.2f, eps=%.2f", min(1, m.busy.Seconds()/s/float64(cores)),
			float64(m.completed)/s, float64(m.failed)/s)
		m.periodStart, m.busy, m.completed, m.failed = now, 0, 0, 0
	}
	if m.latest == "" {
		return emptyReport
	}
	return m.latest
}
