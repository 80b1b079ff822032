package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/controlplane/relay"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

const (
	// idleTickInterval is the tick interval of the member while there are no calls.
	idleTickInterval = 500 * time.Millisecond
	// historyFactor is the ratio of the time for which the history of keys is kept to Bounds.History, the time for
	// which a watching client may be away. It is above 1 because a watch may also wait, and because each member
	// counts ages from when it received a change itself.
	historyFactor = 3
)

// coordinationLoop owns this machine's member in the coordination of applications. One goroutine (run) passes
// messages and ticks to the member, and carries out its outputs in the order in which they were returned. The member
// counts time from started.
type coordinationLoop struct {
	member     *epoch.Member
	started    time.Time
	inbox      *inbox
	leaving    chan struct{} // closed when the process is asked to stop
	sender     *transport.Sender
	writer     *coordinationWriter
	relay      *relay.Relay
	self       message.Member
	membership func() *membershipSnapshot // returns nil while the membership is not known
	status     atomic.Pointer[coordinationStatus]

	loggedEpoch message.Epoch // the newest epoch that was logged
	loggedGroup uint64        // the newest group that was logged
}

// coordinationStatus is the status of the member after its last step, for the rest of the process.
type coordinationStatus struct {
	epoch.Status
	canStop bool
}

// newCoordinationLoop makes the member from its state on disk, and the parts that carry out its outputs.
func newCoordinationLoop(
	self message.Member, settings *bootstrap.Settings, sender *transport.Sender, membership func() *membershipSnapshot,
	stored *storedCoordination,
) *coordinationLoop {
	l := &coordinationLoop{
		started: time.Now(), inbox: newInbox(), leaving: make(chan struct{}),
		sender: sender, self: self, membership: membership,
	}
	l.member = epoch.New(epoch.Options{
		Self: self, Incarnation: newIncarnation(), Tolerance: settings.Tolerance,
		InitialGroup: initialAcceptors(self, settings), History: historyFactor * settings.Bounds.History,
	}, 0, stored.Stored)
	l.writer = newCoordinationWriter(stored.ring, l.onSynced)
	l.relay = relay.New(relay.Options{
		Self: self, Incarnation: newIncarnation(), Send: l.sendCall, Candidates: l.candidates,
	})
	// The first group is synced here, before any other process can receive a message from this member.
	out := l.member.Tick(0)
	l.writer.write([]epoch.Output{out})
	l.publish()
	return l
}

// initialAcceptors returns the first group of acceptors: the voters of the first view. It is nil unless this is the
// first start of a machine that is one of them.
func initialAcceptors(self message.Member, settings *bootstrap.Settings) *message.AcceptorGroup {
	if !settings.FirstStart {
		return nil
	}
	view := replica.InitialView(SeedAddresses(settings))
	isSeed := lo.ContainsBy(view.Voters, func(m message.Member) bool { return m.Identity == self.Identity })
	if !isSeed {
		return nil
	}
	return &message.AcceptorGroup{Number: 1, View: view.Number, Acceptors: view.Voters}
}

// canStop reports whether the member, after it was asked to leave, is not needed any more.
func (l *coordinationLoop) canStop() bool {
	status := l.status.Load()
	return status == nil || status.canStop
}

func (l *coordinationLoop) now() time.Duration { return time.Since(l.started) }

// isCoordination reports whether a message belongs to the coordination of applications.
func isCoordination(m *message.Message) bool {
	return m.CallRequest != nil || m.CallResponse != nil || m.StateWrite != nil || m.StateWriteResponse != nil ||
		m.EpochQuery != nil || m.EpochQueryResponse != nil || m.EpochPrepare != nil || m.EpochPrepareResponse != nil ||
		m.StateRequest != nil || m.StateResponse != nil || m.IssuerHandOver != nil
}

// deliver queues a message for the member, or passes a response to the call that waits for it. It is safe for
// concurrent use. If the inbox is full, the message is dropped, as on a congested network.
func (l *coordinationLoop) deliver(m *message.Message) {
	if m.CallResponse != nil {
		l.relay.HandleResponse(m)
		return
	}
	l.inbox.offer(m)
}

// sendCall sends a call of the relay to a coordinator, which may be this one.
func (l *coordinationLoop) sendCall(address string, m *message.Message) {
	if address == l.self.Address {
		l.deliver(m)
		return
	}
	l.sender.Send(address, m)
}

// candidates returns the coordinators that the relay may ask.
func (l *coordinationLoop) candidates() relay.Candidates {
	candidates := relay.Candidates{IsConnected: true}
	if s := l.membership(); s != nil {
		candidates.Voters = s.view.EffectiveVoters()
		candidates.IsConnected = !s.isMember || s.hasMajority
	}
	if status := l.status.Load(); status != nil {
		candidates.Issuer = status.Issuer
		candidates.IsConnected = candidates.IsConnected || status.HasIssuer
	}
	return candidates
}

// run steps the member until ctx ends.
func (l *coordinationLoop) run(ctx context.Context) {
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	leaving := l.leaving
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox.messages:
			l.inbox.taken(m)
			l.applyOutput(l.member.Step(l.now(), m))
		case <-leaving:
			l.member.SetLeaving()
			leaving = nil
		case <-ticker.C:
			if s := l.membership(); s != nil {
				l.member.SetVoters(s.view.Number, s.view.EffectiveVoters())
				l.member.SetDurable(s.isDurable)
			}
			l.applyOutput(l.member.Tick(l.now()))
		}
		if wanted := l.publish(); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
	}
}

// applyOutput carries out the output of a step, as replicaLoop.applyOutput does.
func (l *coordinationLoop) applyOutput(out epoch.Output) {
	if out.IsEmpty() {
		return
	}
	local := l.route(out.Immediate)
	hasRecords := out.Record != nil || out.State != nil || len(out.Writes) > 0
	switch {
	case hasRecords || len(out.AfterSync) > 0 && !l.writer.isIdle():
		l.writer.enqueue(out)
	default:
		local = append(local, l.route(out.AfterSync)...)
	}
	for _, m := range local {
		l.applyOutput(l.member.Step(l.now(), m))
	}
}

// route passes the member's messages to other processes to the sender, and its responses to this process to the
// relay. It returns the messages to the member itself, which the caller steps or queues.
func (l *coordinationLoop) route(messages []message.Message) (local []*message.Message) {
	for i := range messages {
		m := &messages[i]
		switch {
		case m.ToAddress != l.self.Address || m.To != l.self.Identity:
			l.sender.Send(m.ToAddress, m)
		case m.CallResponse != nil:
			l.relay.HandleResponse(m)
		default:
			local = append(local, m)
		}
	}
	return local
}

// onSynced sends the messages whose records are synced. The writer calls it from its goroutine. If the inbox is full
// it waits: a lost message of the member to itself would delay a round until it is repeated. The loop never waits for
// the writer, so there is no deadlock.
func (l *coordinationLoop) onSynced(messages []message.Message) {
	for _, m := range l.route(messages) {
		l.inbox.put(m)
	}
}

// publish publishes the status of the member to the rest of the process, and returns the tick interval.
func (l *coordinationLoop) publish() time.Duration {
	status := &coordinationStatus{Status: l.member.Status(), canStop: l.member.CanStop()}
	previous := l.status.Swap(status)
	if previous == nil || previous.Issuer.Identity != status.Issuer.Identity {
		l.relay.Refresh()
	}
	l.log(status)
	if status.IsIdle {
		return idleTickInterval
	}
	return tickInterval
}

func (l *coordinationLoop) log(status *coordinationStatus) {
	if status.IsIssuer && status.Promised != l.loggedEpoch {
		l.loggedEpoch = status.Promised
		logrus.WithFields(logrus.Fields{
			logkey.Epoch: status.Promised.Counter, logkey.Group: status.Group.Number,
		}).Info("became the issuer of coordination")
	}
	if status.Group.Number != l.loggedGroup {
		l.loggedGroup = status.Group.Number
		addresses := lo.Map(status.Group.Acceptors, func(m message.Member, _ int) string { return m.Address })
		logrus.WithFields(logrus.Fields{
			logkey.Group: status.Group.Number, logkey.View: status.Group.View, logkey.Members: addresses,
		}).Info("acceptor group entered")
	}
}
