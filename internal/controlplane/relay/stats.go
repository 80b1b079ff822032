package relay

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/message"
)

// Latencies are measured from one microsecond to a minute, with two significant figures.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	significantFigures = 2
)

// Stats are the figures of a relay since it was made.
type Stats struct {
	Calls          []CallCount   `json:"calls"`        // by kind, then status
	Latencies      []CallLatency `json:"latencies"`    // by kind; without watches, which wait for events
	WaitingCalls   int           `json:"waitingCalls"` // without watches
	WaitingWatches int           `json:"waitingWatches"`
	Requests       uint64        `json:"requests"` // requests sent, including repeated ones
}

// CallCount counts the calls of a kind that were answered with a status.
type CallCount struct {
	Kind   KindName `json:"kind"`
	Status int      `json:"status"` // HTTP status; 429, 503 and 504 come from the relay itself
	Count  uint64   `json:"count"`
}

// CallLatency is how long calls of a kind waited for their answer. Calls without an answer are not counted.
type CallLatency struct {
	Kind     KindName `json:"kind"`
	MedianMs float64  `json:"p50Ms"`
	P99Ms    float64  `json:"p99Ms"`
}

// KindName is the name of a kind of calls, for operators.
type KindName string

var kindNames = map[message.CallKind]KindName{
	message.CallAcquire: "acquire", message.CallRenew: "renew", message.CallRelease: "release", message.CallNumber: "number",
	message.CallPut: "put", message.CallGet: "get", message.CallWatch: "watch",
}

// Stats returns the figures so far. It is safe for concurrent use.
func (r *Relay) Stats() Stats {
	stats := r.meter.stats()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stats.WaitingCalls, stats.WaitingWatches = r.calls, r.watches
	return stats
}

// meter counts calls and measures their latency.
type meter struct {
	requests atomic.Uint64

	mutex     sync.Mutex
	counts    map[outcome]uint64
	latencies map[message.CallKind]*hdrhistogram.Histogram // in microseconds
}

// outcome is the key by which calls are counted.
type outcome struct {
	kind   message.CallKind
	status int
}

func newMeter() meter {
	return meter{counts: map[outcome]uint64{}, latencies: map[message.CallKind]*hdrhistogram.Histogram{}}
}

// record counts a call that has ended.
func (m *meter) record(kind message.CallKind, answer message.Answer, err error, latency time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err != nil {
		m.counts[outcome{kind, coordinationapi.StatusOfError(err)}]++
		return
	}
	m.counts[outcome{kind, int(answer.Status)}]++
	if kind == message.CallWatch {
		return
	}
	histogram, ok := m.latencies[kind]
	if !ok {
		histogram = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantFigures)
		m.latencies[kind] = histogram
	}
	_ = histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros)) // it fails only beyond the maximum
}

func (m *meter) stats() Stats {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	stats := Stats{Calls: []CallCount{}, Latencies: []CallLatency{}, Requests: m.requests.Load()}
	for o, count := range m.counts {
		stats.Calls = append(stats.Calls, CallCount{Kind: kindNames[o.kind], Status: o.status, Count: count})
	}
	slices.SortFunc(stats.Calls, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Status, b.Status))
	})
	for kind, histogram := range m.latencies {
		stats.Latencies = append(stats.Latencies, CallLatency{
			Kind: kindNames[kind], MedianMs: milliseconds(histogram.ValueAtQuantile(50)), P99Ms: milliseconds(histogram.ValueAtQuantile(99)),
		})
	}
	slices.SortFunc(stats.Latencies, func(a, b CallLatency) int { return cmp.Compare(a.Kind, b.Kind) })
	return stats
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
