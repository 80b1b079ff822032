// Package coordinator assembles a machine's part in the control plane: the replica with its disk, the operator's API,
// the hub from which proxies pull, and the controller that the lease holder runs.
package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

// LeaseLength is how long a grant of the controller lease lasts.
const LeaseLength = 2 * time.Second

const (
	leaveWithin    = 4 * time.Second // a leaving member waits so long to be taken out of the view
	leaveShare     = 0.6             // of the grace time, at the most
	leavePoll      = 50 * time.Millisecond
	shutdownWithin = 500 * time.Millisecond
	headerTimeout  = 3 * time.Second
)

// InternalAddress is where the coordinator of a machine takes messages from inside the system.
func InternalAddress(ip string, firstPort int) string {
	return net.JoinHostPort(ip, strconv.Itoa(firstPort))
}

// SeedAddresses turns the control addresses of the settings into internal ones.
func SeedAddresses(settings *bootstrap.Settings) []string {
	var out []string
	for _, seed := range settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			logrus.WithField("seed", seed).Warn("a seed that is no address")
			continue
		}
		out = append(out, InternalAddress(host, settings.FirstPort))
	}
	return out
}

// Run runs the coordinator until ctx ends, then leaves in order.
func Run(ctx context.Context, settings *bootstrap.Settings) error {
	self := message.Member{Address: InternalAddress(settings.IP, settings.FirstPort), Identity: newIdentity(settings.Node), Zone: settings.Zone}
	listener, err := net.Listen("tcp", self.Address)
	if err != nil {
		return errors.Wrap(err, "listening for the system")
	}
	ring, control, chain, err := openState(settings.StateDir)
	if err != nil {
		return err
	}
	options := replica.Options{
		Self: self, Seeds: SeedAddresses(settings), Tolerance: settings.Tolerance,
		Lease: LeaseLength, FirstStart: settings.FirstStart, Volatile: ring == nil, Incarnation: newIncarnation(),
	}
	o := &owner{
		started: time.Now(), queue: make(chan *message.Message, queueLength), leaving: make(chan struct{}),
		hub: distribution.NewHub(), results: newResultBoard(newIncarnation()),
	}
	o.replica = replica.New(options, configuration.Judge, 0, control, chain)
	self.Identity = o.replica.Identity()
	o.self = self
	o.writer = newWriter(ring, &chain, o.released)
	handle := func(m *message.Message, reply func(*message.Message)) {
		if m.PollRequest != nil {
			o.hub.HandlePull(m.From, *m.PollRequest, reply)
			return
		}
		if m.LoadReport != nil {
			o.hub.HandleLoads(m.From, m.LoadReport, reply)
			return
		}
		o.deliver(m)
	}
	o.sender = transport.NewSender(handle)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go o.writer.run()
	go o.hub.Run(running)
	go o.run(running)
	go transport.Serve(listener, handle)
	go newController(o, settings).run(running)
	server := &http.Server{Handler: &api{owner: o, node: settings.Node}, ReadHeaderTimeout: headerTimeout}
	operatorListener, err := net.Listen("tcp", settings.ControlAddress)
	if err != nil {
		return errors.Wrap(err, "listening for the operator")
	}
	go func() {
		if err := server.Serve(operatorListener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).Error("the operator's API stopped")
		}
	}()
	<-ctx.Done()
	leave(o, settings.Bounds.Grace)
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownWithin)
	defer cancel()
	_ = server.Shutdown(shutdown) // what is still open then is cut
	return nil
}

// leave waits until the others have taken this member out of the view: they do so once enough of them hold the state.
// One that is outside it waits until no request of its own can bring it in again.
// Meanwhile it goes on as a member. What is left of the grace time is for the listeners.
func leave(o *owner, grace time.Duration) {
	close(o.leaving)
	deadline := time.Now().Add(min(leaveWithin, time.Duration(leaveShare*float64(grace))))
	for time.Now().Before(deadline) {
		time.Sleep(leavePoll)
		if s := o.standing.Load(); s != nil && (s.mayStop || s.member && len(s.view.Members) == 1) {
			return
		}
	}
	logrus.Warn("leaving while the others need this member's state, or cannot agree to let it go")
}

// newIncarnation draws the number from which a life of the process counts. Its upper part is random, so that no answer
// to an earlier life matches; the clock would not do, as it may be set back.
func newIncarnation() uint64 {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		logrus.WithError(err).Warn("no random numbers: answers to an earlier process may be taken for this one's")
	}
	return binary.BigEndian.Uint64(random[:]) >> 1 // room to count up
}

// newIdentity makes an identity that no process had before.
func newIdentity(node string) string {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return node + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	return node + "-" + hex.EncodeToString(random[:])
}
