package simulation

import "pumiceline/internal/message"

// plantReplies makes up answers that a defective program would not have waited for.
func (n *node) plantReplies(m *message.Message) {
	view := n.replica.View()
	switch {
	case n.cluster.options.Defect == GrantTwice && m.LeaseGrant != nil:
		m.LeaseGrant.Granted = true
	case n.cluster.options.Defect == MinorityView && m.Promise != nil && !m.Promise.Refused:
		n.forge(view, func(from message.Member) message.Message {
			return message.Message{Promise: &message.Promise{Ballot: m.Promise.Ballot}}
		})
	case n.cluster.options.Defect == MinorityView && m.Accepted != nil && !m.Accepted.Refused:
		n.forge(view, func(from message.Member) message.Message {
			return message.Message{Accepted: &message.Accepted{Ballot: m.Accepted.Ballot}}
		})
	case n.confirmsAlone(view) && m.Confirm != nil && m.From == n.replica.Identity():
		n.forge(view, func(from message.Member) message.Message {
			return message.Message{Confirmed: &message.Confirmed{Round: m.Confirm.Round}}
		})
	case n.cluster.options.Defect == SkipMember && m.Replicate != nil && len(view.Members) > 1:
		// The head takes its successor's receipt for the whole chain's.
		n.acknowledgeEarly(m)
	}
}

// confirmsAlone reports whether the member does without a majority: a tail for reads, a head for refusals.
func (n *node) confirmsAlone(view message.View) bool {
	identity, last := n.replica.Identity(), len(view.Members)-1
	if last < 0 {
		return false
	}
	switch n.cluster.options.Defect {
	case ReadUnconfirmed:
		return view.Members[last].Identity == identity
	case RefuseUnconfirmed:
		return view.Members[0].Identity == identity && last > 0
	}
	return false
}

// forge delivers a message in the name of every other member.
func (n *node) forge(view message.View, make func(message.Member) message.Message) {
	for _, member := range view.Members {
		if member.Identity == n.replica.Identity() {
			continue
		}
		forged := make(member)
		forged.From, forged.FromAddress, forged.To, forged.View = member.Identity, member.Address, n.replica.Identity(), view.Number
		n.act(n.replica.Step(n.clock(), &forged))
	}
}

// acknowledgeEarly answers a replication before it was synced or passed on.
func (n *node) acknowledgeEarly(m *message.Message) {
	n.send(message.Message{
		From: n.replica.Identity(), FromAddress: n.address, To: m.From, ToAddress: m.FromAddress, View: m.View,
		Committed: &message.Committed{Sequence: m.Replicate.Sequence, Digest: m.Replicate.Digest},
	})
}
