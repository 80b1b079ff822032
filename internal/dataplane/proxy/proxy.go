// Package proxy assembles the process of the data plane: the listener for clients, the readiness check, and the
// subscription to the coordinators.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/dataplane/ingress"
	"pumiceline/internal/dataplane/loads"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
)

const (
	// sweepInterval is how often idle connections are checked for expiration.
	sweepInterval = 1 * time.Second

	// Limits of the listeners. The idle time-out of the configuration is usually shorter than idleTimeout; see
	// idleConnections.
	idleTimeout    = 3 * time.Minute
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10

	// drainDelay is how long a draining proxy continues to accept connections. The platform sends new connections
	// until two readiness checks have failed; without the delay these would be refused. The delay is at most
	// maxDrainDelayShare of the grace time.
	drainDelay         = 2500 * time.Millisecond
	maxDrainDelayShare = 0.4
	// stopMargin is the part of the grace time that is reserved for the exit of the process.
	stopMargin = 300 * time.Millisecond
)

// Proxy is the process of the data plane.
type Proxy struct {
	settings     *bootstrap.Settings
	pool         *backend.Pool
	loads        *loads.Exchange
	notifier     *demandNotifier
	handler      *ingress.Handler
	subscription *subscription
	poller       *distribution.Poller
	idle         idleConnections
	isDraining   atomic.Bool
}

// Run serves until ctx ends, then drains within the grace time. It returns an error only if a listener cannot be
// opened or shut down. The process must exit afterwards: Run cancels the background goroutines but does not wait for
// them, because that could take longer than the grace time.
func Run(ctx context.Context, settings *bootstrap.Settings) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	p := newProxy(background, settings)
	p.start(background)
	server, err := p.listen()
	if err != nil {
		return err
	}
	<-ctx.Done()
	return p.drain(server)
}

// newProxy assembles a proxy. Its dispatcher runs until ctx ends.
func newProxy(ctx context.Context, settings *bootstrap.Settings) *Proxy {
	identity := message.MemberID(settings.Node + "/" + settings.IP)
	sendTime := discovery.NewBudget(settings.Bounds.Drain).SendTime
	p := &Proxy{
		settings: settings, pool: backend.NewPool(min(backend.MaxDialTimeout, sendTime)), loads: loads.New(identity), notifier: newDemandNotifier(),
	}
	bounds := settings.Bounds
	budget := balancer.NewRetryBudget(balancer.RetryBudgetOptions{
		Window: bounds.RetryWindow, Ratio: bounds.RetryRatio, Allowance: bounds.RetryExtra, Started: time.Now(),
	})
	picker := balancer.New(budget)
	picker.SetIdleConnectionCheck(p.pool.HasIdle)
	dispatcher := balancer.NewDispatcher(ctx, picker, balancer.DispatcherOptions{
		OnUnmetDemand: p.notifier.notify, PeerLoads: p.loads,
	})
	p.handler = ingress.New(dispatcher, p.pool)
	p.subscription = newSubscription(subscriptionOptions{
		settings: settings, seeds: coordinator.SeedAddresses(settings),
		dispatcher: dispatcher, handler: p.handler, pool: p.pool, loads: p.loads,
	})
	p.poller = distribution.NewPoller(identity, p.subscription, p.subscription.budget)
	return p
}

// start starts the background goroutines, which run until ctx ends.
func (p *Proxy) start(ctx context.Context) {
	go p.poller.Run(ctx)
	go p.loads.Run(ctx)
	go p.notifier.run(ctx, p.poller)
	go p.subscription.runDiscoveryFallback(ctx)
	go p.subscription.monitor.Run(ctx)
	go p.sweepConnections(ctx)
}

// listen starts the listeners for readiness checks and for clients, and returns the server for clients.
func (p *Proxy) listen() (*http.Server, error) {
	readiness := &http.Server{
		Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	clients := &http.Server{
		Handler: p.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: p.idle.track,
	}
	if err := serve(readiness, p.settings.ReadinessAddress); err != nil {
		return nil, err
	}
	if err := serve(clients, p.settings.ClientAddress); err != nil {
		return nil, err
	}
	return clients, nil
}

// serve opens a listener and serves it in the background, until the server is shut down.
func serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).WithField(logkey.Address, address).Error("listener failed")
		}
	}()
	return nil
}

// serveReady responds to a readiness check, or with the Status.
func (p *Proxy) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == statusPath {
		p.serveStatus(w)
		return
	}
	if p.isDraining.Load() || !p.subscription.isReady.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain continues to serve for drainDelay, so that the platform stops sending new connections. It then shuts down the
// server for clients and waits until all requests are finished, within the grace time.
func (p *Proxy) drain(server *http.Server) error {
	grace := p.settings.Bounds.GracePeriod
	deadline := time.Now().Add(grace - stopMargin)
	p.isDraining.Store(true)
	p.handler.StartDraining(deadline)
	logrus.Info("draining")
	time.Sleep(min(drainDelay, time.Duration(maxDrainDelayShare*float64(grace))))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		logrus.WithField(logkey.Requests, p.handler.Active()).Warn("grace time expired with requests in flight")
		return nil
	}
	return errors.Wrap(err, "shut down the listener")
}

// sweepConnections closes expired idle connections, both to backends and from clients, until ctx ends.
func (p *Proxy) sweepConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.pool.CloseExpired()
			p.idle.closeExpired(now, p.handler.IdleTimeout())
		}
	}
}
