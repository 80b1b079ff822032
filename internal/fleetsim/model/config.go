package model

import (
	"slices"

	"pumiceline/internal/duration"
	"pumiceline/internal/standalone/policy"
)

// Time is a moment or a span in microseconds, as in package decide.
type Time = policy.Time

// Span is a length of time that is written with its unit in files.
type Span = duration.Span

// Scenario describes what is played: fleet, clients, network, discovery and troubles. Quotes returns a whole one. True
// speeds and the like are drawn from the run's seed, within Spread of what stands here; deciders are told only what
// Told says.
type Scenario struct {
	Duration Span `toml:"length" json:"length"`   // clients begin new requests for this long
	Tick     Span `toml:"tick" json:"tick"`       // proxies handle what has come in once a tick; 0: at once
	Servers  int  `toml:"servers" json:"servers"` // in service at the start
	Proxies  int  `toml:"proxies" json:"proxies"`
	Zones    int  `toml:"zones" json:"zones"`
	CellSize int  `toml:"cell" json:"cell"` // servers of one cell, within a zone

	Load          float64 `toml:"load" json:"load"`         // work asked for, as a share of what the warm fleet can do
	WaveAmplitude float64 `toml:"swing" json:"swing"`       // of the load, up and down in a wave
	WavePeriod    Span    `toml:"wave" json:"wave"`         // the wave's length; 0: steady
	BurstFactor   float64 `toml:"burst" json:"burst"`       // how many times the load a burst brings; 0: none
	BurstTime     Span    `toml:"burst_on" json:"burst_on"` // mean length of a burst; they take a tenth of the time
	ZoneSkew      float64 `toml:"skew" json:"skew"`         // how unlike the zones' traffic is: 0 alike, 1 very
	Spread        float64 `toml:"spread" json:"spread"`     // how far drawn figures lie from those written
	WorkHintCV    float64 `toml:"hint" json:"hint"`         // coefficient of variation of the clients' guess at work; <0: no guess

	Keys          Keys              `toml:"keys" json:"keys"`
	InstanceTypes []InstanceType    `toml:"kinds" json:"kinds"`
	Classes       []Class           `toml:"classes" json:"classes"`
	Tenants       []Tenant          `toml:"tenants" json:"tenants"`
	Clients       Clients           `toml:"clients" json:"clients"`
	Network       Network           `toml:"net" json:"net"`
	Connections   Connections       `toml:"conn" json:"conn"`
	Reports       Reports           `toml:"reports" json:"reports"`
	Discovery     Discovery         `toml:"discovery" json:"discovery"`
	Overload      Overload          `toml:"tip" json:"tip"`
	Published     PublishedSettings `toml:"told" json:"told"`
	Prices        Prices            `toml:"prices" json:"prices"`
	Faults        []Fault           `toml:"trouble" json:"trouble"`
	RandomFaults  int               `toml:"draw" json:"draw"` // as many troubles more are drawn from the seed
}

// InstanceType is a kind of server.
type InstanceType struct {
	Name            string  `toml:"name" json:"name"`
	Share           float64 `toml:"share" json:"share"` // of the fleet
	Cores           int     `toml:"cores" json:"cores"`
	Speed           float64 `toml:"speed" json:"speed"`               // of a core, in standard cores
	Slots           int     `toml:"slots" json:"slots"`               // requests in work at once
	QueueCapacity   int     `toml:"room" json:"room"`                 // waiting room; beyond it requests are turned away unseen
	Knee            int     `toml:"knee" json:"knee"`                 // requests held from which it loses efficiency
	Crowding        float64 `toml:"crowding" json:"crowding"`         // loss for each request beyond the knee
	InitialCapacity float64 `toml:"cold_from" json:"cold_from"`       // share of its capacity right after a start
	WarmupTime      Span    `toml:"cold_for" json:"cold_for"`         // till it is warm
	WarmByWork      bool    `toml:"warm_by_work" json:"warm_by_work"` // it warms with the work done, at the latest by Told.Cold
	PauseInterval   Span    `toml:"pause_every" json:"pause_every"`
	PauseTime       Span    `toml:"pause" json:"pause"`
	ErrorRate       float64 `toml:"errors" json:"errors"` // share of requests answered with an error
}

// Class is a class of requests.
type Class struct {
	Name           string  `toml:"name" json:"name"`
	Share          float64 `toml:"share" json:"share"`
	Work           Span    `toml:"work" json:"work"`   // mean, on a standard core
	WorkCV         float64 `toml:"cv" json:"cv"`       // coefficient of variation of the work (lognormal)
	AttemptCV      float64 `toml:"noise" json:"noise"` // that of one attempt's work about its request's
	DownstreamWait Span    `toml:"wait" json:"wait"`   // mean time that it then waits on others, taking no core and no slot
	LatencyTarget  Span    `toml:"aim" json:"aim"`
	Deadline       Span    `toml:"deadline" json:"deadline"`
	Value          float64 `toml:"worth" json:"worth"`   // for each unit of work
	LateValueShare float64 `toml:"late" json:"late"`     // share of the worth for an answer past the aim
	Semantics      string  `toml:"effect" json:"effect"` // safe, keyed or unsafe
	DedupScope     string  `toml:"group" json:"group"`   // for keyed: all, zone or cell drop a repeat
	DedupWindow    Span    `toml:"window" json:"window"` // for keyed: for this long
}

// Keys are what requests are about. Where Count is not 0, a server that met a request's key of late does less of its work.
type Keys struct {
	Count           int     `toml:"count" json:"count"`
	ZipfExponent    float64 `toml:"zipf" json:"zipf"`         // the n-th key is asked for in proportion to 1/n^zipf
	HitSavings      float64 `toml:"gain" json:"gain"`         // share of the work that is saved
	TTL             Span    `toml:"for" json:"for"`           // how long a server remembers a key
	CapacityPerCore int     `toml:"per_core" json:"per_core"` // keys that it remembers; the one met longest ago goes first
}

// Tenant is a customer of the service.
type Tenant struct {
	Name       string  `toml:"name" json:"name"`
	QuotaShare float64 `toml:"share" json:"share"` // of the service: what it may use
	QuotaUsage float64 `toml:"usage" json:"usage"` // its traffic, in its share of the load
}

// Clients are the habits of clients and of the front layer that deals their connections to proxies.
type Clients struct {
	Retries              int     `toml:"retries" json:"retries"`
	AttemptTimeoutShare  float64 `toml:"patience" json:"patience"` // share of the class's deadline that one try may take
	Backoff              Span    `toml:"backoff" json:"backoff"`   // before a further try; 0: at once
	MarkRetries          bool    `toml:"marks" json:"marks"`       // they say of a repeat that it is one
	RetryAfterCompliance float64 `toml:"heed" json:"heed"`         // share that waits as long as Retry-After says
	MaxRetryAfter        Span    `toml:"most_heeded" json:"most_heeded"`
	ImpatientShare       float64 `toml:"hasty" json:"hasty"`           // share that leaves at the aim and asks again
	UnsafeRetryShare     float64 `toml:"reckless" json:"reckless"`     // share that repeats keyed requests after any failure
	ProxyFailoverDelay   Span    `toml:"notice" json:"notice"`         // till the front layer notices that a proxy has died
	OverQuotaValue       float64 `toml:"over_share" json:"over_share"` // worth of what goes past a tenant's share
}

// Network is the network.
type Network struct {
	SameZone  Span    `toml:"same" json:"same"` // one way, within a zone
	CrossZone Span    `toml:"cross" json:"cross"`
	Client    Span    `toml:"client" json:"client"`
	Jitter    float64 `toml:"jitter" json:"jitter"` // mean of what is added, as a share of the delay
	PeerDelay Span    `toml:"peer" json:"peer"`     // most that a message between proxies takes on top
	PeerLoss  float64 `toml:"loss" json:"loss"`     // of messages between proxies
}

// Connections is how proxies' connections to servers behave; one carries one request at a time.
type Connections struct {
	HandshakeRoundTrips float64 `toml:"trips" json:"trips"` // round trips of a handshake
	HandshakeWork       Span    `toml:"work" json:"work"`   // that it costs the server
	IdleTimeout         Span    `toml:"idle" json:"idle"`   // after which it is closed
	DialTimeout         Span    `toml:"dial_within" json:"dial_within"`
	MaxPerCore          int     `toml:"cap_per_core" json:"cap_per_core"`
	CapacityTax         float64 `toml:"tax" json:"tax"` // share of the capacity that a full table takes
}

// Reports are the load reports.
type Reports struct {
	Delivery string  `toml:"via" json:"via"` // answers (or nothing): inside answers; probe: to those who ask; none: there are none
	Interval Span    `toml:"every" json:"every"`
	Delay    Span    `toml:"delay" json:"delay"`
	Noise    float64 `toml:"noise" json:"noise"`
}

// Discovery is the service that lists the servers.
type Discovery struct {
	DrainDelay     Span    `toml:"notice" json:"notice"`     // till it knows of a drain or an orderly end
	CrashDelay     Span    `toml:"silent" json:"silent"`     // till it knows of a crash
	StartDelay     Span    `toml:"add" json:"add"`           // till it knows of a start
	NotifyJitter   Span    `toml:"spread" json:"spread"`     // most that telling one proxy takes on top
	CallsPerSecond float64 `toml:"calls" json:"calls"`       // calls a second that it answers, in turn
	CallTimeout    Span    `toml:"within" json:"within"`     // a call that would wait longer fails
	WatchLifetime  Span    `toml:"break_in" json:"break_in"` // mean life of a watch; 0: for ever
}

// Overload is when a cold server falls over: sent more than Multiple times its present capacity for Over.
type Overload struct {
	Factor        float64 `toml:"multiple" json:"multiple"` // 0: servers do not fall over
	Window        Span    `toml:"over" json:"over"`
	SlackRequests float64 `toml:"slack" json:"slack"` // mean requests on top, for chance
	Downtime      Span    `toml:"down" json:"down"`   // 0: for good
}

// PublishedSettings is what deciders are told of the deployment, and the figures of the rules.
type PublishedSettings struct {
	ResponseGrace   Span    `toml:"answer_slack" json:"answer_slack"`
	SubscribeWithin Span    `toml:"ask_within" json:"ask_within"`
	DrainGrace      Span    `toml:"drain_grace" json:"drain_grace"`
	WarmupTime      Span    `toml:"cold" json:"cold"`
	InitialCapacity float64 `toml:"cold_share" json:"cold_share"`
	OverloadFactor  float64 `toml:"tip_multiple" json:"tip_multiple"`
	MaxAttempts     int     `toml:"attempts" json:"attempts"`
	MaxOpenRequests int     `toml:"most_held" json:"most_held"`
	AllowHedging    bool    `toml:"copies" json:"copies"`
	AllowCancel     bool    `toml:"cancel" json:"cancel"`
}

// Prices are taken off the service, as PROTOCOL's pages count them: points of worth in 1, for as much as stated.
type Prices struct {
	LateFailure float64 `toml:"late_fail" json:"late_fail"` // all failing only after the aim
	WastedWork  float64 `toml:"waste" json:"waste"`         // work for nothing, as much as was asked for
	CrossZone   float64 `toml:"cross" json:"cross"`         // each request crossing zones once
	Handshake   float64 `toml:"handshake" json:"handshake"` // a connection for each request
	Probe       float64 `toml:"probe" json:"probe"`         // a probe for each request; the work that it costs a server is left out
	PeerMessage float64 `toml:"peer" json:"peer"`           // a message of 256 bytes for each request
}

// Clone copies w with its lists, so that a change of one leaves the other.
func (w *Scenario) Clone() Scenario {
	c := *w
	c.InstanceTypes, c.Classes = slices.Clone(w.InstanceTypes), slices.Clone(w.Classes)
	c.Tenants, c.Faults = slices.Clone(w.Tenants), slices.Clone(w.Faults)
	return c
}
