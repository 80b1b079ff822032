// Package server assembles the standalone proxy: it creates the parts from a configuration, connects them, and runs
// them until it is stopped.
package server

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/deployfile"
	"pumiceline/internal/standalone/discovery"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/listener"
	"pumiceline/internal/standalone/metrics"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/settings"
)

const (
	// discoveryTimeout is how long a process that takes over from another waits for discovery to confirm the endpoint
	// list before it serves with the configuration's own list.
	discoveryTimeout = 3500 * time.Millisecond
	// discoveryPollInterval is how often it checks whether discovery has confirmed the list.
	discoveryPollInterval = 10 * time.Millisecond
)

// Options are what Run takes besides the configuration. The zero value is valid.
type Options struct {
	ReloadSignals <-chan os.Signal // each signal reloads the configuration; nil: it is never reloaded
	ReadConfig    ReadConfig       // reads the configuration; required with ReloadSignals
	AdmissionFile string           // path of the settings of admission control; empty: there is no admission control
	Network       Network          // nil: TCP
}

// ReadConfig reads the configuration again. current is the one in use.
type ReadConfig func(current *config.Config) (*config.Config, error)

// Network opens the listeners and connections of the proxy.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)
}

// tcp is the default Network: TCP sockets of the host.
type tcp struct{}

// Listen implements Network.
func (tcp) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Network.
func (tcp) Dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	return backend.DialTCP(ctx, addr, deadline)
}

// server is one running proxy.
type server struct {
	cfg     *config.Config // as read at the start; the reloader has the one in force
	opts    Options
	log     *slog.Logger
	sockets socketBudget

	gate       *listener.Gate // nil: no admission control
	metrics    *metrics.Metrics
	backends   *backend.Pool
	watcher    *discovery.Watcher
	process    *hotrestart.Process
	loadPoller *forwarder.LoadPoller
	engine     *engine.Engine
	transport  *forwarder.Transport
	clients    *listener.Server
	reloader   *reloader

	accepting  atomic.Bool    // clients' connections are accepted; the admin API's readiness depends on it
	background sync.WaitGroup // of the goroutines that run waits for
}

// Run serves clients until stop ends, and returns when the requests in flight have ended or the last response is due
// (package listener). It returns an error if the configuration is invalid or the listener fails.
func Run(stop context.Context, cfg *config.Config, opts Options, log *slog.Logger) error {
	if opts.Network == nil {
		opts.Network = tcp{}
	}
	s := &server{cfg: cfg, opts: opts, log: log, sockets: socketBudget(cfg.Limits.Sockets)}
	balancer, err := policy.New(cfg.Policy, cfg.Seed)
	if err != nil {
		return &config.KeyError{Key: "settings", Err: err}
	}
	if err := s.createGate(); err != nil {
		return err
	}
	s.createBackends()
	s.joinProcesses()
	defer s.process.Leave()
	s.createRequestPath(balancer)
	defer s.loadPoller.Close()
	s.registerGauges()
	ln, err := s.listen()
	if err != nil {
		return &config.KeyError{Key: "listen", Err: err}
	}
	return s.run(stop, ln)
}

// createGate creates admission control if there is a file for it.
func (s *server) createGate() error {
	if s.opts.AdmissionFile == "" {
		return nil
	}
	set, err := deployfile.ReadAdmission(s.opts.AdmissionFile, &s.cfg.Settings, s.cfg.Seed)
	if err != nil {
		return err
	}
	s.gate, err = listener.NewGate(set, s.log)
	return err
}

// createBackends creates the connection pool and the watcher of discovery that fills it.
func (s *server) createBackends() {
	set := &s.cfg.Settings
	s.metrics = metrics.New()
	s.metrics.SetClasses(classNames(set))
	s.backends = backend.NewPool(backend.Options{
		DialTimeout:      engine.Duration(settings.Micros(set.Limits.DialTimeout)),
		IdleTimeout:      engine.Duration(settings.Micros(set.Limits.ConnIdleTimeout)),
		MaxConnections:   s.sockets.backendShare(),
		ReportColumns:    config.ReportColumns(set, &s.cfg.Policy),
		OnRequestWritten: s.metrics.AttemptSent,
		Dial:             s.opts.Network.Dial,
	}, s.log)
	s.watcher = discovery.NewWatcher(discovery.Options{Source: discoverySource(s.cfg), Dial: s.opts.Network.Dial,
		Backends: s.backends, Log: s.log})
}

// joinProcesses makes this process visible to the other processes of this proxy, if there is a folder that they share.
func (s *server) joinProcesses() {
	var folder *hotrestart.SharedFolder
	if s.cfg.SharedFolder != "" {
		folder = hotrestart.NewSharedFolder(s.cfg.SharedFolder, s.cfg.Name+" "+s.cfg.Listen)
		s.watcher.ShareMaintenance(folder)
	}
	s.process = hotrestart.NewProcess(folder, s.cfg.Limits.MemoryMB, s.log)
	if err := s.process.Join(); err != nil { // an unusable folder must not stop a proxy: it runs as the only process
		s.log.Error("shared folder unusable, other processes are not visible", "error", err)
	}
}

// createRequestPath creates what a request passes through: the listener, the transport and the engine of the policy.
func (s *server) createRequestPath(balancer *policy.Balancer) {
	s.loadPoller = forwarder.NewLoadPoller(s.backends, s.log)
	hooks := engine.Hooks{
		SubscribeDiscovery: s.watcher.RestartWatch,
		CloseIdleConns:     s.backends.CloseIdle,
		PollLoad:           s.loadPoller.Poll,
	}
	s.engine = engine.New(balancer, hooks, s.log)
	s.loadPoller.SetEngine(s.engine)
	s.transport = &forwarder.Transport{Engine: s.engine, Backends: s.backends, Log: s.log}
	s.transport.MaxRetryAfter.Store(settings.Micros(s.cfg.Settings.Limits.MaxRetryAfter))
	s.clients = listener.New(listener.Options{
		Settings:          &s.cfg.Settings,
		Transport:         s.transport,
		Ready:             s.watcher.HasEndpoints,
		GuaranteedSockets: s.sockets.clientShare(),
		SocketLimit: func() int {
			return s.sockets.clientLimit(s.backends.OpenConnections(), s.process.PeerSockets())
		},
		HasSuccessor: s.process.HasServingPeer,
		Gate:         s.gate,
		Metrics:      s.metrics,
		Log:          s.log,
	})
	s.reloader = &reloader{cfg: s.cfg, admissionFile: s.opts.AdmissionFile, gate: s.gate, engine: s.engine, backends: s.backends,
		transport: s.transport, clients: s.clients, watcher: s.watcher, metrics: s.metrics, log: s.log}
	s.process.Connect(hotrestart.Hooks{SocketUsage: s.socketUsage, ShareQuotas: s.shareQuotas, Policy: s.engine})
}

// listen opens the listening socket for clients, or uses the one that this process has inherited.
func (s *server) listen() (net.Listener, error) {
	if s.cfg.ListenFD != 0 {
		return hotrestart.InheritListener(s.cfg.ListenFD)
	}
	return s.opts.Network.Listen(s.cfg.Listen)
}

// run starts the goroutines and serves clients from ln until stop ends.
func (s *server) run(stop context.Context, ln net.Listener) error {
	// running does not end with stop: discovery and the policy's timers are needed until the last request has ended.
	running, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	s.watcher.Start(s.engine, s.cfg.KnownEndpoints)
	if err := s.startAdmin(running, stop); err != nil {
		return err
	}
	s.startBackground(running)
	s.process.Poll()
	s.background.Go(func() { s.process.Run(running) })
	err := s.serveClients(stop, ln)
	cancel()
	s.background.Wait()
	s.log.Info("proxy ended", "error", err)
	return err
}

// startBackground starts the goroutines that end with running.
func (s *server) startBackground(running context.Context) {
	s.background.Go(func() { s.engine.Run(running) })
	s.background.Go(func() { s.watcher.Run(running) })
	s.background.Go(func() { s.watcher.RunMaintenance(running) })
	if s.gate != nil {
		s.background.Go(func() { s.gate.Run(running) })
	}
	// Not part of s.background, because run waits for that: reading a configuration file may block (a pipe) and must
	// not delay the end of the process.
	go s.reloadOnSignals(running)
}

// reloadOnSignals reloads the configuration at each signal until running ends.
func (s *server) reloadOnSignals(running context.Context) {
	for {
		select {
		case <-running.Done():
			return
		case <-s.opts.ReloadSignals:
			s.reloader.reload(s.opts.ReadConfig)
		}
	}
}

// serveClients accepts connections until stop ends and completes the requests in flight. A process that takes over
// waits for the endpoint list first, and accepts nothing if stop ends before that.
func (s *server) serveClients(stop context.Context, ln net.Listener) error {
	if s.cfg.ListenFD != 0 && !awaitEndpoints(stop, s.watcher) {
		return nil
	}
	s.log.Info("serving", "listen", s.cfg.Listen, "discovery", s.cfg.Discovery)
	s.process.AdoptLearnedState()
	s.process.SetStage(hotrestart.Serving)
	s.process.Poll()
	s.accepting.Store(true)
	context.AfterFunc(stop, func() { s.process.SetStage(hotrestart.Draining) })
	return s.clients.Serve(stop, ln)
}

// awaitEndpoints waits until discovery has sent or confirmed the endpoint list. It returns false if stop ends first.
// Without the wait, this process could send requests to backends that are draining, which the old process has learned
// from discovery and the configuration's own list may not show. If discovery does not respond, the configuration's own
// list is used after discoveryTimeout. Without such a list, awaitEndpoints continues to wait.
func awaitEndpoints(stop context.Context, watcher *discovery.Watcher) bool {
	timeout, ticker := time.NewTimer(discoveryTimeout), time.NewTicker(discoveryPollInterval)
	defer timeout.Stop()
	defer ticker.Stop()
	timedOut := false
	for !watcher.HasEndpoints() || !watcher.HasSynced() && !timedOut {
		select {
		case <-stop.Done():
			return false
		case <-timeout.C:
			timedOut = true
		case <-ticker.C:
		}
	}
	return true
}

// discoverySource returns the source of the endpoint list that a configuration names.
func discoverySource(cfg *config.Config) discovery.Source {
	return discovery.Source{Address: cfg.Discovery, Zones: cfg.Settings.Zones, InstanceTypes: cfg.Settings.InstanceTypes}
}
