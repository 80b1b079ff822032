package model

import "pumiceline/internal/standalone/policy"

// RecordKind says what happened.
type RecordKind uint8

// What happens in a simulation. In brackets are the fields of Record that count besides At.
const (
	SimulationStarted RecordKind = iota + 1 // [Capacity=requests a second of the warm fleet]
	RequestStarted                          // a client starts a request [Request Class Tenant Work Value Duration=deadline]
	RequestEnded                            // the client has its response or gave up [Request Flag=served Duration=elapsed]
	RequestReceived                         // a proxy receives a request [Proxy ID Request Class Duration=client timeout]
	AttemptSent                             // a proxy sends an attempt [Proxy ID Attempt Server Work Flag=crosses zones]
	ConnectionOpened                        // a connection is made for it [Proxy Server]
	AttemptEnded                            // an attempt ends at its proxy [Proxy ID Attempt Server Outcome Duration=elapsed]
	ResponseSent                            // a proxy's final response [Proxy ID Outcome Duration=Retry-After]
	ResponseOverdue                         // a request has had no response within the grace [Proxy ID]
	AttemptExecuted                         // a server has executed it [Server ID Attempt Request Work Flag=response is used]
	ColdServerReached                       // an attempt arrives at a cold server [Proxy Server Work Capacity=standard cores]
	ServerStarted                           // a server process starts, cold [Server]
	ServerOverloaded                        // a cold server has crashed from overload [Server]
	DiscoveryUpdated                        // discovery knows of a change [Members Version]
	ProxyNotified                           // a proxy gets changes or the list [Proxy Members Version Flag=full list]
	DiscoveryCalled                         // a proxy calls discovery, or its call succeeded [Proxy Flag=succeeded]
	WatchLost                               // a proxy's watch broke or its call failed [Proxy Flag=call failed]
	ProxyStarted                            // a proxy starts with a cached list [Proxy Members Version]
	ProxyStopped                            // a proxy's process ends [Proxy]
	MessageDelivered                        // a message between proxies is delivered [Proxy=recipient Duration=bytes]
	EffectRepeated                          // a request had its effect again [Server ID Request Duration=since the first]
	ServerPolled                            // a proxy polls a server's load [Proxy Server]
	LoadSampled                             // once a second: the servers' load [Load]
)

// Record is one thing that happened. It and what it refers to are valid only during the call of Observe.
type Record struct {
	At       Time            `json:"At"`
	Kind     RecordKind      `json:"Kind"`
	Outcome  policy.Outcome  `json:"Outcome"`
	Flag     bool            `json:"Flag"`
	Attempt  uint8           `json:"Attempt"`
	Class    uint8           `json:"Class"`
	Tenant   uint16          `json:"Tenant"`
	Proxy    int32           `json:"Proxy"`
	Server   uint32          `json:"Server"` // its id, as policies know it
	Zone     uint8           `json:"Zone"`
	Cell     uint16          `json:"Cell"`
	ID       uint64          `json:"ID"`   // of the request at its proxy
	Request  uint64          `json:"Call"` // the client request's number, over all its attempts
	Work     Time            `json:"Work"` // in microseconds on a standard core
	Value    float64         `json:"Worth"`
	Duration Time            `json:"Span"` // a length of time; of MessageDelivered bytes
	Capacity float64         `json:"Capacity"`
	Version  int             `json:"Version"`
	Members  []policy.Member `json:"Members"`
	Load     []float64       `json:"Load"` // requests per core of each server in service, ascending
}

// Served says of RequestEnded whether the client got a response.
func (r *Record) Served() bool { return r.Flag }

// CrossesZones says of AttemptSent whether the server is in another zone.
func (r *Record) CrossesZones() bool { return r.Flag }

// ResponseUsed says of AttemptExecuted whether its response is what the client gets.
func (r *Record) ResponseUsed() bool { return r.Flag }

// IsFullList says of ProxyNotified whether Members are the full list, not changes.
func (r *Record) IsFullList() bool { return r.Flag }

// CallSucceeded says of DiscoveryCalled whether it is the success of a call, not its start.
func (r *Record) CallSucceeded() bool { return r.Flag }

// CallFailed says of WatchLost whether a call failed, not a watch.
func (r *Record) CallFailed() bool { return r.Flag }

// MessageBytes is the size of a delivered message.
func (r *Record) MessageBytes() int { return int(r.Duration) }

// recordKindNames are the names in traces, which users read: they stay as they are.
var recordKindNames = [...]string{
	SimulationStarted: "opening",
	RequestStarted:    "call",
	RequestEnded:      "call over",
	RequestReceived:   "taken",
	AttemptSent:       "sent",
	ConnectionOpened:  "connection",
	AttemptEnded:      "outcome",
	ResponseSent:      "answered",
	ResponseOverdue:   "overdue",
	AttemptExecuted:   "ran",
	ColdServerReached: "reached cold",
	ServerStarted:     "started",
	ServerOverloaded:  "fell",
	DiscoveryUpdated:  "listed",
	ProxyNotified:     "told",
	DiscoveryCalled:   "asked",
	WatchLost:         "watch lost",
	ProxyStarted:      "proxy up",
	ProxyStopped:      "proxy down",
	MessageDelivered:  "message",
	EffectRepeated:    "twice",
	ServerPolled:      "probe",
	LoadSampled:       "sample",
}

// String is the kind's name in traces.
func (k RecordKind) String() string { return recordKindNames[k] }

// Observer sees all records of a run, in the order of their time. It must not keep them.
type Observer interface{ Observe(r *Record) }
