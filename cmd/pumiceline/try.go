package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/server"
)

// Bounds of the flags of `pumiceline try`.
const (
	minTryNodes    = 2
	maxTryNodes    = 100
	maxTryRate     = 1000 // requests a second
	minTryDuration = 3 * time.Second
)

// tryServiceTime is the mean time in which a fake backend serves a request.
const tryServiceTime = 40 * time.Millisecond

// tryZones are the zones of the fake backends.
var tryZones = []string{"ub-east", "ub-west"}

// tryCmd is `pumiceline try`.
type tryCmd struct {
	Duration time.Duration `name:"for" help:"How long to run." default:"20s"`
	Rate     float64       `help:"Requests a second." default:"60"`
	Nodes    int           `help:"Number of fake backends." default:"4"`
	Level    slog.Level    `help:"Lowest level of the proxy's log lines that are shown." default:"ERROR"`
}

// Run runs fake backends and discovery, the proxy and a light load in this process, on loopback, and shows each second
// how requests are served. After a third of the time one backend drains and then refuses requests; after two thirds it
// is back, cold.
func (c *tryCmd) Run(out output) error {
	if err := c.validate(); err != nil {
		return err
	}
	addrs, err := c.openListeners()
	if err != nil {
		return fmt.Errorf("try: %w", err)
	}
	defer addrs.close()
	cfg, err := addrs.proxyConfig()
	if err != nil {
		return fmt.Errorf("try: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()

	failed := make(chan error, 2) // has room for one error of each goroutine below
	fakes := fakestandalone.NewEnvironment(addrs.discovery, addrs.backends, tryZones, fakestandalone.SleepAbout(tryServiceTime))
	stopFakes := runInBackground(context.Background(), func(ctx context.Context) {
		if err := fakes.Serve(ctx); err != nil {
			failed <- err
		}
	})
	defer stopFakes()
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: c.Level}))
	stopProxy := runInBackground(context.Background(), func(ctx context.Context) {
		if err := server.Run(ctx, cfg, server.Options{}, log); err != nil {
			failed <- err
		}
	})
	defer stopProxy()
	baseURL := "http://" + addrs.proxy
	if err := awaitReady(ctx, baseURL, failed); err != nil {
		return err
	}

	clients := &fakestandalone.LoadGenerator{BaseURL: baseURL, RequestsPerSecond: c.Rate, Classes: fakestandalone.Classes,
		Tenants: fakestandalone.Tenants}
	load, endLoad := context.WithTimeout(ctx, c.Duration)
	defer endLoad()
	stopLoad := runInBackground(load, clients.Run)
	defer stopLoad()
	fmt.Fprintf(out, "proxy at %s, with %d backends; admin API at http://%s/v1/; interrupt to end sooner\n",
		baseURL, c.Nodes, addrs.admin)
	return newTryMonitor(c.Duration, fakes, clients, out).run(load, failed)
}

// validate checks the flags.
func (c *tryCmd) validate() error {
	if c.Nodes < minTryNodes || c.Nodes > maxTryNodes || c.Rate <= 0 || c.Rate > maxTryRate || c.Duration < minTryDuration {
		return fmt.Errorf("try: takes %d to %d nodes, a rate up to %d, and %v or more", minTryNodes, maxTryNodes, maxTryRate,
			minTryDuration)
	}
	return nil
}

// tryAddresses has the addresses of `pumiceline try`: open listeners for the fakes, and addresses for the proxy.
type tryAddresses struct {
	proxy, admin string
	discovery    net.Listener
	backends     []net.Listener
}

// openListeners opens a listener on loopback for each part. It closes the proxy's listeners again, because the proxy
// opens its own at their addresses.
func (c *tryCmd) openListeners() (*tryAddresses, error) {
	var listeners []net.Listener
	addrs := &tryAddresses{}
	for range c.Nodes + 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		listeners = append(listeners, ln)
	}
	proxy, admin := listeners[0], listeners[1]
	addrs.proxy, addrs.admin = proxy.Addr().String(), admin.Addr().String()
	addrs.discovery, addrs.backends = listeners[2], listeners[3:]
	closeAll(listeners[:2])
	return addrs, nil
}

func closeAll(listeners []net.Listener) {
	for _, ln := range listeners {
		ln.Close()
	}
}

func (a *tryAddresses) close() {
	a.discovery.Close()
	closeAll(a.backends)
}

// proxyConfig returns the configuration of a proxy for the fakes.
func (a *tryAddresses) proxyConfig() (*config.Config, error) {
	text, err := fakestandalone.ProxyConfig(a.proxy, a.discovery.Addr().String(), tryZones)
	if err != nil {
		return nil, err
	}
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	cfg.AdminListen = a.admin
	return cfg, nil
}

// runInBackground runs f in a goroutine. The returned function cancels f's context and waits until f returns.
func runInBackground(parent context.Context, f func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(parent)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// awaitReady waits until the proxy reports that it is ready: it has an endpoint list.
func awaitReady(ctx context.Context, baseURL string, failed <-chan error) error {
	for {
		resp, err := http.Get(baseURL + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
