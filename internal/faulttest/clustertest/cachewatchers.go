package clustertest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/standalone/discovery"
)

// cacheWatchers watch all discovery caches, as proxies do, and record when each cache had each host first.
type cacheWatchers struct {
	mu   sync.Mutex
	seen []map[string]time.Time // by cache and host
}

// Percentiles of a delay over all caches, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

const (
	watchRetryInterval = 50 * time.Millisecond // before a watch that has ended is opened again
	hostPollInterval   = 10 * time.Millisecond // of awaitHost
	delayDigits        = 3                     // significant digits of a delay
)

func newCacheWatchers(caches int) *cacheWatchers {
	w := &cacheWatchers{}
	for range caches {
		w.seen = append(w.seen, map[string]time.Time{})
	}
	return w
}

// watch watches a cache until ctx ends. After a connection fails it continues from the latest version that it has.
func (w *cacheWatchers) watch(ctx context.Context, cache int, addr string) {
	for version := uint64(0); ctx.Err() == nil; {
		version = w.watchOnce(ctx, cache, addr, version)
		_ = ctxtime.Sleep(ctx, watchRetryInterval) // an error ends the loop
	}
}

// watchOnce reads a cache's updates after a version until the connection ends, and returns the latest version.
func (w *cacheWatchers) watchOnce(ctx context.Context, cache int, addr string, version uint64) uint64 {
	url := fmt.Sprintf("http://%s/v1/endpoints?stream=1&index=%d", addr, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return version
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return version
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); resp.StatusCode == http.StatusOK && lines.Scan(); {
		var update struct {
			Seq   uint64            `json:"seq"`
			Hosts []discovery.Entry `json:"hosts"`
		}
		if text := bytes.TrimSpace(lines.Bytes()); len(text) == 0 || json.Unmarshal(text, &update) != nil {
			continue // an empty line keeps the connection alive
		}
		version = update.Seq
		for _, h := range update.Hosts {
			w.markSeen(cache, h.Host, time.Now())
		}
	}
	return version
}

// markSeen records that a cache has a host. Only the first time counts.
func (w *cacheWatchers) markSeen(cache int, host string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, seen := w.seen[cache][host]; !seen {
		w.seen[cache][host] = at
	}
}

// awaitHost waits until all caches have a host, and returns the percentiles of their delays since a time.
func (w *cacheWatchers) awaitHost(deadline time.Time, host string, since time.Time) (Percentiles, error) {
	for {
		delays, missing, err := w.delays(host, since)
		if err != nil {
			return Percentiles{}, err
		}
		if missing == 0 {
			milliseconds := func(q float64) float64 { return float64(delays.ValueAtQuantile(q)) / 1000 }
			return Percentiles{milliseconds(50), milliseconds(99), milliseconds(100)}, nil
		}
		if time.Now().After(deadline) {
			return Percentiles{}, fmt.Errorf("%d caches never had %s", missing, host)
		}
		time.Sleep(hostPollInterval)
	}
}

// delays returns the time from since until each cache had a host, in microseconds, and how many caches do not have it.
func (w *cacheWatchers) delays(host string, since time.Time) (delays *hdrhistogram.Histogram, missing int, err error) {
	delays = hdrhistogram.New(1, time.Minute.Microseconds(), delayDigits)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, seen := range w.seen {
		at, has := seen[host]
		if !has {
			missing++
		} else if err := delays.RecordValue(max(1, at.Sub(since).Microseconds())); err != nil {
			return nil, 0, fmt.Errorf("delay of %s: %w", host, err)
		}
	}
	return delays, missing, nil
}
