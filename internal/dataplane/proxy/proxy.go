// Package proxy assembles a machine's part in the data plane: the clients' listener, readiness, and what it pulls
// from the coordinators.
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
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/dataplane/ingress"
	"pumiceline/internal/dataplane/loads"
)

// Times of a proxy.
const (
	pullHold       = 400 * time.Millisecond
	idleTimeout    = 3 * time.Minute // the operator's limit ends most connections before
	headerTimeout  = 10 * time.Second
	noticeTime     = 2500 * time.Millisecond // the platform needs two missed checks to send no more connections
	noticeShare    = 0.4                     // of the grace time, at the most
	stopMargin     = 300 * time.Millisecond  // before the end of the grace time; an exit takes some milliseconds
	drainPoll      = 50 * time.Millisecond
	poolSweep      = 1 * time.Second
	maxHeaderBytes = 64 << 10
)

// Proxy is the data plane's process.
type Proxy struct {
	settings *bootstrap.Settings
	handler  *ingress.Handler
	feed     *feed
	leaving  atomic.Bool
	idle     idleConnections
}

// Run serves until ctx ends, then stops in order.
func Run(ctx context.Context, settings *bootstrap.Settings) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	budget := balancer.NewRetryBudget(settings.Bounds.RetryWindow, settings.Bounds.RetryRatio, settings.Bounds.RetryExtra, time.Now())
	urgent := newUrgency()
	exchange := loads.New(settings.Node + "/" + settings.IP)
	pool := backend.NewPool()
	chooser := balancer.New(budget)
	chooser.SetIdleConnectionCheck(pool.HasIdle)
	dispatcher := balancer.NewDispatcher(running, chooser, balancer.DispatcherOptions{OnUrgentDemand: urgent.raise, PeerLoads: exchange})
	handler := ingress.New(dispatcher, pool)
	feed := newFeed(settings, dispatcher, handler, pool, exchange, coordinator.SeedAddresses(settings))
	p := &Proxy{settings: settings, handler: handler, feed: feed}
	poller := distribution.NewPoller(settings.Node+"/"+settings.IP, feed, pullHold)
	go poller.Run(running)
	go exchange.Run(running)
	go urgent.run(running, poller)
	go feed.watch(running)
	go p.sweep(running, pool)
	ready := &http.Server{Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	front := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: p.idle.track,
	}
	if err := serve(ready, settings.ReadyAddress); err != nil {
		return err
	}
	if err := serve(front, settings.FrontAddress); err != nil {
		return err
	}
	<-ctx.Done()
	return p.stop(front)
}

func serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).WithField("address", address).Error("a listener stopped")
		}
	}()
	return nil
}

func (p *Proxy) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.leaving.Load() || !p.feed.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop goes on serving until no new connections come, and then until all that was taken is answered.
func (p *Proxy) stop(front *http.Server) error {
	ends := time.Now().Add(p.settings.Bounds.Grace - stopMargin)
	p.leaving.Store(true)
	p.handler.StartDraining(ends)
	logrus.Info("stopping")
	time.Sleep(min(noticeTime, time.Duration(noticeShare*float64(p.settings.Bounds.Grace))))
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	err := front.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		logrus.WithField("requests", p.handler.Active()).Warn("the grace time is over with requests under way")
		return nil
	}
	return errors.Wrap(err, "stopping")
}

// sweep closes connections that have rested for too long: to backends, and of clients.
func (p *Proxy) sweep(ctx context.Context, pool *backend.Pool) {
	ticker := time.NewTicker(poolSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			pool.CloseExpired()
			p.idle.closeExpired(now, p.handler.IdleTimeout())
		}
	}
}
