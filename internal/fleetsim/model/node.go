package model

import "pumiceline/internal/standalone/policy"

// Node is the policy of one proxy, such as a policy.Balancer. It must use no clock, no goroutine and no I/O. Handle
// appends its actions to out and returns the result.
type Node interface {
	Handle(now Time, ev *policy.Event, out []policy.Action) []policy.Action
}

// PeerMessage is a message from a node to one other node or to all others.
type PeerMessage struct {
	To   int    // ordinal of the recipient; -1: all others
	Text []byte // at most 256 bytes
}

// PeerMessenger is a node that exchanges messages with the other nodes. TakeMessages is called after each Handle and
// Receive and returns the messages to send. Messages may arrive late, out of order, or not at all.
type PeerMessenger interface {
	Node
	Receive(now Time, from int, text []byte, out []policy.Action) []policy.Action
	TakeMessages() []PeerMessage
}

// NodeFactory creates the node of one proxy. It is called at each start of the proxy, each time with another seed. The
// oracle gives access to the true state of the servers, which no real node has.
type NodeFactory func(settings policy.Settings, seed uint64, oracle *Oracle) (Node, error)
