package fakestandalone

import (
	"fmt"
	"sync"
	"time"
)

// loadMeter measures the values of a load report. It is safe for concurrent use.
type loadMeter struct {
	mu          sync.Mutex
	periodStart time.Time
	busy        time.Duration // of all cores, in this period
	completed   int           // requests in this period, the failed ones among them
	failed      int
	latest      string // report of the previous period
}

// reportInterval is the minimum length of a period.
const reportInterval = time.Second

// emptyReport is the report before the first period has ended.
const emptyReport = "TEXT util=0, qps=0, eps=0"

// countServed counts a request that kept a core busy for a time.
func (m *loadMeter) countServed(busy time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy += busy
	m.completed++
}

// countFailed counts a request that failed without being served.
func (m *loadMeter) countFailed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completed++
	m.failed++
}

// report returns the load as the text of the load header, with the values of the latest period that has ended. A period
// ends with the first report that is at least reportInterval after its start.
func (m *loadMeter) report(cores int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.periodStart.IsZero() {
		m.periodStart = now
	}
	if period := now.Sub(m.periodStart); period >= reportInterval {
		seconds := period.Seconds()
		m.latest = fmt.Sprintf("TEXT util=%.3f, qps=%.2f, eps=%.2f", min(1, m.busy.Seconds()/seconds/float64(cores)),
			float64(m.completed)/seconds, float64(m.failed)/seconds)
		m.periodStart, m.busy, m.completed, m.failed = now, 0, 0, 0
	}
	if m.latest == "" {
		return emptyReport
	}
	return m.latest
}
