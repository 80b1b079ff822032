package policy

import (
	"errors"
	"fmt"
	"math"
)

// Time is a moment or a duration in microseconds. Moments count from any fixed origin that the caller
// chooses.
type Time = int64

// Semantics says how often a request may be executed.
type Semantics uint8

// The semantics of request classes.
const (
	Idempotent    Semantics = iota // may be executed any number of times
	Deduplicated                   // has an idempotency key: executed once per DedupScope and DedupWindow
	NonIdempotent                  // must never be executed twice
)

// DedupScope is the set of servers that recognize each other's executions of a Deduplicated request.
type DedupScope uint8

// The scopes, from widest to narrowest.
const (
	DedupEverywhere DedupScope = iota // all servers
	DedupPerZone                      // the servers of one zone
	DedupPerCell                      // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Semantics     Semantics
	DedupScope    DedupScope // for Deduplicated
	DedupWindow   Time       // for Deduplicated: how long the scope keeps a key
	LatencyTarget Time       // a response within this time earns the full value
	ClientTimeout Time       // the longest time that a client waits
	Value         float64    // of one request, or of one unit of work where Settings.ValuePerWork is set
}

// ReportColumn names one value of a load report.
type ReportColumn uint8

// The columns; all but ColumnOther are used.
const (
	ColumnOther       ReportColumn = iota // not used
	ColumnQPS                             // requests per second
	ColumnUtilization                     // fraction of the cores in use
	ColumnEPS                             // errors per second
)

// parsedReport holds the values of a load report in the columns that are used.
type parsedReport struct{ qps, utilization, eps float64 }

// ReportDelivery is how load reports reach the balancer.
type ReportDelivery uint8

// The ways of delivery.
const (
	ReportsNone        ReportDelivery = iota // servers report no load
	ReportsInResponses                       // each response carries one
	ReportsByPolling                         // servers answer load polls, see PollLoad
)

// Rules are the service rules of the deployment: requirements on every balancer, and guarantees about the
// servers.
type Rules struct {
	ResponseGrace   Time    // a final response may come at most this long after the client's time-out
	SubscribeWithin Time    // longest time without a subscription until the next call; 0: 10 s
	WarmupTime      Time    // longest time from a server's start until it has its full capacity
	InitialCapacity float64 // minimum fraction of its capacity that a server has from its start
	// A server that warms up becomes overloaded when it is sent more than OverloadFactor times its present
	// capacity for OverloadTime. Factor 0: it never becomes overloaded.
	OverloadFactor float64
	OverloadTime   Time
}

// Limits are the limits and permissions of the deployment.
type Limits struct {
	MaxAttempts     int  // of one request, at most 8; 0: 8
	MaxOpenRequests int  // requests open at once; 0: no limit
	AllowCancel     bool // attempts may be cancelled
	AllowLoadPolls  bool
	AllowHedging    bool // an attempt may start while another one of the request is in flight
	ConnIdleTimeout Time // servers close connections that are idle for this long
	MaxRetryAfter   Time // the longest Retry-After that clients respect; 0: rejections have no Retry-After
}

// Prices are the costs that the deployment charges for decisions of a balancer, as fractions of the value of
// all requests.
type Prices struct {
	CrossZone float64 // cost if all first attempts went to another zone
}

// Tenant is a customer of the service with a quota.
type Tenant struct {
	QuotaPerS float64 // requests per second within the quota, over all balancers
}

// Settings is the configuration of a balancer.
type Settings struct {
	Classes            []Class
	Tenants            []Tenant
	ReportColumns      []ReportColumn // of a load report, in order
	ReportDelivery     ReportDelivery
	SubscribeDiscovery bool    // discovery sends the membership only to subscribers
	SizesKnown         bool    // Member.Size is the relative capacity of servers; if false, weights ignore it
	ValuePerWork       bool    // Class.Value is for one unit of work
	KeyAffinity        bool    // a server does less work for an AffinityKey that it recently had
	OverQuotaValue     float64 // factor on the value of a tenant's requests beyond its quota
	GroupSize          int     // balancers that share the servers, this one included; 0: 1
	Ordinal            int     // of this balancer among them, from 0
	Zone               int     // of this balancer
	Zones              int     // number of zones
	BatchPeriod        Time    // events that are closer together than this may be delivered together
	Rules              Rules
	Limits             Limits
	Prices             Prices
}

// validate checks whether a balancer can work with s.
func (s *Settings) validate() error {
	r := &s.Rules
	switch {
	case len(s.Classes) == 0:
		return errors.New("policy settings: no classes")
	case r.InitialCapacity < 0 || r.InitialCapacity > 1 || math.IsNaN(r.InitialCapacity):
		return fmt.Errorf("policy settings: initial capacity %v is not a fraction", r.InitialCapacity)
	case r.WarmupTime < 0 || r.OverloadTime < 0 || r.SubscribeWithin < 0 || s.BatchPeriod < 0 || r.ResponseGrace < 0:
		return errors.New("policy settings: a duration is negative")
	case r.OverloadFactor < 0 || math.IsNaN(r.OverloadFactor) || math.IsInf(r.OverloadFactor, 0):
		return fmt.Errorf("policy settings: overload factor %v is out of range", r.OverloadFactor)
	case s.GroupSize < 0 || s.Limits.MaxAttempts < 0 || s.Limits.MaxOpenRequests < 0:
		return errors.New("policy settings: a count is negative")
	}
	for i, c := range s.Classes {
		if c.LatencyTarget < 0 || c.ClientTimeout < 0 || c.DedupWindow < 0 || c.Semantics > NonIdempotent ||
			c.DedupScope > DedupPerCell {
			return fmt.Errorf("policy settings: class %d is out of range", i)
		}
	}
	return nil
}

const (
	defaultSubscribeWithin = 10_000_000 // microseconds
	noOverloadFactor       = 1e6        // no overload; maxWarmupLoad still bounds what is sent
)

// applyDefaults sets the defaults of settings that are not set.
func (s *Settings) applyDefaults() {
	s.GroupSize = max(1, s.GroupSize)
	if s.Rules.SubscribeWithin == 0 {
		s.Rules.SubscribeWithin = defaultSubscribeWithin
	}
	if s.Rules.OverloadFactor == 0 {
		s.Rules.OverloadFactor = noOverloadFactor
	}
	if s.Limits.MaxAttempts == 0 || s.Limits.MaxAttempts > attemptLimit {
		s.Limits.MaxAttempts = attemptLimit
	}
}

// parseReport returns the used columns of a load report; ok is false if it is incomplete or has impossible
// values.
func (s *Settings) parseReport(values []float32) (report parsedReport, ok bool) {
	if len(values) < len(s.ReportColumns) || len(values) == 0 {
		return report, false
	}
	for i, column := range s.ReportColumns {
		value := float64(values[i])
		if column == ColumnOther {
			continue
		}
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return report, false
		}
		switch column {
		case ColumnQPS:
			report.qps = value
		case ColumnUtilization:
			report.utilization = value
		case ColumnEPS:
			report.eps = value
		}
	}
	return report, true
}

// pollsLoad reports whether servers are to be polled for their load.
func (s *Settings) pollsLoad() bool {
	return s.Limits.AllowLoadPolls && s.ReportDelivery == ReportsByPolling
}
