package clustertest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/discovery"
)

// RosterOptions are what is to be played. The stage's command says what each means.
type RosterOptions struct {
	Members   int
	Instances int
	Lease     time.Duration
	Calm      time.Duration
	Proxies   int
}

// RosterVerdict is what a play with copies of the roster came to.
type RosterVerdict struct {
	Instances  int     `json:"instances"`
	AllServeS  float64 `json:"all_serve_s"` // from the start of the first process till each copy was served
	StartCalls int64   `json:"start_calls"` // to discovery till then
	CalmCalls  int64   `json:"calm_calls"`  // while nothing happened
	Change     Spread  `json:"change"`      // from a change at discovery till it is at a copy's watcher
	NewOwner   Spread  `json:"new_owner"`   // from the owner's death till a later change is there
	LostCalls  int64   `json:"lost_calls"`  // to discovery from the owner's death on
	MemberMB   float64 `json:"member_mb"`   // resident, of one in the mean
	InstanceMB float64 `json:"instance_mb"`
	MemberCPU  float64 `json:"member_cpu"` // share of a core while calm
	InstCPU    float64 `json:"instance_cpu"`
	Direct     Served  `json:"direct"`   // by proxies that ask discovery themselves, from before the owner's death on
	Mirrored   Served  `json:"mirrored"` // by as many that ask a copy
}

// Served is what clients of some proxies got.
type Served struct {
	Asked   int `json:"Asked"`
	Served  int `json:"Served"`
	Refused int `json:"Refused"`
	Failed  int `json:"Failed"`
}

// Spread is how long something took to be at all, in milliseconds.
type Spread struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// copies are watchers of all mirrors, as proxies would be, and when each saw which change.
type copies struct {
	mu   sync.Mutex
	seen []map[string]time.Time // by mirror and host
}

// watch follows a mirror from where it left off until ctx ends.
func (k *copies) watch(ctx context.Context, i int, addr string) {
	version := uint64(0)
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/endpoints?stream=1&index=%d", addr, version), nil)
		if err != nil {
			return
		}
		if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
			for lines := bufio.NewScanner(resp.Body); resp.StatusCode == http.StatusOK && lines.Scan(); {
				var u struct {
					Seq   uint64            `json:"seq"`
					Hosts []discovery.Entry `json:"hosts"`
				}
				if text := bytes.TrimSpace(lines.Bytes()); len(text) == 0 || json.Unmarshal(text, &u) != nil {
					continue
				}
				version = u.Seq
				k.mu.Lock()
				for _, h := range u.Hosts {
					if _, there := k.seen[i][h.Host]; !there {
						k.seen[i][h.Host] = time.Now()
					}
				}
				k.mu.Unlock()
			}
			resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// all waits till each mirror has told of a host, until by, and returns how long after since each did.
func (k *copies) all(by time.Time, host string, since time.Time) (Spread, error) {
	for {
		took := hdrhistogram.New(1, 60_000_000, 3)
		k.mu.Lock()
		missing := 0
		for _, seen := range k.seen {
			at, there := seen[host]
			if !there {
				missing++
				continue
			}
			if err := took.RecordValue(max(1, at.Sub(since).Microseconds())); err != nil {
				k.mu.Unlock()
				return Spread{}, fmt.Errorf("stage: %w", err)
			}
		}
		k.mu.Unlock()
		if missing == 0 {
			ms := func(q float64) float64 { return float64(took.ValueAtQuantile(q)) / 1000 }
			return Spread{ms(50), ms(99), ms(100)}, nil
		}
		if time.Now().After(by) {
			return Spread{}, fmt.Errorf("stage: %d mirrors never told of %s", missing, host)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// PlayRoster starts members and instances, counts what discovery is asked, and kills the owner.
func PlayRoster(program string, c *RosterOptions) (*RosterVerdict, error) {
	v := &RosterVerdict{Instances: c.Instances}
	g, err := set(program, c.Members, c.Lease, nil, false)
	defer g.close()
	if err != nil {
		return v, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sites := []string{"east", "west"}
	host := func(name string) discovery.Entry { // a line to wait for: no proxy sends anything there
		return discovery.Entry{Host: name, Address: "127.0.0.1:1", Zone: sites[0], InstanceType: "std-8", Cell: 1, Health: "DRAINING", Size: 1}
	}
	var listeners []net.Listener
	for range 1 + 4 { // discovery for those who ask it themselves, and destinations
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return v, fmt.Errorf("stage: %w", err)
		}
		listeners = append(listeners, ln)
	}
	world := fakestandalone.NewWorld(listeners[0], listeners[1:], sites, fakestandalone.Sleep(20*time.Millisecond))
	go world.Serve(ctx) // its end is the play's
	roster := world.Roster
	roster.Put(host("first"))
	var calls atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return v, fmt.Errorf("stage: %w", err)
	}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		roster.ServeHTTP(w, r)
	})}
	go server.Serve(ln) // its end is Close's
	defer server.Close()

	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\n", filepath.Base(g.dir))
	fmt.Fprintf(&text, "lease = %q\ndamp = %q\n[members]\n", c.Lease, c.Lease)
	for i, addr := range g.real {
		fmt.Fprintf(&text, "%d = %q\n", i+1, addr)
	}
	fmt.Fprintf(&text, "[works.roster]\ndiscovery = %q\n", ln.Addr())
	if err := os.WriteFile(g.path("operator"), []byte(text.String()), 0o600); err != nil {
		return v, fmt.Errorf("stage: %w", err)
	}
	begun := time.Now()
	var members, instances, addrs []string
	for i := range c.Members {
		if err := os.MkdirAll(g.disk(i), 0o700); err != nil {
			return v, fmt.Errorf("stage: %w", err)
		}
		members = append(members, member(i))
		if err := g.begin(member(i), "owner", "member", "--fleet", g.path("operator"), "--id", fmt.Sprint(i+1), "--dir", g.disk(i)); err != nil {
			return v, err
		}
	}
	watchers := &copies{}
	for i := range c.Instances {
		free, err := net.Listen("tcp", own(0, i))
		if err != nil {
			return v, fmt.Errorf("stage: %w", err)
		}
		addrs, instances = append(addrs, free.Addr().String()), append(instances, instance(i))
		free.Close()
		if err := g.begin(instance(i), "owner", "run", "--fleet", g.path("operator"), "--name", instance(i), "--mirror", addrs[i]); err != nil {
			return v, err
		}
		watchers.seen = append(watchers.seen, map[string]time.Time{})
	}
	for i, addr := range addrs {
		go watchers.watch(ctx, i, addr)
	}
	if _, err := watchers.all(time.Now().Add(time.Minute), "first", begun); err != nil {
		return v, err
	}
	v.AllServeS, v.StartCalls = time.Since(begun).Seconds(), calls.Load()
	time.Sleep(5 * c.Lease) // who had given the first owner up comes back to it

	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var loading sync.WaitGroup
	tallies := make([]*fakestandalone.Clients, 2*c.Proxies)
	for i := range tallies {
		discovery := listeners[0].Addr().String()
		if i%2 == 1 {
			discovery = addrs[i/2%len(addrs)]
		}
		front, err := g.startProxy(i, len(tallies), discovery, sites)
		if err != nil {
			return v, err
		}
		tallies[i] = &fakestandalone.Clients{Base: "http://" + front, Rate: 50, Classes: fakestandalone.Classes, Tenants: fakestandalone.Tenants}
		if !g.await(time.Now().Add(20*time.Second), func() bool {
			resp, err := http.Get("http://" + front + "/ready")
			if err == nil {
				resp.Body.Close()
			}
			return err == nil && resp.StatusCode == http.StatusOK
		}) {
			return v, fmt.Errorf("stage: proxy %d is not ready; its log:\n%s", i, g.processes[proxy(i)].Log())
		}
	}
	for _, k := range tallies { // all at once: what one kind gets is compared with what the other gets
		loading.Go(func() { k.Run(load) })
	}

	use := func(names []string) (mb, cpu float64, err error) {
		for _, name := range names {
			resident, used, err := g.processes[name].Usage()
			if err != nil {
				return 0, 0, err
			}
			mb, cpu = mb+float64(resident)/(1<<20)/float64(len(names)), cpu+used.Seconds()/float64(len(names))
		}
		return mb, cpu, nil
	}
	before := calls.Load()
	_, memberCPU, err := use(members)
	if err != nil {
		return v, err
	}
	_, instCPU, err := use(instances)
	if err != nil {
		return v, err
	}
	now := time.Now()
	roster.Put(host("second"))
	if v.Change, err = watchers.all(now.Add(20*time.Second), "second", now); err != nil {
		return v, err
	}
	time.Sleep(time.Until(now.Add(c.Calm)))
	v.CalmCalls = calls.Load() - before
	seconds := time.Since(now).Seconds()
	if v.MemberMB, v.MemberCPU, err = use(members); err != nil {
		return v, err
	}
	if v.InstanceMB, v.InstCPU, err = use(instances); err != nil {
		return v, err
	}
	v.MemberCPU, v.InstCPU = (v.MemberCPU-memberCPU)/seconds, (v.InstCPU-instCPU)/seconds

	s, _, err := g.status()
	if err != nil {
		return v, err
	}
	owner := slices.Index(instances, s.MostCurrent().Assignments["roster"].Holder)
	if owner < 0 {
		return v, errors.New("stage: nobody owns the roster's work")
	}
	before = calls.Load()
	g.processes[instances[owner]].Kill()
	dead := time.Now()
	roster.Put(host("third"))
	watchers.mu.Lock()
	watchers.seen[owner]["third"] = dead // its watcher has nobody left to tell it
	watchers.mu.Unlock()
	v.NewOwner, err = watchers.all(dead.Add(30*time.Second), "third", dead)
	v.LostCalls = calls.Load() - before
	if err != nil {
		return v, err
	}
	time.Sleep(time.Until(dead.Add(c.Calm)))
	endLoad()
	loading.Wait()
	for i, k := range tallies {
		to, n := &v.Direct, k.Take()
		if i%2 == 1 {
			to = &v.Mirrored
		}
		to.Asked, to.Served, to.Refused, to.Failed = to.Asked+n.Asked, to.Served+n.Served, to.Refused+n.Refused, to.Failed+n.Failed
	}
	return v, nil
}

func proxy(i int) string { return fmt.Sprint("proxy ", i+1) }

// startProxy starts a proxy that asks discovery at an address, and returns where it listens.
func (g *guild) startProxy(i, of int, discovery string, sites []string) (front string, err error) {
	free, err := net.Listen("tcp", own(3, i))
	if err != nil {
		return "", fmt.Errorf("stage: %w", err)
	}
	front = free.Addr().String()
	free.Close()
	text, err := fakestandalone.ConfigOf(front, discovery, sites, i, of)
	file := filepath.Join(g.dir, fmt.Sprintf("proxy-%d.json", i))
	if err == nil {
		err = os.WriteFile(file, text, 0o600)
	}
	if err != nil {
		return "", fmt.Errorf("stage: %w", err)
	}
	return front, g.begin(proxy(i), "serve", "--config", file)
}
