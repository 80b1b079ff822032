package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

const tickInterval = 50 * time.Millisecond

// replicaLoop owns the replica. One goroutine (run) passes messages and ticks to it, and carries out its outputs in the
// order in which they were returned. The replica counts time from started.
type replicaLoop struct {
	replica *replica.Replica
	started time.Time
	inbox   *inbox
	leaving chan struct{} // closed when the process is asked to stop
	sender  *transport.Sender
	writer  *stateWriter
	hub     *distribution.Hub
	pending *pendingResults
	tasks   taskList
	self    message.Member
	// coordination is this machine's member in the coordination of applications. It uses the same connections to
	// other processes.
	coordination *coordinationLoop
	snapshot     atomic.Pointer[membershipSnapshot]

	publishedSequence uint64       // of the configuration that was last passed to the hub
	loggedView        message.View // the newest view that was logged
}

// membershipSnapshot is the state of the replica after its last step, for the rest of the process.
type membershipSnapshot struct {
	view         message.View
	isMember     bool
	canStop      bool                  // it was asked to stop, and is neither in the view nor about to be admitted
	leaseHolder  string                // internal address of the controller lease's holder; empty: not known
	leaseToken   message.FencingToken  // fencing token of the lease if this member holds it, else 0
	leaseStart   time.Time             // since when this member has held the lease without a gap; only with leaseToken
	leaseUntil   time.Time             // when the lease expires; only with leaseToken
	sequence     uint64                // of the newest acknowledged change
	version      configuration.Version // the operator's, after that change
	document     []byte                // the stored configuration, after that change; not modified
	hasMajority  bool
	isDurable    bool      // accepted state survives a loss of all power and of the tolerated number of disks
	servingUntil time.Time // until when it may serve its configuration to proxies
	waitingFor   string    // what the member waits for before it can take part, for operators; empty: nothing
}

func (l *replicaLoop) now() time.Duration { return time.Since(l.started) }

// handleMessage takes a message from another process. Any goroutine may call it.
func (l *replicaLoop) handleMessage(m *message.Message, reply func(*message.Message)) {
	switch {
	case m.PollRequest != nil:
		l.hub.HandlePoll(string(m.From), *m.PollRequest, reply)
	case m.LoadReport != nil:
		l.hub.HandleLoadReport(string(m.From), m.LoadReport, reply)
	case isCoordination(m):
		l.coordination.deliver(m)
	default:
		l.deliver(m)
	}
}

// deliver queues a message for the replica, or passes a configuration response to the request that waits for it. It
// is safe for concurrent use. If the inbox is full, the message is dropped, as on a congested network.
func (l *replicaLoop) deliver(m *message.Message) {
	if m.ConfigResponse != nil {
		if m.To == l.self.Identity { // otherwise it is for an earlier process at this address
			l.pending.resolve(m.ConfigResponse)
		}
		return
	}
	l.inbox.offer(m)
}

// run steps the replica until ctx ends.
func (l *replicaLoop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.applyOutput(l.replica.Tick(l.now()))
	leaving := l.leaving
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox.messages:
			l.inbox.taken(m)
			l.applyOutput(l.replica.Step(l.now(), m))
		case <-leaving:
			l.replica.SetLeaving()
			leaving = nil
		case <-ticker.C:
			l.replica.SetDiskStalled(l.writer.isStalled())
			l.applyOutput(l.replica.Tick(l.now()))
		}
		l.publish()
	}
}

// applyOutput carries out the output of a step. Messages from the replica to itself are stepped at once. The output
// goes through the writer if it has records to sync, or if it has AfterSync messages while earlier records are not
// synced yet: the messages may rely on these records, which a crash could still lose.
func (l *replicaLoop) applyOutput(out replica.Output) {
	local := l.route(out.Immediate)
	hasRecords := out.Control != nil || out.Chain != nil
	switch {
	case hasRecords || len(out.AfterSync) > 0 && !l.writer.isIdle():
		l.writer.enqueue(out)
	default:
		local = append(local, l.route(out.AfterSync)...)
	}
	for _, m := range local {
		l.applyOutput(l.replica.Step(l.now(), m))
	}
}

// route passes the replica's messages to other processes to the sender, and its configuration responses to this
// process to the requests that wait for them. It returns the messages to the replica itself, which the caller steps
// or queues.
func (l *replicaLoop) route(messages []message.Message) (local []*message.Message) {
	for i := range messages {
		m := &messages[i]
		switch {
		case m.ToAddress != l.self.Address || m.To != l.self.Identity:
			l.sender.Send(m.ToAddress, m)
		case m.ConfigResponse != nil:
			l.pending.resolve(m.ConfigResponse)
		default:
			local = append(local, m)
		}
	}
	return local
}

// onSynced sends the messages whose records are synced. The state writer calls it from its goroutine. If the inbox is
// full it waits, unlike deliver: a lost message of the replica to itself, such as the tail's own acknowledgement,
// would delay a change until the replica repeats it. The loop never waits for the writer, so there is no deadlock.
func (l *replicaLoop) onSynced(messages []message.Message) {
	for _, m := range l.route(messages) {
		l.inbox.put(m)
	}
}

// publish publishes the state of the replica to the rest of the process, by the snapshot and the hub.
func (l *replicaLoop) publish() {
	s := l.takeSnapshot()
	if committed := l.replica.CommittedState(); committed.Sequence > l.publishedSequence {
		l.publishedSequence = committed.Sequence
		l.hub.SetConfig(message.ConfigUpdate{Sequence: committed.Sequence, Document: committed.Document})
	}
	l.snapshot.Store(s)
	l.hub.SetStatus(distribution.Status{ServingUntil: s.servingUntil, Members: s.view.Members})
	l.logNewView(s)
}

func (l *replicaLoop) takeSnapshot() *membershipSnapshot {
	committed := l.replica.CommittedState()
	s := &membershipSnapshot{
		view:         l.replica.View(),
		isMember:     l.replica.IsMember(),
		canStop:      l.replica.CanStop(),
		sequence:     committed.Sequence,
		version:      configuration.Version(committed.Version),
		document:     committed.Document,
		hasMajority:  l.replica.HasMajority(),
		isDurable:    l.replica.IsDurable(),
		servingUntil: l.started.Add(l.replica.ServingUntil()),
		waitingFor:   l.replica.WaitingFor(),
	}
	if address, ok := l.replica.LeaseHolderAddress(); ok {
		s.leaseHolder = address
	}
	if lease, ok := l.replica.Lease(l.now()); ok {
		s.leaseToken, s.leaseStart, s.leaseUntil = lease.Token, l.started.Add(lease.HeldSince), l.started.Add(lease.ExpiresAt)
	}
	return s
}

// logNewView logs a view when it is entered, with the votes that moved since the view logged before.
func (l *replicaLoop) logNewView(s *membershipSnapshot) {
	if s.view.Number == l.loggedView.Number {
		return
	}
	before, after := describeMembers(l.loggedView.EffectiveVoters()), describeMembers(s.view.EffectiveVoters())
	lost, gained := lo.Difference(before, after)
	l.loggedView = s.view
	addresses := lo.Map(s.view.Members, func(m message.Member, _ int) string { return m.Address })
	logrus.WithFields(logrus.Fields{
		logkey.View: s.view.Number, logkey.Members: addresses, logkey.IsMember: s.isMember,
		logkey.Voters: after, logkey.VotesGained: gained, logkey.VotesLost: lost,
		logkey.ReplacedVoters: describeMembers(replacedMembers(s.view)),
	}).Info("view entered")
}

func replacedMembers(view message.View) []message.Member {
	return lo.Map(view.ReplacedVoters, func(r message.ReplacedVoter, _ int) message.Member { return r.Member })
}
