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

// RequestClass is how a class's requests look.
type RequestClass struct {
	Name     string
	Share    float64
	Keyed    bool
	Deadline time.Duration
}

// RequestStats is what clients got, since the last time that they were asked. Times are those of served requests.
type RequestStats struct {
	Sent, Served, Rejected, Failed int
	Latencies                      *hdrhistogram.Histogram // microseconds
}

// LoadGenerator send requests to a proxy at a steady rate whatever becomes of the earlier ones (open loop), so that slow answers
// do not hide in a slower load.
type LoadGenerator struct {
	BaseURL           string // the proxy: http://address
	RequestsPerSecond float64
	Classes           []RequestClass
	Tenants           []string

	mu    sync.Mutex
	stats RequestStats
}

// Run sends until ctx ends, then waits for what is out.
func (c *LoadGenerator) Run(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var out sync.WaitGroup
	defer out.Wait()
	begin, n := time.Now(), 0
	for {
		wait := time.NewTimer(time.Until(begin.Add(time.Duration(float64(n) / c.RequestsPerSecond * float64(time.Second)))))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		n++
		out.Go(func() { c.send(client, n) })
	}
}

// send sends one request and counts its end. It is not cut short when the load ends: what was asked is owed its answer.
func (c *LoadGenerator) send(client *http.Client, n int) {
	class, x := c.Classes[0], rand.Float64()
	for _, k := range c.Classes {
		if class = k; x < k.Share {
			break
		}
		x -= k.Share
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(class.Deadline))
	defer cancel()
	method, body := http.MethodGet, ""
	if class.Keyed {
		method, body = http.MethodPost, `{"try":true}`
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+"/"+class.Name, strings.NewReader(body))
	if err != nil {
		c.count(http.StatusBadRequest, 0)
		return
	}
	req.Header.Set("X-Correlation-Id", fmt.Sprintf("%x%08x", n, rand.Uint32()))
	req.Header.Set("X-Service-Class", class.Name)
	req.Header.Set("X-Account", c.Tenants[n%len(c.Tenants)])
	req.Header.Set("X-Time-Left-Ms", fmt.Sprint(class.Deadline.Milliseconds()))
	if class.Keyed {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", n))
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		c.count(0, 0)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.count(0, 0)
		return
	}
	c.count(resp.StatusCode, time.Since(start))
}

func (c *LoadGenerator) count(status int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Latencies == nil {
		c.stats.Latencies = hdrhistogram.New(1, 60_000_000, 3)
	}
	c.stats.Sent++
	switch status {
	case http.StatusOK:
		c.stats.Served++
		_ = c.stats.Latencies.RecordValue(max(1, took.Microseconds())) // a minute is far past every deadline
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.stats.Rejected++
	default:
		c.stats.Failed++
	}
}

// TakeStats is what has come to an end since the last Take.
func (c *LoadGenerator) TakeStats() RequestStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.stats
	c.stats = RequestStats{}
	if t.Latencies == nil {
		t.Latencies = hdrhistogram.New(1, 60_000_000, 3)
	}
	return t
}
