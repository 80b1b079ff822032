package model

import "pumiceline/internal/standalone/policy"

// RecordKind is the kind of event that a Record describes.
type RecordKind uint8

// The kinds of records. The brackets list the fields of Record that are used besides At.
const (
	SimulationStarted RecordKind = iota + 1 // [Capacity=requests a second of the warm fleet]
	RequestStarted                          // a request starts [Request Class Tenant Work Value Zone Duration=deadline]
	RequestEnded                            // a request ends [Request Class Tenant Flag=served Duration=elapsed]
	RequestReceived                         // a proxy receives a request [Proxy ID Request Class Duration=client timeout]
	AttemptSent                             // a proxy sends an attempt [Proxy ID Attempt Server Work Flag=crosses zones]
	ConnectionOpened                        // a server accepts a connection [Proxy Server]
	AttemptEnded                            // an attempt ends [Proxy ID Attempt Server Outcome Duration=elapsed]
	ResponseSent                            // a proxy's final response [Proxy ID Outcome Duration=Retry-After]
	ResponseOverdue                         // a request had no response within the grace [Proxy ID]
	AttemptExecuted                         // an attempt was executed [Server ID Attempt Request Work Flag=response used]
	ColdServerReached                       // an attempt reaches a cold server [Proxy Server Work Capacity=standard cores]
	ServerStarted                           // a server process starts, cold [Server]
	ServerOverloaded                        // a cold server crashes from overload [Server]
	DiscoveryUpdated                        // discovery learns of a change [Members Version]
	ProxyNotified                           // a proxy gets changes or the list [Proxy Members Version Flag=full list]
	DiscoveryCalled                         // a proxy calls discovery, or its call succeeded [Proxy Flag=succeeded]
	WatchLost                               // a proxy's watch broke or its call failed [Proxy Flag=call failed]
	ProxyStarted                            // a proxy starts with a cached list [Proxy Members Version]
	ProxyStopped                            // a proxy's process ends [Proxy]
	MessageDelivered                        // a message between proxies is delivered [Proxy=recipient Duration=bytes]
	EffectRepeated                          // an effect is repeated [Server ID Request Class Duration=since the first]
	ServerPolled                            // a proxy polls a server's load [Proxy Server]
	LoadSampled                             // once a second: the servers' load [Load]
)

// Record describes one event of a run. It and the slices that it refers to are valid only during the call of Observe.
type Record struct {
	At       Time            `json:"At"`
	Kind     RecordKind      `json:"Kind"`
	Outcome  policy.Outcome  `json:"Outcome"`
	Flag     bool            `json:"Flag"`
	Attempt  uint8           `json:"Attempt"`
	Class    uint8           `json:"Class"`
	Tenant   uint16          `json:"Tenant"`
	Proxy    int32           `json:"Proxy"`
	Server   uint32          `json:"Server"` // its id, as given to policies
	Zone     uint8           `json:"Zone"`
	Cell     uint16          `json:"Cell"`
	ID       uint64          `json:"ID"`   // of the request at its proxy
	Request  uint64          `json:"Call"` // the client request's number, over all its attempts
	Work     Time            `json:"Work"` // in microseconds on a standard core
	Value    float64         `json:"Worth"`
	Duration Time            `json:"Span"` // a duration; for MessageDelivered, a number of bytes
	Capacity float64         `json:"Capacity"`
	Version  int             `json:"Version"`
	Members  []policy.Member `json:"Members"`
	Load     []float64       `json:"Load"` // requests per core of each server in service, ascending
}

// Served reports, for RequestEnded, whether the client got a successful response.
func (r *Record) Served() bool { return r.Flag }

// CrossesZones reports, for AttemptSent, whether the server is in another zone than the proxy.
func (r *Record) CrossesZones() bool { return r.Flag }

// ResponseUsed reports, for AttemptExecuted, whether the attempt succeeded before its proxy abandoned it and before the
// client request ended.
func (r *Record) ResponseUsed() bool { return r.Flag }

// IsFullList reports, for ProxyNotified, whether Members is the full list rather than changes.
func (r *Record) IsFullList() bool { return r.Flag }

// CallSucceeded reports, for DiscoveryCalled, whether it records the success of a call rather than its start.
func (r *Record) CallSucceeded() bool { return r.Flag }

// CallFailed reports, for WatchLost, whether a call failed rather than a watch broke.
func (r *Record) CallFailed() bool { return r.Flag }

// MessageBytes returns the size of a delivered message.
func (r *Record) MessageBytes() int { return int(r.Duration) }

// recordKindNames are the names in traces. They must not change, because users read them.
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

// String returns the kind's name in traces.
func (k RecordKind) String() string { return recordKindNames[k] }

// Observer is called with all records of a run, in the order of their time. It must not retain them.
type Observer interface{ Observe(r *Record) }
