package model

import "pumiceline/internal/standalone/policy"

// RecordKind says what passed.
type RecordKind uint8

// What passes in a world. In brackets are the fields of Record that count besides At.
const (
	SimulationStarted RecordKind = iota + 1 // the play begins [Capacity=requests a second of the warm fleet]
	RequestStarted                          // a client's first try begins [Call Class Tenant Work Worth Aim Span=deadline]
	RequestEnded                            // the client has its last answer, or has given up [Call Flag=served Span=taken]
	RequestReceived                         // a proxy has a try [Proxy ID Call Class Span=patience]
	AttemptSent                             // a proxy sends an attempt [Proxy ID Attempt Server Work Flag=crosses zones]
	ConnectionOpened                        // a connection is made for it [Proxy Server]
	AttemptEnded                            // a proxy learns how an attempt ended [Proxy ID Attempt Server Outcome]
	RequestAnswered                         // a proxy's final answer [Proxy ID Outcome: OK, Full=refused, Failed]
	ResponseOverdue                         // a try's time has run out with no answer [Proxy ID]
	AttemptExecuted                         // a server has carried out an attempt [Server ID Attempt Call Work Flag=its answer counted]
	ColdServerReached                       // an attempt has come to a cold server [Proxy Server Work Capacity]
	ServerStarted                           // a server process begins, cold [Server]
	ServerOverloaded                        // a server has fallen over [Server]
	DiscoveryUpdated                        // discovery knows of a change [Members Version]
	ProxyNotified                           // a proxy is told [Proxy Members Version Flag=whole list]
	DiscoveryCalled                         // a proxy asks discovery, or its watch goes on [Proxy]
	WatchLost                               // a proxy's watch broke or its call failed [Proxy Flag=call failed]
	ProxyStarted                            // a proxy starts with nothing [Proxy Members Version]
	ProxyStopped                            // a proxy is killed [Proxy]
	MessageDelivered                        // a message between proxies is delivered [Proxy=receiver Span=bytes]
	EffectRepeated                          // a keyed or unsafe call had its effect again [Server ID Call Span=since the first]
	ServerProbed                            // a proxy probes a server [Proxy Server]
	LoadSampled                             // once a second: the servers' use [Load]
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
	Request  uint64          `json:"Call"`
	Work     Time            `json:"Work"`
	Value    float64         `json:"Worth"`
	Span     Time            `json:"Span"`
	Capacity float64         `json:"Capacity"` // standard cores
	Version  int             `json:"Version"`
	Members  []policy.Member `json:"Members"`
	Load     []float64       `json:"Load"` // use of each server that runs, 0 to 1, in rising order
}

// Observer sees all that passes in a world.
type Observer interface{ Observe(r *Record) }

// Node decides for one proxy. decide.Balancer is one. The same promises hold: no clock, no goroutine, no I/O.
type Node interface {
	Handle(now Time, ev *policy.Event, out []policy.Action) []policy.Action
}

// PeerMessage is a message of a node to another. To is the receiver's ordinal; -1: all others.
type PeerMessage struct {
	To   int
	Text []byte // at most 256 bytes
}

// PeerMessenger is a node that exchanges messages with the other nodes. Post is asked for after each Handle and Receive
// for what is to go out; messages come late, out of order, or not at all.
type PeerMessenger interface {
	Node
	Receive(now Time, from int, text []byte, out []policy.Action) []policy.Action
	TakeMessages() []PeerMessage
}

// NodeFactory makes the node of one proxy. It is called anew at each start of the proxy, with another seed. truth lets a
// node see what no real one can.
type NodeFactory func(set policy.Settings, seed uint64, truth *Oracle) (Node, error)

var recordKindNames = [...]string{SimulationStarted: "opening", RequestStarted: "call", RequestEnded: "call over", RequestReceived: "taken", AttemptSent: "sent", ConnectionOpened: "connection",
	AttemptEnded: "outcome", RequestAnswered: "answered", ResponseOverdue: "overdue", AttemptExecuted: "ran", ColdServerReached: "reached cold", ServerStarted: "started", ServerOverloaded: "fell",
	DiscoveryUpdated: "listed", ProxyNotified: "told", DiscoveryCalled: "asked", WatchLost: "watch lost", ProxyStarted: "proxy up", ProxyStopped: "proxy down",
	MessageDelivered: "message", EffectRepeated: "twice", ServerProbed: "probe", LoadSampled: "sample"}

func (k RecordKind) String() string { return recordKindNames[k] }
