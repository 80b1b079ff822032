package model

import "pumiceline/internal/standalone/policy"

// Node decides for one proxy; policy.Balancer is one. Like that, it uses no clock, no goroutine and no I/O. Handle appends
// its actions to out and returns that.
type Node interface {
	Handle(now Time, ev *policy.Event, out []policy.Action) []policy.Action
}

// PeerMessage is a message of a node to another one.
type PeerMessage struct {
	To   int    // ordinal of the recipient; -1: all others
	Text []byte // at most 256 bytes
}

// PeerMessenger is a node that exchanges messages with the other nodes. TakeMessages is called after each Handle and
// Receive for what is to be sent. Messages come late, out of order, or not at all.
type PeerMessenger interface {
	Node
	Receive(now Time, from int, text []byte, out []policy.Action) []policy.Action
	TakeMessages() []PeerMessage
}

// NodeFactory makes the node of one proxy. It is called at each start of the proxy, each time with another seed. The
// oracle lets a node see what no real one can.
type NodeFactory func(settings policy.Settings, seed uint64, oracle *Oracle) (Node, error)
