package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

const (
	tickInterval = 50 * time.Millisecond
	queueLength  = 1024
)

// standing is what the rest of the process may know of the replica.
type standing struct {
	view        message.View
	member      bool
	mayStop     bool   // it was asked to stop, and the others can do without it
	holder      string // internal address of the lease holder; empty: not known
	token       uint64 // of the lease where this member holds it
	leaseSince  time.Time
	leaseUntil  time.Time
	sequence    uint64 // of the newest acknowledged change
	version     uint64 // the operator's, of that change
	hasMajority bool
	servesUntil time.Time
	waitsFor    string
}

// owner runs the replica: one goroutine that takes messages and ticks from a queue.
type owner struct {
	replica  *replica.Replica
	started  time.Time
	queue    chan *message.Message
	leaving  chan struct{}
	sender   *transport.Sender
	writer   *writer
	hub      *distribution.Hub
	results  *resultBoard
	tasks    taskBoard
	self     message.Member
	standing atomic.Pointer[standing]
	served   uint64
	logged   uint64 // number of the view that was logged last
}

func (o *owner) now() time.Duration { return time.Since(o.started) }

// deliver takes a message that came in, or one of its own.
func (o *owner) deliver(m *message.Message) {
	if m.ConfigResponse != nil {
		if m.To == o.self.Identity { // else it is for whoever had this address before
			o.results.post(m.ConfigResponse)
		}
		return
	}
	select {
	case o.queue <- m:
	default: // lost, as on a busy network
	}
}

func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	o.act(o.replica.Tick(o.now()))
	leaving := o.leaving
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.queue:
			o.act(o.replica.Step(o.now(), m))
		case <-leaving:
			o.replica.SetLeaving()
			leaving = nil
		case <-ticker.C:
			o.replica.SetDiskStalled(o.writer.isStalled())
			o.act(o.replica.Tick(o.now()))
		}
		o.publish()
	}
}

// act carries an output out.
func (o *owner) act(out replica.Output) {
	local := o.send(out.Immediate)
	if out.Control != nil || out.Chain != nil || len(out.AfterSync) > 0 {
		o.writer.enqueue(out)
	}
	for _, m := range local {
		o.act(o.replica.Step(o.now(), m))
	}
}

// send lets messages out and returns those that are for this process.
func (o *owner) send(messages []message.Message) []*message.Message {
	var local []*message.Message
	for i := range messages {
		m := &messages[i]
		switch {
		case m.ToAddress != o.self.Address || m.To != o.self.Identity:
			o.sender.Send(m.ToAddress, m)
		case m.ConfigResponse != nil:
			o.results.post(m.ConfigResponse)
		default:
			local = append(local, m)
		}
	}
	return local
}

// released takes messages whose records are synced; the writer calls it.
func (o *owner) released(messages []message.Message) {
	for _, m := range o.send(messages) {
		o.queue <- m
	}
}

// publish tells the rest of the process how the replica stands.
func (o *owner) publish() {
	now := o.now()
	s := &standing{
		view: o.replica.View(), member: o.replica.IsMember(), mayStop: o.replica.MayStop(), hasMajority: o.replica.HasMajority(),
		servesUntil: o.started.Add(o.replica.ServesUntil()), waitsFor: o.replica.WaitsFor(),
	}
	if address, ok := o.replica.LeaseHolder(); ok {
		s.holder = address
	}
	if token, since, until, ok := o.replica.Lease(now); ok {
		s.token, s.leaseSince, s.leaseUntil = token, o.started.Add(since), o.started.Add(until)
	}
	served := o.replica.Served()
	s.sequence, s.version = served.Sequence, served.Version
	if served.Sequence > o.served {
		o.served = served.Sequence
		o.hub.SetConfig(message.ConfigUpdate{Sequence: served.Sequence, Document: served.Document})
	}
	o.standing.Store(s)
	addresses := lo.Map(s.view.Members, func(m message.Member, _ int) string { return m.Address })
	o.hub.SetStatus(distribution.Status{Until: s.servesUntil, Members: s.view.Members})
	if s.view.Number != o.logged {
		o.logged = s.view.Number
		logrus.WithFields(logrus.Fields{"view": s.view.Number, "members": addresses, "member": s.member}).Info("view entered")
	}
}
