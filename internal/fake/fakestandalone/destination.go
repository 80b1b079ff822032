package fakestandalone

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Backend is a destination that answers each request after some work, on a number of cores, and reports its load.
// Its fields may not change once it serves; what may change has a method.
type Backend struct {
	Name  string
	Cores int    // requests in work at once; others wait
	Serve func() // done on a core for each request

	once              sync.Once
	cores             chan struct{}
	draining          atomic.Bool
	served            atomic.Int64
	loadQueries       atomic.Int64
	inFlight          atomic.Int64
	errorsPerThousand atomic.Int64 // of a thousand requests
	load              loadMeter
}

// SleepAbout is work of about the given mean: between half of it and one and a half.
func SleepAbout(mean time.Duration) func() {
	return func() { time.Sleep(mean/2 + rand.N(mean)) }
}

// SetDraining makes the destination turn new requests away, or take them again.
func (d *Backend) SetDraining(on bool) { d.draining.Store(on) }

// SetErrorRatio makes it answer a share of its requests with an error at once.
func (d *Backend) SetErrorRatio(share float64) { d.errorsPerThousand.Store(int64(1000 * share)) }

// Served and Held are how many requests it has answered and has now.
func (d *Backend) Served() int64   { return d.served.Load() }
func (d *Backend) InFlight() int64 { return d.inFlight.Load() }

// LoadQueries is how often it was asked for its load.
func (d *Backend) LoadQueries() int64 { return d.loadQueries.Load() }

// ServeHTTP answers as the protocol's destinations do: 404 without an id, 503 with X-Unprocessed where it turns away, 500 on
// an error, else 200 and a body that names what it was asked.
func (d *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.once.Do(func() { d.cores = make(chan struct{}, max(1, d.Cores)) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		http.Error(w, "the request did not come whole", http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/status/load" {
		d.loadQueries.Add(1)
		fmt.Fprintln(w, d.load.report(max(1, d.Cores)))
		return
	}
	if r.Header.Get("X-Correlation-Id") == "" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("X-Backend-Load", d.load.report(max(1, d.Cores)))
	if d.draining.Load() {
		w.Header().Set("X-Unprocessed", "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if rand.Int64N(1000) < d.errorsPerThousand.Load() {
		d.load.add(0, 1)
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	d.cores <- struct{}{}
	start := time.Now()
	d.Serve()
	d.load.add(time.Since(start), 0)
	<-d.cores
	fmt.Fprintf(w, "%s answers %s %s with %d bytes of body, its request number %d; the proxy waits %s ms\n", d.Name, r.Method,
		r.URL.RequestURI(), len(body), d.served.Add(1), r.Header.Get("X-Time-Left-Ms"))
}

// reportInterval is how often the figures of a load report are renewed.
const reportInterval = time.Second

// loadMeter counts what a load report tells.
type loadMeter struct {
	mu     sync.Mutex
	since  time.Time
	busy   time.Duration
	done   int
	failed int
	text   string
}

func (m *loadMeter) add(busy time.Duration, failed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy += busy
	m.done++
	m.failed += failed
}

// report is the header's text, with figures at most reportInterval old.
func (m *loadMeter) report(cores int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.since.IsZero() {
		m.since = now
	}
	if span := now.Sub(m.since); span >= reportInterval {
		s := span.Seconds()
		m.text = fmt.Sprintf("TEXT util=%.3f, qps=%.2f, eps=%.2f", min(1, m.busy.Seconds()/s/float64(cores)), float64(m.done)/s,
			float64(m.failed)/s)
		m.since, m.busy, m.done, m.failed = now, 0, 0, 0
	}
	if m.text == "" {
		return "TEXT util=0, qps=0, eps=0" // nothing to tell yet
	}
	return m.text
}
