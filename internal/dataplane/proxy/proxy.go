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

	"pumiceline/internal/bodybudget"
	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/dataplane/ingress"
	"pumiceline/internal/dataplane/loads"
	"pumiceline/internal/headbudget"
	"pumiceline/internal/lifecycle"
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
	// maxCheckHeaderBytes bounds the head of a readiness check.
	maxCheckHeaderBytes = 8 << 10

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
	process      *lifecycle.Process
	isListening  atomic.Bool // the listener for clients is open
	isDraining   atomic.Bool
}

// Run serves until ctx ends, then drains within the grace time. It returns an error only if the address of a listener is
// wrong. The process must exit afterwards: Run cancels the background goroutines but does not wait for them, because
// that could take longer than the grace time.
func Run(ctx context.Context, settings *bootstrap.Settings, process *lifecycle.Process) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	p := newProxy(background, settings, process)
	p.start(background)
	server, failed := p.listen(background)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		p.drain(server)
		return nil
	}
}

// newProxy assembles a proxy. Its dispatcher runs until ctx ends.
func newProxy(ctx context.Context, settings *bootstrap.Settings, process *lifecycle.Process) *Proxy {
	identity := message.MemberID(settings.Node + "/" + settings.IP)
	sendTime := discovery.NewBudget(settings.Bounds.Drain).SendTime
	p := &Proxy{
		settings: settings, process: process, pool: backend.NewPool(min(backend.MaxDialTimeout, sendTime)), loads: loads.New(identity), notifier: newDemandNotifier(),
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
	p.handler.LimitResponses(settings.Limits.BodyBytes())
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

// listen starts the listeners for readiness checks and for clients, which run until ctx ends. It returns the server for
// clients, and a channel that receives an error if an address is wrong.
func (p *Proxy) listen(ctx context.Context) (*http.Server, <-chan error) {
	readiness := &http.Server{
		Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxCheckHeaderBytes,
	}
	heads := headbudget.New(p.settings.Limits.HeadBytes())
	clients := p.newClientServer(heads)
	failed := make(chan error, 2) // one for each listener
	serve := func(server *http.Server, address string, wrap func(net.Listener) net.Listener) {
		if err := p.process.Serve(ctx, server, address, wrap); err != nil {
			failed <- err
		}
	}
	go serve(readiness, p.settings.ReadinessAddress, nil)
	go serve(clients, p.settings.ClientAddress, func(listener net.Listener) net.Listener {
		p.isListening.Store(true)
		return heads.Listener(listener)
	})
	return clients, failed
}

// newClientServer makes the server for clients, whose listener is one of heads.
func (p *Proxy) newClientServer(heads *headbudget.Budget) *http.Server {
	handler := bodybudget.NewHandler(p.handler, p.settings.Limits.BodyBytes())
	return &http.Server{
		Handler: heads.Handler(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: heads.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			heads.ConnState(conn, state)
			p.idle.track(conn, state)
		},
	}
}

// serveReady responds to a readiness check, or with the Status.
func (p *Proxy) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == statusPath {
		p.serveStatus(w)
		return
	}
	if !p.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether clients can be served.
func (p *Proxy) isReady() bool {
	return p.isListening.Load() && p.subscription.isReady.Load() && !p.isDraining.Load()
}

// drain continues to serve for drainDelay, so that the platform stops sending new connections. It then shuts down the
// server for clients and waits until all requests are finished, within the grace time.
func (p *Proxy) drain(server *http.Server) {
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
	} else if err != nil {
		logrus.WithError(err).Warn("the listener for clients is not closed in order")
	}
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
