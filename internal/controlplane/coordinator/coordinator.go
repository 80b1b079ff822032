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

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/replica"
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

const readHeaderTimeout = 3 * time.Second

// Run runs the coordinator until ctx ends, then leaves the view and stops serving. The caller must exit the process
// when Run returns: the state writers and the transport still run then. Records that are not synced at the exit count
// as never written.
func Run(ctx context.Context, settings *bootstrap.Settings) error {
	self := message.Member{
		Address:  InternalAddress(settings.IP, settings.FirstPort),
		Identity: newIdentity(settings.Node),
		Zone:     settings.Zone,
	}
	listener, err := net.Listen("tcp", self.Address)
	if err != nil {
		return errors.Wrap(err, "listen for other processes of the system")
	}
	stored, err := openState(settings.StateDir)
	if err != nil {
		return err
	}
	loop := newReplicaLoop(self, settings, stored)
	coordinationLoop, err := newCoordinationLoop(loop.self, settings, loop.sender, loop.snapshot.Load)
	if err != nil {
		return err
	}
	loop.coordination = coordinationLoop
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go loop.writer.run()
	go loop.hub.Run(background)
	go loop.hub.Monitor().Run(background)
	go loop.run(background)
	go coordinationLoop.writer.run()
	go coordinationLoop.run(background)
	go transport.Serve(listener, loop.handleMessage)
	go newController(loop, settings).run(background)
	applications := coordinationapi.NewHandler(coordinationLoop.relay)
	calls := &callLog{next: &operatorAPI{loop: loop, node: settings.Node, applications: applications}}
	server, err := serveCalls(calls, settings.ControlAddress)
	if err != nil {
		return err
	}
	<-ctx.Done()
	awaitRemoval(loop, settings.Bounds.GracePeriod)
	shutdown, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdown); err != nil {
		logrus.WithError(err).WithField(logkey.Requests, calls.inFlight.Load()).Warn("shutdown cuts calls in flight")
	}
	return nil
}

// newReplicaLoop makes the replica from its state on disk, and the parts that carry out its outputs.
func newReplicaLoop(self message.Member, settings *bootstrap.Settings, stored *storedState) *replicaLoop {
	options := replica.Options{
		Self: self, Seeds: SeedAddresses(settings), Tolerance: settings.Tolerance, LeaseDuration: LeaseDuration,
		FirstStart: settings.FirstStart, Diskless: stored.ring == nil, Incarnation: newIncarnation(),
	}
	l := &replicaLoop{
		started: time.Now(), inbox: make(chan *message.Message, inboxLength), leaving: make(chan struct{}),
		hub: distribution.NewHub(settings.Bounds.Drain), pending: newPendingResults(newIncarnation()),
	}
	l.replica = replica.New(options, configuration.Validate, 0, stored.control, stored.chain)
	self.Identity = l.replica.Identity()
	l.self = self
	l.writer = newStateWriter(stored.ring, &stored.chain, l.onSynced)
	l.sender = transport.NewSender(l.handleMessage)
	return l
}

// serveCalls starts the HTTP server at the control address. The caller must shut it down.
func serveCalls(calls *callLog, address string) (*http.Server, error) {
	server := &http.Server{Handler: calls, ReadHeaderTimeout: readHeaderTimeout}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the operator")
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).Error("operator API stopped")
		}
	}()
	return server, nil
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
