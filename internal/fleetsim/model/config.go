// Package model simulates a fleet: clients, proxies that run a load-balancing policy, servers, the network between them
// and the discovery service. It is a single-threaded discrete-event simulation. A run depends only on the scenario, the
// seed and the policy: the same three give the same records, to the microsecond.
package model

import (
	"slices"

	"pumiceline/internal/duration"
	"pumiceline/internal/standalone/policy"
)

// Time is a point in time or a duration, in microseconds, as in package policy.
type Time = policy.Time

// Span is a duration that files write with its unit.
type Span = duration.Span

// Scenario describes what is simulated: fleet, clients, network, discovery and faults. DefaultScenario returns a
// complete one. The actual values of servers, such as their speed, are drawn from the run's seed, within Spread of the
// values here. Policies are given Published instead of the actual values.
type Scenario struct {
	Duration Span `toml:"length" json:"length"`   // clients start new requests for this long
	Tick     Span `toml:"tick" json:"tick"`       // proxies handle arrived events once a tick; 0: at once
	Servers  int  `toml:"servers" json:"servers"` // in service at the start
	Proxies  int  `toml:"proxies" json:"proxies"`
	Zones    int  `toml:"zones" json:"zones"`
	CellSize int  `toml:"cell" json:"cell"` // servers of one cell, within a zone

	Load          float64 `toml:"load" json:"load"`         // requested work, as a share of the capacity of the warm fleet
	WaveAmplitude float64 `toml:"swing" json:"swing"`       // amplitude of the load's sine wave, as a share of the load
	WavePeriod    Span    `toml:"wave" json:"wave"`         // 0: steady load
	BurstFactor   float64 `toml:"burst" json:"burst"`       // load during a burst, as a multiple of Load; 0: no bursts
	BurstTime     Span    `toml:"burst_on" json:"burst_on"` // mean length of a burst; bursts take a tenth of the time
	ZoneSkew      float64 `toml:"skew" json:"skew"`         // 0: equal zones; 1: very unequal traffic and server counts
	Spread        float64 `toml:"spread" json:"spread"`     // largest relative deviation of drawn values
	WorkHintCV    float64 `toml:"hint" json:"hint"`         // CV of the clients' estimate of the work; <0: no estimate

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
	RandomFaults  int               `toml:"draw" json:"draw"` // number of further faults, drawn from the seed
}

// InstanceType is a type of server.
type InstanceType struct {
	Name            string  `toml:"name" json:"name"`
	Share           float64 `toml:"share" json:"share"` // of the fleet
	Cores           int     `toml:"cores" json:"cores"`
	Speed           float64 `toml:"speed" json:"speed"`               // of a core, in standard cores
	Slots           int     `toml:"slots" json:"slots"`               // requests executed at once
	QueueCapacity   int     `toml:"room" json:"room"`                 // queued requests; further ones are rejected
	Knee            int     `toml:"knee" json:"knee"`                 // open requests from which efficiency drops
	Crowding        float64 `toml:"crowding" json:"crowding"`         // loss of efficiency per request beyond the knee
	InitialCapacity float64 `toml:"cold_from" json:"cold_from"`       // share of its capacity right after a start
	WarmupTime      Span    `toml:"cold_for" json:"cold_for"`         // from its start to full capacity
	WarmByWork      bool    `toml:"warm_by_work" json:"warm_by_work"` // by completed work; at most Published.WarmupTime
	PauseInterval   Span    `toml:"pause_every" json:"pause_every"`   // mean time between garbage collection pauses
	PauseTime       Span    `toml:"pause" json:"pause"`               // mean length of a pause of an idle server
	ErrorRate       float64 `toml:"errors" json:"errors"`             // share of requests answered with an error
}

// Class is a class of requests.
type Class struct {
	Name           string  `toml:"name" json:"name"`
	Share          float64 `toml:"share" json:"share"` // of the requests
	Work           Span    `toml:"work" json:"work"`   // mean, on a standard core
	WorkCV         float64 `toml:"cv" json:"cv"`       // coefficient of variation of the work (lognormal)
	AttemptCV      float64 `toml:"noise" json:"noise"` // CV of an attempt's work around its request's
	DownstreamWait Span    `toml:"wait" json:"wait"`   // mean wait for other services, after the work
	LatencyTarget  Span    `toml:"aim" json:"aim"`     // a response within it earns its full value
	Deadline       Span    `toml:"deadline" json:"deadline"`
	Value          float64 `toml:"worth" json:"worth"`   // for each unit of work
	LateValueShare float64 `toml:"late" json:"late"`     // share of the value that a response past the target earns
	Semantics      string  `toml:"effect" json:"effect"` // safe (idempotent), keyed (deduplicated) or unsafe
	DedupScope     string  `toml:"group" json:"group"`   // for keyed: all, zone or cell; servers within it deduplicate
	DedupWindow    Span    `toml:"window" json:"window"` // for keyed: how long they deduplicate
}

// Keys are the cache keys of requests. If Count is not 0, a request costs less work on a server that recently received
// one with the same key.
type Keys struct {
	Count           int     `toml:"count" json:"count"`
	ZipfExponent    float64 `toml:"zipf" json:"zipf"`         // the n-th key is requested in proportion to 1/n^zipf
	HitSavings      float64 `toml:"gain" json:"gain"`         // share of the work that a cache hit saves
	TTL             Span    `toml:"for" json:"for"`           // how long a server keeps a key
	CapacityPerCore int     `toml:"per_core" json:"per_core"` // keys kept; the least recently used one is evicted first
}

// Tenant is a customer of the service.
type Tenant struct {
	Name       string  `toml:"name" json:"name"`
	QuotaShare float64 `toml:"share" json:"share"` // its quota, as a share of the sold capacity
	QuotaUsage float64 `toml:"usage" json:"usage"` // its traffic, as a share of its quota
}

// Clients is the behaviour of clients and of the front layer that distributes their requests to proxies.
type Clients struct {
	Retries              int     `toml:"retries" json:"retries"`
	AttemptTimeoutShare  float64 `toml:"patience" json:"patience"`       // attempt time-out, as a share of the deadline
	Backoff              Span    `toml:"backoff" json:"backoff"`         // delay before a retry; 0: none
	MarkRetries          bool    `toml:"marks" json:"marks"`             // retries are marked as such
	RetryAfterCompliance float64 `toml:"heed" json:"heed"`               // share of clients that follow Retry-After
	MaxRetryAfter        Span    `toml:"most_heeded" json:"most_heeded"` // they cap Retry-After at it
	ImpatientShare       float64 `toml:"hasty" json:"hasty"`             // share that time out at the latency target
	UnsafeRetryShare     float64 `toml:"reckless" json:"reckless"`       // share that retry any failure; see mayRetry
	ProxyFailoverDelay   Span    `toml:"notice" json:"notice"`           // until the front layer detects a crashed proxy
	OverQuotaValue       float64 `toml:"over_share" json:"over_share"`   // share of value earned past the tenant's quota
}

// Network is the delays and losses of the network.
type Network struct {
	SameZone  Span    `toml:"same" json:"same"`     // one way, within a zone
	CrossZone Span    `toml:"cross" json:"cross"`   // one way, between zones
	Client    Span    `toml:"client" json:"client"` // one way, between a client and a proxy
	Jitter    float64 `toml:"jitter" json:"jitter"` // mean of the exponential part that is added, as a share of the delay
	PeerDelay Span    `toml:"peer" json:"peer"`     // largest extra delay of a message between proxies
	PeerLoss  float64 `toml:"loss" json:"loss"`     // share of messages between proxies that are lost
}

// Connections describes the proxies' connections to servers. A connection carries one request at a time.
type Connections struct {
	HandshakeRoundTrips float64 `toml:"trips" json:"trips"`
	HandshakeWork       Span    `toml:"work" json:"work"`                 // work of a handshake at the server
	IdleTimeout         Span    `toml:"idle" json:"idle"`                 // after which an idle connection is closed
	DialTimeout         Span    `toml:"dial_within" json:"dial_within"`   // after which an unanswered handshake has failed
	MaxPerCore          int     `toml:"cap_per_core" json:"cap_per_core"` // connections that a server accepts
	CapacityTax         float64 `toml:"tax" json:"tax"`                   // share of capacity that a full table costs
}

// Reports describes how servers report their load.
type Reports struct {
	Delivery string  `toml:"via" json:"via"`     // answers (or empty): in responses; probe: on load polls; none
	Interval Span    `toml:"every" json:"every"` // between refreshes of a server's report
	Delay    Span    `toml:"delay" json:"delay"` // from its refresh until it is available
	Noise    float64 `toml:"noise" json:"noise"` // relative standard deviation of the reported values
}

// Discovery describes the service that lists the servers.
type Discovery struct {
	DrainDelay     Span    `toml:"notice" json:"notice"`     // four times its delay for a drain or an orderly exit
	CrashDelay     Span    `toml:"silent" json:"silent"`     // delay until it learns of a crash
	StartDelay     Span    `toml:"add" json:"add"`           // delay until it learns of a start
	NotifyJitter   Span    `toml:"spread" json:"spread"`     // largest extra delay of notifying a proxy
	CallsPerSecond float64 `toml:"calls" json:"calls"`       // subscribe calls that it answers, in order of arrival
	CallTimeout    Span    `toml:"within" json:"within"`     // a call that would wait longer fails
	WatchLifetime  Span    `toml:"break_in" json:"break_in"` // mean time until a watch breaks; 0: never
}

// Overload describes when a cold server crashes: when the work that arrives within Window exceeds Factor times its
// current capacity.
type Overload struct {
	Factor        float64 `toml:"multiple" json:"multiple"` // 0: servers do not crash from overload
	Window        Span    `toml:"over" json:"over"`
	SlackRequests float64 `toml:"slack" json:"slack"` // requests of mean work allowed on top, for random variation
	Downtime      Span    `toml:"down" json:"down"`   // until it restarts; 0: never
}

// PublishedSettings are the settings of the deployment that policies are given. They also set the limits of the rules
// that the checker applies.
type PublishedSettings struct {
	ResponseGrace   Span    `toml:"answer_slack" json:"answer_slack"`
	SubscribeWithin Span    `toml:"ask_within" json:"ask_within"`
	DrainGrace      Span    `toml:"drain_grace" json:"drain_grace"`
	WarmupTime      Span    `toml:"cold" json:"cold"`
	InitialCapacity float64 `toml:"cold_share" json:"cold_share"`
	OverloadFactor  float64 `toml:"tip_multiple" json:"tip_multiple"`
	MaxAttempts     int     `toml:"attempts" json:"attempts"`   // of one request at one proxy
	MaxOpenRequests int     `toml:"most_held" json:"most_held"` // of one proxy; 0: no limit
	AllowHedging    bool    `toml:"copies" json:"copies"`
	AllowCancel     bool    `toml:"cancel" json:"cancel"`
}

// Prices are subtracted from the value of the service. Each is the share of the offered value that the stated amount
// costs.
type Prices struct {
	LateFailure float64 `toml:"late_fail" json:"late_fail"` // all requests fail, and only after their latency target
	WastedWork  float64 `toml:"waste" json:"waste"`         // as much work with an unused response as was requested
	CrossZone   float64 `toml:"cross" json:"cross"`         // each request crosses zones once
	Handshake   float64 `toml:"handshake" json:"handshake"` // a new connection for each request
	LoadPoll    float64 `toml:"probe" json:"probe"`         // a load poll for each request, without the server's work
	PeerMessage float64 `toml:"peer" json:"peer"`           // a message of 256 bytes between proxies for each request
}

// Clone returns a deep copy of sc.
func (sc *Scenario) Clone() Scenario {
	c := *sc
	c.InstanceTypes, c.Classes = slices.Clone(sc.InstanceTypes), slices.Clone(sc.Classes)
	c.Tenants, c.Faults = slices.Clone(sc.Tenants), slices.Clone(sc.Faults)
	return c
}

// MeanWork returns the mean work of a request, in microseconds on a standard core: the mean over the classes, weighted
// by their shares.
func (sc *Scenario) MeanWork() float64 {
	sum, share := 0.0, 0.0
	for _, c := range sc.Classes {
		sum, share = sum+c.Share*float64(c.Work), share+c.Share
	}
	return sum / max(share, 1e-9)
}
