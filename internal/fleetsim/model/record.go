package model

import "pumiceline/internal/standalone/policy"

// RecordKind says what passed.
type RecordKind uint8

// What passes in a world. In brackets are the fields of Record that count besides At.
const (
	Opening   RecordKind = iota + 1 // the play begins [Capacity=requests a second of the warm fleet]
	CallMade                        // a client's first try begins [Call Class Tenant Work Worth Aim Span=deadline]
	CallOver                        // the client has its last answer, or has given up [Call Flag=served Span=taken]
	Taken                           // a proxy has a try [Proxy ID Call Class Span=patience]
	Sent                            // a proxy sends an attempt [Proxy ID Attempt Server Work Flag=crosses zones]
	Opened                          // a connection is made for it [Proxy Server]
	Proven                          // a proxy learns how an attempt ended [Proxy ID Attempt Server Outcome]
	Answered                        // a proxy's final answer [Proxy ID Outcome: OK, Full=refused, Failed]
	Overdue                         // a try's time has run out with no answer [Proxy ID]
	Ran                             // a server has carried out an attempt [Server ID Attempt Call Work Flag=its answer counted]
	Reached                         // an attempt has come to a cold server [Proxy Server Work Capacity]
	Started                         // a server process begins, cold [Server]
	Fell                            // a server has fallen over [Server]
	Listed                          // discovery knows of a change [Members Version]
	Informed                        // a proxy is told [Proxy Members Version Flag=whole list]
	Asked                           // a proxy asks discovery, or its watch goes on [Proxy]
	Unwatched                       // a proxy's watch broke or its call failed [Proxy Flag=call failed]
	ProxyUp                         // a proxy starts with nothing [Proxy Members Version]
	ProxyDown                       // a proxy is killed [Proxy]
	PeerSent                        // a message between proxies is delivered [Proxy=receiver Span=bytes]
	Twice                           // a keyed or unsafe call had its effect again [Server ID Call Span=since the first]
	Probed                          // a proxy probes a server [Proxy Server]
	Sample                          // once a second: the servers' use [Load]
)

// Record is one thing that passed. It and what it refers to are valid only during the call of See.
type Record struct {
	At       Time            `json:"At"`
	Kind     RecordKind      `json:"Kind"`
	Outcome  policy.Outcome  `json:"Outcome"`
	Flag     bool            `json:"Flag"`
	Attempt  uint8           `json:"Attempt"`
	Class    uint8           `json:"Class"`
	Tenant   uint16          `json:"Tenant"`
	Proxy    int32           `json:"Proxy"`
	Server   uint32          `json:"Server"` // as deciders know it
	Zone     uint8           `json:"Zone"`
	Cell     uint16          `json:"Cell"`
	ID       uint64          `json:"ID"`
	Call     uint64          `json:"Call"`
	Work     Time            `json:"Work"`
	Worth    float64         `json:"Worth"`
	Span     Time            `json:"Span"`
	Capacity float64         `json:"Capacity"` // standard cores
	Version  int             `json:"Version"`
	Members  []policy.Member `json:"Members"`
	Load     []float64       `json:"Load"` // use of each server that runs, 0 to 1, in rising order
}

// Watcher sees all that passes in a world.
type Watcher interface{ See(r *Record) }

// Node decides for one proxy. decide.Balancer is one. The same promises hold: no clock, no goroutine, no I/O.
type Node interface {
	Handle(now Time, ev *policy.Event, out []policy.Action) []policy.Action
}

// Letter is a message of a node to another. To is the receiver's ordinal; -1: all others.
type Letter struct {
	To   int
	Text []byte // at most 256 bytes
}

// Talker is a node that exchanges messages with the other nodes. Post is asked for after each Handle and Receive
// for what is to go out; messages come late, out of order, or not at all.
type Talker interface {
	Node
	Receive(now Time, from int, text []byte, out []policy.Action) []policy.Action
	Post() []Letter
}

// Maker makes the node of one proxy. It is called anew at each start of the proxy, with another seed. truth lets a
// node see what no real one can.
type Maker func(set policy.Settings, seed uint64, truth *Truth) (Node, error)

var kindNames = [...]string{Opening: "opening", CallMade: "call", CallOver: "call over", Taken: "taken", Sent: "sent", Opened: "connection",
	Proven: "outcome", Answered: "answered", Overdue: "overdue", Ran: "ran", Reached: "reached cold", Started: "started", Fell: "fell",
	Listed: "listed", Informed: "told", Asked: "asked", Unwatched: "watch lost", ProxyUp: "proxy up", ProxyDown: "proxy down",
	PeerSent: "message", Twice: "twice", Probed: "probe", Sample: "sample"}

func (k RecordKind) String() string { return kindNames[k] }
