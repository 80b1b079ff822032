package listener

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/admission"
)

// newGatedServer returns a server with a gate that admits four requests at once, and a transport that takes 100 ms.
func newGatedServer(t *testing.T, change func(s *admission.Settings)) (*Server, *Gate) {
	t.Helper()
	s := admission.Defaults()
	s.Tenants = []admission.Tenant{{Name: "acme", Share: 1}, {Name: "zenith", Share: 1}}
	s.Classes = []admission.Class{{Name: "quote", Value: 1, Work: 100_000}, {Name: "issue", Value: 5, Work: 100_000}}
	s.MinLimit, s.InitialLimit, s.MaxLimit = 4, 4, 4
	if change != nil {
		change(&s)
	}
	g, err := NewGate(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	server := newTestServerWith(func(r *http.Request) (*http.Response, error) {
		select { // as forwarder.Transport does
		case <-time.After(100 * time.Millisecond):
			return respondOK(r)
		case <-r.Context().Done():
			return gatewayTimeout(r), nil
		}
	}, func(opts *Options) { opts.GuaranteedSockets, opts.Gate = 10_000, g })
	return server, g
}

func quoteRequestOf(id int, tenant string, leftMs int) string {
	text := strings.Replace(quoteRequest, "Id: 1", fmt.Sprint("Id: ", id), 1)
	text = strings.Replace(text, "X-Account: acme", "X-Account: "+tenant, 1)
	return strings.Replace(text, "Left-Ms: 400", fmt.Sprint("Left-Ms: ", leftMs), 1)
}

// One tenant sends twenty times the capacity while another sends little. The 99th percentile of the other's latency
// must be at most 1.5 times that without the flood, and all of its requests must be served.
func TestGate_FloodOfOneTenantDoesNotDelayAnother(t *testing.T) {
	latencies := func(flood bool) (took []time.Duration, rejected int) {
		timedOut := 0
		synctest.Test(t, func(t *testing.T) {
			server, gate := newGatedServer(t, nil)
			ln, stop := serveOnPipes(t, server)
			gateCtx, stopGate := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { gate.Run(gateCtx) })
			var mu sync.Mutex
			request := func(id int, tenant string) {
				wg.Go(func() {
					c, r := ln.dial()
					defer c.Close()
					begin := time.Now()
					resp, _, err := exchange(c, r, quoteRequestOf(id, tenant, 1400))
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err != nil:
						t.Errorf("%s: %v", tenant, err)
					case tenant == "zenith" && resp.StatusCode == http.StatusOK:
						took = append(took, time.Since(begin))
					case tenant == "zenith":
						rejected++
					case resp.StatusCode == http.StatusGatewayTimeout:
						timedOut++ // admitted because of its expected latency, but took longer
					case resp.StatusCode != http.StatusOK:
						retryAfter := resp.Header.Get("Retry-After")
						after, err := strconv.ParseFloat(retryAfter, 64)
						if resp.StatusCode != http.StatusServiceUnavailable || retryAfter != "" && (err != nil || after <= 0 || after > 2.5) {
							t.Errorf("rejected with %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
						}
					}
				})
			}
			id := 0
			for step := range 500 { // 10 ms each
				for k := 0; flood && k < 8; k++ {
					id++
					request(id, "acme")
				}
				if step%10 == 5 { // a quarter of the capacity, half of its share
					id++
					request(id, "zenith")
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			stopGate()
			wg.Wait()
			<-stop()
			if timedOut > id/100 {
				t.Errorf("%d of %d requests were admitted too late", timedOut, id)
			}
		})
		return took, rejected
	}
	p99 := func(d []time.Duration) time.Duration { slices.Sort(d); return d[len(d)*99/100] }
	withoutFlood, _ := latencies(false)
	withFlood, rejected := latencies(true)
	if a, b := p99(withoutFlood), p99(withFlood); b > a*3/2 || rejected > 0 || len(withFlood) != len(withoutFlood) {
		t.Errorf("p99 %v without, %v with a flood; %d of %d served, %d rejected", a, b, len(withFlood), len(withoutFlood), rejected)
	}
}

// Clients disconnect while their requests are queued, the settings change while the queue is full, and the server shuts
// down. Each client that stays connected gets one complete response, and the gate is empty at the end.
func TestGate_AnswersEveryRequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, gate := newGatedServer(t, func(s *admission.Settings) { s.MaxQueued = 40 })
		ln, stop := serveOnPipes(t, server)
		gateCtx, stopGate := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { gate.Run(gateCtx) })
		var mu sync.Mutex
		status := map[int]int{}
		for id := range 100 {
			c, r := ln.dial()
			if id%7 == 3 { // disconnects
				io.WriteString(c, quoteRequestOf(id, "acme", 1400))
				time.AfterFunc(50*time.Millisecond, func() { c.Close() })
				continue
			}
			wg.Go(func() {
				defer c.Close()
				resp, _, err := exchange(c, r, quoteRequestOf(id, []string{"acme", "zenith"}[id%2], 1400))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Errorf("request %d: %v", id, err)
					return
				}
				status[resp.StatusCode]++
			})
		}
		time.Sleep(120 * time.Millisecond)
		smaller := admission.Defaults()
		smaller.Tenants = []admission.Tenant{{Name: "zenith", Share: 1}, {Name: "acme", Share: 0}}
		smaller.Classes = []admission.Class{{Name: "quote", Value: 1, Work: 100_000}}
		smaller.MinLimit, smaller.InitialLimit, smaller.MaxLimit, smaller.MaxQueued = 2, 2, 2, 10
		bad := smaller
		bad.QueuesPerClass = 0
		var invalid *admission.SettingError
		if err := gate.ApplySettings(bad); !errors.As(err, &invalid) || invalid.Key != "buckets" {
			t.Errorf("invalid settings: %v", err)
		}
		if err := gate.ApplySettings(smaller); err != nil {
			t.Error(err)
		}
		stopped := stop()
		time.Sleep(3 * time.Second)
		<-stopped
		stopGate()
		wg.Wait()
		if n := status[200] + status[503]; n != 100-14 || status[200] < 10 || status[503] < 20 {
			t.Errorf("answers: %v", status)
		}
		if state := gate.controller.State(); state.InFlight != 0 || state.Queued != 0 || len(gate.pending) != 0 {
			t.Errorf("%d in flight, %d queued, %d pending", state.InFlight, state.Queued, len(gate.pending))
		}
	})
}

// A request that is not admitted in time is rejected early enough that its client gets the response by its deadline.
func TestGate_RejectsQueuedRequestsBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, gate := newGatedServer(t, func(s *admission.Settings) { s.MinLimit, s.InitialLimit, s.MaxLimit = 1, 1, 1 })
		ln, stop := serveOnPipes(t, server)
		gateCtx, stopGate := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { gate.Run(gateCtx) })
		var conns []net.Conn
		for id := range 6 {
			c, r := ln.dial()
			conns = append(conns, c)
			wg.Go(func() {
				begin := time.Now()
				resp, _, err := exchange(c, r, quoteRequestOf(id, "acme", 250))
				if took := time.Since(begin); err != nil || took > 260*time.Millisecond {
					t.Errorf("answered after %v: %v, %v", took, resp, err)
				}
			})
		}
		wg.Go(func() { time.Sleep(time.Second); stopGate() })
		wg.Wait()
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}
