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

// Class is how a class's requests look.
type Class struct {
	Name     string
	Share    float64
	Keyed    bool
	Deadline time.Duration
}

// Tally is what clients got, since the last time that they were asked. Times are those of served requests.
type Tally struct {
	Asked, Served, Refused, Failed int
	Times                          *hdrhistogram.Histogram // microseconds
}

// Clients send requests to a proxy at a steady rate whatever becomes of the earlier ones (open loop), so that slow answers
// do not hide in a slower load.
type Clients struct {
	Base    string // the proxy: http://address
	Rate    float64
	Classes []Class
	Tenants []string

	mu    sync.Mutex
	tally Tally
}

// Run sends until ctx ends, then waits for what is out.
func (c *Clients) Run(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var out sync.WaitGroup
	defer out.Wait()
	begin, n := time.Now(), 0
	for {
		wait := time.NewTimer(time.Until(begin.Add(time.Duration(float64(n) / c.Rate * float64(time.Second)))))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		n++
		out.Go(func() { c.ask(client, n) })
	}
}

// ask sends one request and counts its end. It is not cut short when the load ends: what was asked is owed its answer.
func (c *Clients) ask(client *http.Client, n int) {
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
	req, err := http.NewRequestWithContext(ctx, method, c.Base+"/"+class.Name, strings.NewReader(body))
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

func (c *Clients) count(status int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tally.Times == nil {
		c.tally.Times = hdrhistogram.New(1, 60_000_000, 3)
	}
	c.tally.Asked++
	switch status {
	case http.StatusOK:
		c.tally.Served++
		_ = c.tally.Times.RecordValue(max(1, took.Microseconds())) // a minute is far past every deadline
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.tally.Refused++
	default:
		c.tally.Failed++
	}
}

// Take is what has come to an end since the last Take.
func (c *Clients) Take() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally
	c.tally = Tally{}
	if t.Times == nil {
		t.Times = hdrhistogram.New(1, 60_000_000, 3)
	}
	return t
}
