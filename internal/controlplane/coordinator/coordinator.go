// Package coordinator assembles a machine's part in the control plane. One process runs
//
//   - the replica loop, which owns the replica state machine (package replica) and carries out its outputs,
//   - the state writer, which syncs the replica's records to the ring of files (package storage),
//   - the hub that proxies poll for configuration, backends and loads (package distribution),
//   - the coordination loop, which owns this machine's member in the coordination of applications (package epoch), and
//     the relay that forwards their calls to the issuer,
//   - the HTTP API for the operator (/config and /status) and for applications (package coordinationapi), and
//   - the controller, which polls discovery and places models while this member holds the controller lease.
//
// Only the replica loop touches the replica. The rest of the process reads the membershipSnapshot that the loop
// publishes after each step.
package coordinator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bodybudget"
	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/lifecycle"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

// LeaseDuration is how long a grant of the controller lease lasts.
const LeaseDuration = 2 * time.Second

// Limits of a graceful shutdown. The member first waits for its removal from the view, for at most the shorter of
// maxRemovalWait and maxRemovalShare of the grace time. The rest of the grace time is for closing the listeners.
const (
	maxRemovalWait      = 4 * time.Second
	maxRemovalShare     = 0.6
	removalPollInterval = 50 * time.Millisecond
	httpShutdownTimeout = 500 * time.Millisecond
)

// Limits of the head of a call to the control address.
const (
	readHeaderTimeout = 3 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Run runs the coordinator until ctx ends, then leaves the view and stops serving. The control address is served from the
// beginning: until the state is open, it answers GET /status and rejects other calls. The caller must exit the process
// when Run returns: the state writers and the transport still run then. Records that are not synced at the exit count
// as never written.
func Run(ctx context.Context, settings *bootstrap.Settings, process *lifecycle.Process) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	api := newStartupAPI(settings.Node, process)
	calls := &callLog{next: api}
	server := &http.Server{
		Handler:           bodybudget.NewHandler(calls, settings.Limits.BodyBytes()),
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	serving := make(chan error, 1)
	go func() { serving <- process.Serve(background, server, settings.ControlAddress, nil) }()
	opening := make(chan openResult, 1)
	go func() { opening <- open(ctx, settings, process) }()
	var parts *components
	for {
		select {
		case err := <-serving:
			return errors.Wrap(err, "serve the operator")
		case result := <-opening:
			if result.err != nil {
				return result.err
			}
			parts = result.components
			api.set(parts.start(background, settings, process))
		case <-ctx.Done():
			shutDown(parts, server, calls, settings.Bounds.GracePeriod)
			return nil
		}
	}
}

// components are the parts of a coordinator whose listener and state are open.
type components struct {
	listener     net.Listener // for other processes of the system
	loop         *replicaLoop
	coordination *coordinationLoop
}

// openResult is the result of open.
type openResult struct {
	*components
	err error
}

// open opens the internal listener and then the state, and makes the parts that use them. It waits for a port or a disk
// that is not available. Only the process that has the port uses the state.
func open(ctx context.Context, settings *bootstrap.Settings, process *lifecycle.Process) openResult {
	self := message.Member{
		Address:  InternalAddress(settings.IP, settings.FirstPort),
		Identity: newIdentity(settings.Node),
		Zone:     settings.Zone,
	}
	listener, err := process.Listen(ctx, self.Address)
	if err != nil {
		return openResult{err: errors.Wrap(err, "listen for other processes of the system")}
	}
	var stored *storedState
	err = process.Until(ctx, "the state folder", func() error {
		stored, err = openState(settings.StateDir)
		return err
	})
	if err != nil {
		return openResult{err: err}
	}
	if fault := storedFault(stored.chain.Document); fault != "" {
		logrus.WithFields(logrus.Fields{logkey.Version: stored.chain.Version, logkey.Reason: fault}).
			Warn("the configuration on disk is not valid; its canonical form is in force until the next change")
	}
	var coordinationStored *storedCoordination
	err = process.Until(ctx, "the folder of the coordination state", func() error {
		coordinationStored, err = openCoordinationState(settings.StateDir)
		return err
	})
	if err != nil {
		return openResult{err: err}
	}
	loop := newReplicaLoop(self, settings, stored)
	loop.coordination = newCoordinationLoop(loop.self, settings, loop.sender, loop.snapshot.Load, coordinationStored)
	return openResult{components: &components{listener: listener, loop: loop, coordination: loop.coordination}}
}

// start starts the goroutines of the parts, which run until ctx ends or the process does, and returns the API.
func (c *components) start(ctx context.Context, settings *bootstrap.Settings, process *lifecycle.Process) *operatorAPI {
	go c.loop.writer.run()
	go c.loop.hub.Run(ctx)
	go c.loop.hub.Monitor().Run(ctx)
	go c.loop.run(ctx)
	go c.coordination.writer.run()
	go c.coordination.run(ctx)
	go transport.Serve(c.listener, c.loop.handleMessage)
	go newController(c.loop, settings).run(ctx)
	return &operatorAPI{
		loop: c.loop, node: settings.Node, process: process, applications: coordinationapi.NewHandler(c.coordination.relay),
		refusals: newConfigRefusals(),
	}
}

// shutDown leaves the view and stops serving the operator. parts are nil if the state was not open yet.
func shutDown(parts *components, server *http.Server, calls *callLog, grace time.Duration) {
	if parts != nil {
		awaitRemoval(parts.loop, grace)
	}
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logrus.WithError(err).WithField(logkey.Requests, calls.inFlight.Load()).Warn("shutdown cuts calls in flight")
	}
}

// newReplicaLoop makes the replica from its state on disk, and the parts that carry out its outputs.
func newReplicaLoop(self message.Member, settings *bootstrap.Settings, stored *storedState) *replicaLoop {
	options := replica.Options{
		Self: self, Seeds: SeedAddresses(settings), Tolerance: settings.Tolerance, LeaseDuration: LeaseDuration,
		FirstStart: settings.FirstStart, Diskless: stored.ring == nil, Incarnation: newIncarnation(),
	}
	l := &replicaLoop{
		started: time.Now(), inbox: newInbox(), leaving: make(chan struct{}),
		hub: distribution.NewHub(settings.Bounds.Drain), pending: newPendingResults(newIncarnation()),
	}
	l.replica = replica.New(options, configuration.NewValidator().Validate, 0, stored.control, stored.chain)
	self.Identity = l.replica.Identity()
	l.self = self
	l.writer = newStateWriter(stored.ring, &stored.chain, l.onSynced)
	l.sender = transport.NewSender(l.handleMessage)
	return l
}

// awaitRemoval asks for the member's removal from the view and waits for it. The other members remove it only once
// enough of them have the complete state; until then it stays a member. A coordinator outside the view waits until
// none of its own join requests can be admitted any more. The only member of a view stops at once, as no other member
// could remove it.
func awaitRemoval(loop *replicaLoop, grace time.Duration) {
	close(loop.leaving)
	close(loop.coordination.leaving)
	deadline := time.Now().Add(min(maxRemovalWait, time.Duration(maxRemovalShare*float64(grace))))
	for time.Now().Before(deadline) {
		time.Sleep(removalPollInterval)
		s := loop.snapshot.Load()
		if s != nil && (s.canStop && loop.coordination.canStop() || s.isMember && len(s.view.Members) == 1) {
			return
		}
	}
	logrus.Warn("leaving without removal from the view: peers lack the state or a majority")
}
