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
	"pumiceline/internal/standalone/maintenance"
)

// Addresses in the soak's in-memory network.
const (
	soakDiscovery = "10.0.0.1:8500"
	soakProxy     = "10.0.0.2:7070"
	soakAdmin     = "10.0.0.2:7071"
)

const (
	soakDuration = time.Hour
	// soakSettleTime is the time after which all requests in flight have ended and all idle connections are closed.
	soakSettleTime = 20 * time.Second
	// soakScrapes is how many scrapes a measurement takes.
	soakScrapes = 5
	// soakBackends is how many backends are listed at a time.
	soakBackends = 8
)

// soak runs a proxy on a fake clock while backends, classes, clients and watches are added and removed.
type soak struct {
	t           *testing.T
	network     *fakestandalone.MemoryNetwork
	fakes       context.Context // of the fakes; ends with the soak
	discovery   *fakestandalone.Discovery
	rng         *rand.Rand
	stopBackend map[string]context.CancelFunc // by name
	listed      []discovery.Entry
	started     int // backends so far

	cfg                    *config.Config
	reloads                chan os.Signal
	reloaded, sent, served atomic.Int64 // reloads and requests so far
	client                 *http.Client
}

// The proxy runs for an hour on a fake clock while backends, classes, clients and watches are added and removed. At the
// end, the tables by ID, host, address or class, the goroutines, the connections and the heap must not have grown by
// more than growthTolerance since the end of the first tenth.
func TestSoak_TablesDoNotGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes, stopFakes := context.WithCancel(t.Context())
		defer stopFakes()
		s := newSoak(fakes, t)
		stop, requestStop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			opts := Options{Network: s.network, ReloadSignals: s.reloads, ReadConfig: s.readConfig}
			ended <- Run(stop, s.cfg, opts, slog.New(slog.DiscardHandler))
		}()
		time.Sleep(5 * time.Second)

		early := s.run()
		late := s.measure()
		if len(late) < 20 {
			t.Errorf("only %d figures: %v", len(late), late)
		}
		for name, earlyValue := range early {
			if strings.Contains(name, "connections") && late[name] > 0 {
				t.Errorf("%s: %v are still open after all idle connections should be closed", name, late[name])
			}
			if late[name] > earlyValue+growthTolerance(name, earlyValue) {
				t.Errorf("%s grew from %v to %v", name, earlyValue, late[name])
			}
		}
		sent, served, reloaded := s.sent.Load(), s.served.Load(), s.reloaded.Load()
		t.Logf("%d of %d requests served, %d backends, %d reloads; after a tenth %v, at the end %v", served, sent, s.started,
			reloaded, early, late)
		if sent < 7000 || float64(served) < 0.8*float64(sent) || s.started < 350 || reloaded < 700 {
			t.Error("too few requests, or too few of them served")
		}
		requestStop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		s.client.CloseIdleConnections()
		stopFakes()
	})
}

func newSoak(fakes context.Context, t *testing.T) *soak {
	t.Helper()
	s := &soak{t: t, network: &fakestandalone.MemoryNetwork{}, fakes: fakes, discovery: fakestandalone.NewDiscovery(),
		rng: rand.New(rand.NewPCG(1, 2)), stopBackend: map[string]context.CancelFunc{}, reloads: make(chan os.Signal)}
	s.serve(s.discovery, soakDiscovery)
	for range soakBackends {
		s.listed = append(s.listed, s.startBackend())
	}
	s.cfg = loadSoakConfig(t)
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return s.network.Dial(ctx, addr, time.Now().Add(time.Second))
		}}}
	return s
}

func loadSoakConfig(t *testing.T) *config.Config {
	t.Helper()
	text, err := fakestandalone.ProxyConfig(soakProxy, soakDiscovery, []string{"ub-east"})
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
	cfg.AdminListen, cfg.Seed = soakAdmin, 1
	return cfg
}

// serve serves a handler at an address until stop is called or the fakes end.
func (s *soak) serve(h http.Handler, addr string) (stop context.CancelFunc) {
	s.t.Helper()
	ln, err := s.network.Listen(addr)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(ln)
	ctx, cancel := context.WithCancel(s.fakes)
	context.AfterFunc(ctx, func() { server.Close() })
	return cancel
}

// startBackend starts and lists a backend whose name and address were never used.
func (s *soak) startBackend() discovery.Entry {
	s.t.Helper()
	n := s.started
	s.started++
	entry := discovery.Entry{Host: fmt.Sprintf("s-%d", n), Address: fmt.Sprintf("10.1.%d.%d:7070", n/250, n%250+1), Zone: "ub-east",
		InstanceType: "std-8", Cell: 1, Health: discovery.HealthServing, Size: 1, StartedAtMs: float64(time.Now().UnixMilli())}
	backend := &fakestandalone.Backend{Name: entry.Host, Cores: 8, Serve: func() { time.Sleep(20 * time.Millisecond) }}
	backend.SetErrorRatio(0.02)
	s.stopBackend[entry.Host] = s.serve(backend, entry.Address)
	s.discovery.Put(entry)
	return entry
}

// replaceBackend drains a random backend and starts another one. The old one is deleted 2 s later.
func (s *soak) replaceBackend() {
	i := s.rng.IntN(len(s.listed))
	old := s.listed[i]
	stop := s.stopBackend[old.Host]
	old.Health = discovery.HealthDraining
	s.discovery.Put(old)
	s.listed[i] = s.startBackend()
	go func() {
		time.Sleep(2 * time.Second)
		old.Health = discovery.HealthDeleted
		s.discovery.Put(old)
		stop()
	}()
}

// readConfig returns the configuration with a further class, whose name was never used.
func (s *soak) readConfig(current *config.Config) (*config.Config, error) {
	next := *current
	class := next.Settings.Classes[0]
	class.Name = fmt.Sprintf("season-%d", s.reloaded.Add(1))
	next.Settings.Classes = append(slices.Clone(s.cfg.Settings.Classes[:len(fakestandalone.Classes)]), class)
	var err error
	next.Policy, err = config.PolicySettings(&next.Settings)
	return &next, err
}

// run sends requests for the duration of the soak, and changes backends and classes meanwhile. It returns the figures
// measured after the first tenth.
func (s *soak) run() (early map[string]float64) {
	start := time.Now()
	for n := 1; time.Since(start) < soakDuration; n++ {
		go s.request(n)
		if n%20 == 0 {
			s.replaceBackend()
		}
		if n%10 == 0 {
			s.reloads <- os.Interrupt // any signal
		}
		time.Sleep(time.Duration(s.rng.Int64N(int64(time.Second))))
		if early == nil && time.Since(start) > soakDuration/10 {
			early = s.measure()
		}
	}
	return early
}

// request sends the n-th request. Some requests are canceled by the client, some have a body too long to be buffered,
// and some are of a class that one reload has added and the next one will remove.
func (s *soak) request(n int) {
	s.t.Helper()
	timeout := 1500 * time.Millisecond
	if n%10 == 0 { // the client cancels before there can be a response
		timeout = 10 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	defer cancel()
	class, method, body := fakestandalone.Classes[0], "GET", ""
	switch {
	case n%50 == 1:
		class, method, body = fakestandalone.Classes[2], "POST", strings.Repeat("x", 100_000)
	case n%50 == 2:
		class.Name = fmt.Sprintf("season-%d", s.reloaded.Load())
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+soakProxy+"/q", strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Header = http.Header{"X-Correlation-Id": {fmt.Sprint("c", n)}, "X-Service-Class": {class.Name},
		"X-Account": {"khan-air"}, "X-Time-Left-Ms": {"1500"}}
	if method == "POST" {
		req.Header.Set("Idempotency-Key", fmt.Sprint("k", n))
	}
	s.sent.Add(1)
	resp, err := s.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == 200 {
		s.served.Add(1)
	}
}

// measure returns the minimum of each figure over several scrapes. On a busy machine a single scrape may show more
// (goroutines of the scrape that have not ended, entries of a sync.Pool). A leak shows in every scrape.
func (s *soak) measure() map[string]float64 {
	least := s.scrape()
	for range soakScrapes - 1 {
		for name, value := range s.scrape() {
			least[name] = min(least[name], value)
		}
	}
	return least
}

// scrape returns table sizes, goroutines and the heap from the admin API after soakSettleTime.
func (s *soak) scrape() map[string]float64 {
	s.t.Helper()
	time.Sleep(soakSettleTime)
	synctest.Wait()
	for range 2 { // entries of a sync.Pool survive one collection, and their number depends on the machine's load
		runtime.GC()
	}
	resp, err := s.client.Get("http://" + soakAdmin + "/v1/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		s.t.Fatal(err)
	}
	figures := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(name, "svc_kept") || name == "go_goroutines" || name == "go_memstats_heap_alloc_bytes" {
			if figures[name], err = strconv.ParseFloat(value, 64); err != nil {
				s.t.Error(line, err)
			}
		}
	}
	return figures
}

// growthTolerance is by how much a figure may grow between the first tenth and the end of the soak.
func growthTolerance(name string, earlyValue float64) float64 {
	switch name {
	case "go_goroutines":
		return 2 // goroutines of the scrape itself
	case "go_memstats_heap_alloc_bytes":
		return 0.5 * earlyValue // the fake discovery keeps all its changes
	case `svc_kept{what="suspension_names"}`:
		return maintenance.MaxBackends // the bound of this table
	}
	return 0
}
