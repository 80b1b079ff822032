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

// Backend is a fake backend that serves requests on a number of cores and reports its load. Its exported fields must
// not change once it serves; its Set methods may be called at any time. It is an http.Handler and safe for concurrent
// use.
type Backend struct {
	Name  string
	Cores int    // requests that are served at once; others are queued
	Serve func() // called for each request, on a core that is in use until Serve returns

	once              sync.Once
	cores             chan struct{} // one element per core in use
	draining          atomic.Bool
	served            atomic.Int64
	loadQueries       atomic.Int64
	inFlight          atomic.Int64
	errorsPerThousand atomic.Int64 // share of requests that fail
	meter             loadMeter
}

const (
	maxRequestBytes = 64 << 10
	perThousand     = 1000
)

// SleepAbout returns a Backend.Serve that sleeps for a random time of 0.5 to 1.5 times mean.
func SleepAbout(mean time.Duration) func() {
	return func() { time.Sleep(mean/2 + rand.N(mean)) }
}

// SetDraining makes the backend reject new requests, or accept them again.
func (b *Backend) SetDraining(on bool) { b.draining.Store(on) }

// SetErrorRatio makes the backend fail a share of its requests, from 0 to 1, without serving them.
func (b *Backend) SetErrorRatio(ratio float64) { b.errorsPerThousand.Store(int64(ratio * perThousand)) }

// Served returns the number of requests that were served.
func (b *Backend) Served() int64 { return b.served.Load() }

// InFlight returns the number of requests that are being served or are queued.
func (b *Backend) InFlight() int64 { return b.inFlight.Load() }

// LoadQueries returns the number of requests for the load.
func (b *Backend) LoadQueries() int64 { return b.loadQueries.Load() }

// ServeHTTP responds as the protocol requires of a backend: 404 without a request ID, 503 with X-Unprocessed while it
// drains, 500 for the share of requests that fail, else 200 with a body that describes the request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.once.Do(func() { b.cores = make(chan struct{}, max(1, b.Cores)) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "the request did not come whole", http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/status/load" {
		b.loadQueries.Add(1)
		fmt.Fprintln(w, b.meter.report(max(1, b.Cores)))
		return
	}
	if r.Header.Get("X-Correlation-Id") == "" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("X-Backend-Load", b.meter.report(max(1, b.Cores)))
	if b.draining.Load() {
		w.Header().Set("X-Unprocessed", "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if rand.Int64N(perThousand) < b.errorsPerThousand.Load() {
		b.meter.countFailed()
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	b.serveOnCore()
	fmt.Fprintf(w, "%s answers %s %s with %d bytes of body, its request number %d; the proxy waits %s ms\n", b.Name, r.Method,
		r.URL.RequestURI(), len(body), b.served.Add(1), r.Header.Get("X-Time-Left-Ms"))
}

// serveOnCore waits for a core and serves a request on it.
func (b *Backend) serveOnCore() {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	b.cores <- struct{}{}
	start := time.Now()
	b.Serve()
	b.meter.countServed(time.Since(start))
	<-b.cores
}
