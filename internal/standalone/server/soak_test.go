package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/discovery"
)

// An hour in which backends, classes, clients and watches come and go, on a fake clock: tables by ID, host, address or class are no
// larger at its end than after its first tenth, nor are goroutines, connections and the heap.
func TestSoak_TablesDoNotGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hour, settleTime = time.Hour, 20 * time.Second // what is in flight or idle has ended after settleTime
		mem := &fakestandalone.MemoryNetwork{}
		world, endWorld := context.WithCancel(t.Context())
		defer endWorld()
		serveOn := func(h http.Handler, addr string) context.CancelFunc {
			ln, err := mem.Listen(addr)
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: h}
			go server.Serve(ln)
			ctx, end := context.WithCancel(world)
			context.AfterFunc(ctx, func() { server.Close() })
			return end
		}
		roster := fakestandalone.NewDiscovery()
		serveOn(roster, "10.0.0.1:8500")
		rng := rand.New(rand.NewPCG(1, 2))
		stopHost := map[string]context.CancelFunc{}
		start := func(n int) discovery.Entry {
			e := discovery.Entry{Host: fmt.Sprintf("s-%d", n), Address: fmt.Sprintf("10.1.%d.%d:7070", n/250, n%250+1), Zone: "ub-east", InstanceType: "std-8",
				Cell: 1, Health: "SERVING", Size: 1, StartedAtMs: float64(time.Now().UnixMilli())}
			d := &fakestandalone.Backend{Name: e.Host, Cores: 8, Serve: func() { time.Sleep(20 * time.Millisecond) }}
			d.SetErrorRatio(0.02)
			stopHost[e.Host] = serveOn(d, e.Address)
			roster.Put(e)
			return e
		}
		var listed []discovery.Entry
		for n := range 8 {
			listed = append(listed, start(n))
		}

		text, err := fakestandalone.ProxyConfig("10.0.0.2:7070", "10.0.0.1:8500", []string{"ub-east"})
		if err != nil {
			t.Fatal(err)
		}
		file := t.TempDir() + "/config.json"
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := config.Load(file, func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		cfg.AdminListen, cfg.Seed = "10.0.0.2:7071", 1
		reloads := make(chan os.Signal)
		var reloadCount, asked, served atomic.Int64
		readConfig := func(current *config.Config) (*config.Config, error) { // one class more, with a name that was never there
			next := *current
			class := next.Settings.Classes[0]
			class.Name = fmt.Sprintf("season-%d", reloadCount.Add(1))
			next.Settings.Classes = append(slices.Clone(cfg.Settings.Classes[:len(fakestandalone.Classes)]), class)
			var err error
			next.Policy, err = config.PolicySettings(&next.Settings)
			return &next, err
		}
		stop, requestStop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- Run(stop, cfg, Options{Network: mem, ReloadSignals: reloads, ReadConfig: readConfig}, slog.New(slog.DiscardHandler))
		}()
		time.Sleep(5 * time.Second)

		transport := &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return mem.Dial(ctx, addr, time.Now().Add(time.Second))
		}}
		client := &http.Client{Transport: transport}
		ask := func(n int) {
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			if n%10 == 0 { // the client cancels before it can be answered
				ctx, cancel = context.WithTimeout(t.Context(), 10*time.Millisecond)
			}
			defer cancel()
			class, method, body := fakestandalone.Classes[0], "GET", ""
			switch {
			case n%50 == 1: // too long to be buffered
				class, method, body = fakestandalone.Classes[2], "POST", strings.Repeat("x", 100_000)
			case n%50 == 2:
				class.Name = fmt.Sprintf("season-%d", reloadCount.Load())
			}
			req, err := http.NewRequestWithContext(ctx, method, "http://10.0.0.2:7070/q", strings.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			req.Header = http.Header{"X-Correlation-Id": {fmt.Sprint("c", n)}, "X-Service-Class": {class.Name}, "X-Account": {"khan-air"},
				"X-Time-Left-Ms": {"1500"}}
			if method == "POST" {
				req.Header.Set("Idempotency-Key", fmt.Sprint("k", n))
			}
			asked.Add(1)
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == 200 {
				served.Add(1)
			}
		}
		scrape := func() map[string]float64 {
			time.Sleep(settleTime)
			synctest.Wait()
			for range 2 { // what lies in a sync.Pool outlives one collection, and how much does depends on the machine's load
				runtime.GC()
			}
			found := map[string]float64{}
			resp, err := client.Get("http://10.0.0.2:7071/v1/metrics")
			if err != nil {
				t.Fatal(err)
			}
			all, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				t.Fatal(err)
			}
			for line := range strings.Lines(string(all)) {
				name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
				if strings.HasPrefix(name, "svc_kept") || name == "go_goroutines" || name == "go_memstats_heap_alloc_bytes" {
					if found[name], err = strconv.ParseFloat(value, 64); err != nil {
						t.Error(line, err)
					}
				}
			}
			return found
		}

		// What a busy machine adds to a figure comes and goes: goroutines of the scrape that have not ended, what lies in
		// pools. What is leaked shows in every scrape, so the least of a few counts.
		leastOfScrapes := func() map[string]float64 {
			const scrapes = 5
			least := scrape()
			for range scrapes - 1 {
				for name, value := range scrape() {
					least[name] = min(least[name], value)
				}
			}
			return least
		}

		hosts := len(listed)
		begin := time.Now()
		var early map[string]float64
		for n := 1; time.Since(begin) < hour; n++ {
			go ask(n)
			if n%20 == 0 { // one host leaves, another comes
				old := &listed[rng.IntN(len(listed))]
				gone := *old
				gone.Health = "DRAINING"
				roster.Put(gone)
				*old = start(hosts)
				hosts++
				go func() {
					time.Sleep(2 * time.Second)
					gone.Health = "DELETED"
					roster.Put(gone)
					stopHost[gone.Host]()
				}()
			}
			if n%10 == 0 {
				reloads <- os.Interrupt // whichever signal
			}
			time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
			if early == nil && time.Since(begin) > hour/10 {
				early = leastOfScrapes()
			}
		}
		late := leastOfScrapes()
		if len(late) < 20 {
			t.Errorf("only %d figures: %v", len(late), late)
		}
		for name, was := range early {
			if strings.Contains(name, "connections") && late[name] > 0 {
				t.Errorf("%s: %v are idle for longer than they can be reused", name, late[name])
			}
			tolerance := 0.0
			switch name {
			case "go_goroutines":
				tolerance = 2 // those of the scrape itself come and go
			case "go_memstats_heap_alloc_bytes":
				tolerance = 0.5 * was // the stand-in roster keeps all its changes
			case `svc_kept{what="suspension_names"}`:
				tolerance = 4096 // has a bound of its own, maintenance.Most
			}
			if late[name] > was+tolerance {
				t.Errorf("%s grew from %v to %v", name, was, late[name])
			}
		}
		t.Logf("%d of %d requests served, %d hosts, %d reloads; after a tenth %v, at the end %v", served.Load(), asked.Load(), hosts,
			reloadCount.Load(), early, late)
		if asked.Load() < 7000 || float64(served.Load()) < 0.8*float64(asked.Load()) || hosts < 350 || reloadCount.Load() < 700 {
			t.Error("too few requests, or too few of them served")
		}
		requestStop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		transport.CloseIdleConnections()
		endWorld()
	})
}
