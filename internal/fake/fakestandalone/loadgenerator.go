package fakestandalone

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RequestClass is a class of requests that a LoadGenerator sends.
type RequestClass struct {
	Name           string
	Share          float64 // of all requests
	IdempotencyKey bool    // requests are POSTs with an idempotency key
	Deadline       time.Duration
}

// RequestStats counts a load generator's requests by their result.
type RequestStats struct {
	Sent, Served, Rejected, Failed int
	Latencies                      *hdrhistogram.Histogram // of served requests, in microseconds
}

// LoadGenerator sends requests to a proxy at a steady rate that does not depend on the responses (open loop), so that
// slow responses do not lower the load.
type LoadGenerator struct {
	BaseURL           string // of the proxy: http://address
	RequestsPerSecond float64
	Classes           []RequestClass
	Tenants           []string

	mu    sync.Mutex
	stats RequestStats
}

const maxIdleConns = 64 // to the proxy

// Run sends requests until ctx ends, then waits for those in flight: they are not cancelled by ctx.
func (g *LoadGenerator) Run(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	startedAt, number := time.Now(), 0
	for {
		due := startedAt.Add(time.Duration(float64(number) / g.RequestsPerSecond * float64(time.Second)))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		number++
		current := number // number changes while the request is sent
		inFlight.Go(func() { g.send(client, current) })
	}
}

// pickClass draws a class; the probability of a class is its share.
func (g *LoadGenerator) pickClass() (class RequestClass) {
	x := rand.Float64()
	for _, class = range g.Classes {
		if x < class.Share {
			break
		}
		x -= class.Share
	}
	return class
}

// send sends one request and counts its outcome.
func (g *LoadGenerator) send(client *http.Client, number int) {
	class := g.pickClass()
	ctx, cancel := context.WithTimeout(context.Background(), class.Deadline)
	defer cancel()
	req, err := g.newRequest(ctx, class, number)
	if err != nil {
		g.count(http.StatusBadRequest, 0)
		return
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		g.count(noResponse, 0)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		g.count(noResponse, 0)
		return
	}
	g.count(resp.StatusCode, time.Since(start))
}

func (g *LoadGenerator) newRequest(ctx context.Context, class RequestClass, number int) (*http.Request, error) {
	method, body := http.MethodGet, ""
	if class.IdempotencyKey {
		method, body = http.MethodPost, `{"try":true}`
	}
	req, err := http.NewRequestWithContext(ctx, method, g.BaseURL+"/"+class.Name, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Correlation-Id", fmt.Sprintf("%x%08x", number, rand.Uint32()))
	req.Header.Set("X-Service-Class", class.Name)
	req.Header.Set("X-Account", g.Tenants[number%len(g.Tenants)])
	req.Header.Set("X-Time-Left-Ms", fmt.Sprint(class.Deadline.Milliseconds()))
	if class.IdempotencyKey {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", number))
	}
	return req, nil
}

// noResponse is the status of a request without a complete response.
const noResponse = 0

// count counts a request by the status of its response.
func (g *LoadGenerator) count(status int, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stats.Latencies == nil {
		g.stats.Latencies = newLatencies()
	}
	g.stats.Sent++
	switch status {
	case http.StatusOK:
		g.stats.Served++
		_ = g.stats.Latencies.RecordValue(max(1, latency.Microseconds())) // every deadline is in range
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		g.stats.Rejected++
	default:
		g.stats.Failed++
	}
}

// TakeStats returns the counts of the requests that have ended since the last TakeStats.
func (g *LoadGenerator) TakeStats() RequestStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.stats
	g.stats = RequestStats{}
	if stats.Latencies == nil {
		stats.Latencies = newLatencies()
	}
	return stats
}

// newLatencies returns an empty histogram from a microsecond to a minute.
func newLatencies() *hdrhistogram.Histogram {
	const significantDigits = 3
	return hdrhistogram.New(1, time.Minute.Microseconds(), significantDigits)
}
