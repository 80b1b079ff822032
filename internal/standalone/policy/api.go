// Package policy makes the decisions of one HTTP load balancer in a bank of them: which server gets a
// request, when to try again, when to refuse, and when to ask discovery for its list.
//
// A Balancer is a state machine. Create one with New, then call Handle with each event in the order it
// happened; Handle appends the actions that follow to the caller's buffer. The package has no clock, no
// goroutines and does no I/O: the caller's `now` is the only time it knows, in microseconds from any fixed
// origin, never going back. Timers are actions too (SetTimer), answered by TimerFired events.
//
// A Balancer is not safe for concurrent use. Balancers share nothing; run as many as you like.
package policy

import (
	"fmt"
	"math"
)

// Time is a moment or a span in microseconds.
type Time = int64

// Semantics says what repeating a request of a class may do.
type Semantics uint8

const (
	Idempotent    Semantics = iota // may run any number of times
	Deduplicated                   // servers of one group drop repeats within a window
	NonIdempotent                  // must never run twice
)

// DedupScope is the set of servers that drop each other's repeats of a keyed request.
type DedupScope uint8

const (
	DedupEverywhere DedupScope = iota
	DedupPerZone
	DedupPerCell
)

// Class describes one class of requests.
type Class struct {
	Semantics     Semantics
	DedupScope    DedupScope // for Keyed
	DedupWindow   Time       // for Keyed: how long the group remembers
	LatencyTarget Time       // an answer within this earns the full worth
	ClientTimeout Time       // the longest a client waits
	Value         float64    // of one request (or of one unit of work, see Settings.ValuePerWork)
}

// ReportColumn names one value of a load report.
type ReportColumn uint8

const (
	ColumnOther       ReportColumn = iota
	ColumnQPS                      // requests a second
	ColumnUtilization              // fraction of the cores in use
	ColumnEPS                      // errors a second
)

// ReportDelivery says how load reports reach the balancer.
type ReportDelivery uint8

const (
	ReportsNone ReportDelivery = iota
	ReportsInResponses
	ReportsByPolling
)

// Rules are the figures of the promises that every run must keep.
type Rules struct {
	ResponseGrace   Time    // a final answer is in time this long past the client's deadline
	SubscribeWithin Time    // the longest an unsubscribed balancer may go without asking discovery
	WarmupTime      Time    // a started server is warm after this at the latest
	InitialCapacity float64 // and starts with at least this share of its capacity
	OverloadFactor  float64 // sent more than this multiple of its present capacity
	OverloadTime    Time    // for this long, a cold server falls over
}

// Limits are what the deployment allows.
type Limits struct {
	MaxAttempts     int // attempts a request may use
	MaxOpenRequests int // requests open at once
	AllowCancel     bool
	AllowLoadPolls  bool
	AllowHedging    bool
	ConnIdleTimeout Time

	MaxRetryAfter Time // the longest that a client heeds; 0: it is not told when to return
}

// Prices are deductions from the result, each for the stated amount of something, as fractions of all worth.
type Prices struct {
	CrossZone float64 // every first try crossing zones
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	QuotaPerS float64 // requests a second within its share, over all balancers
}

// Settings is all that a balancer is told about its deployment.
type Settings struct {
	Classes            []Class
	Tenants            []Tenant
	ReportColumns      []ReportColumn
	ReportDelivery     ReportDelivery
	SubscribeDiscovery bool // the list comes only when asked for
	SizesKnown         bool // Member.Size compares servers' capacities
	ValuePerWork       bool // Class.Worth is for a unit of work
	KeyAffinity        bool // a server that met a key of late does less work for it
	OverQuotaValue     float64
	GroupSize          int // balancers in the bank, this one included
	Ordinal            int // this balancer's number among them, from 0
	Zone               int
	Zones              int
	BatchPeriod        Time // events closer together than this may be handed over together
	Rules              Rules
	Limits             Limits
	Prices             Prices
}

// complete judges whether a balancer can act on s, and gives what is not told a safe meaning.
func (s *Settings) complete() error {
	r := &s.Rules
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("decide: settings name no classes")
	case r.InitialCapacity < 0 || r.InitialCapacity > 1 || math.IsNaN(r.InitialCapacity):
		return fmt.Errorf("decide: cold share %v is not a fraction", r.InitialCapacity)
	case r.WarmupTime < 0 || r.OverloadTime < 0 || r.SubscribeWithin < 0 || s.BatchPeriod < 0 || r.ResponseGrace < 0:
		return fmt.Errorf("decide: a time of the rules is negative")
	case r.OverloadFactor < 0 || math.IsNaN(r.OverloadFactor) || math.IsInf(r.OverloadFactor, 0):
		return fmt.Errorf("decide: tip multiple %v is out of range", r.OverloadFactor)
	case s.GroupSize < 0 || s.Limits.MaxAttempts < 0 || s.Limits.MaxOpenRequests < 0:
		return fmt.Errorf("decide: a count is negative")
	}
	for i, c := range s.Classes {
		if c.LatencyTarget < 0 || c.ClientTimeout < 0 || c.DedupWindow < 0 || c.Semantics > NonIdempotent || c.DedupScope > DedupPerCell {
			return fmt.Errorf("decide: class %d is out of range", i)
		}
	}
	// What is not told gets a safe meaning.
	s.GroupSize = max(1, s.GroupSize)
	if r.SubscribeWithin == 0 {
		r.SubscribeWithin = 10_000_000
	}
	if r.OverloadFactor == 0 {
		r.OverloadFactor = 1e6 // nothing tips; what a cold server can do still bounds what it is sent
	}
	if s.Limits.MaxAttempts == 0 || s.Limits.MaxAttempts > maxAttempts {
		s.Limits.MaxAttempts = maxAttempts
	}
	return nil
}

// read returns rate, utilisation and errors of a load report, unless it has values that no server can mean.
func (s *Settings) read(values []float32) (v [3]float64, ok bool) {
	if len(values) < len(s.ReportColumns) || len(values) == 0 {
		return v, false
	}
	for i, c := range s.ReportColumns {
		x := float64(values[i])
		if c == ColumnOther {
			continue
		}
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return v, false
		}
		v[c-ColumnQPS] = x
	}
	return v, true
}

// probes says whether servers are to be asked for their load.
func (s *Settings) probes() bool {
	return s.Limits.AllowLoadPolls && s.ReportDelivery == ReportsByPolling
}

// Mode is a server's listed state.
type Mode uint8

const (
	ModeGone Mode = iota
	ModeReady
	ModeDraining
)

// Member is a server as discovery lists it.
type Member struct {
	Server       uint32  `json:"Server"`
	Zone         uint8   `json:"Zone"`
	Cell         uint16  `json:"Cell"`
	InstanceType uint16  `json:"Kind"` // servers of one kind are alike
	Mode         Mode    `json:"Mode"`
	Size         float64 `json:"Size"`
	StartedAt    Time    `json:"UpSince"` // the latest start; 0: long ago
}

// size is Size if that compares servers, else 1.
func (m *Member) size() float64 {
	if m.Size > 0 && m.Size < 1e9 {
		return m.Size
	}
	return 1
}

// Outcome tells how an attempt or a probe ended.
type Outcome uint8

const (
	OK              Outcome = iota // served
	ErrorResponse                  // the server answered with an error
	Rejected                       // turned away unseen
	TimedOut                       // no answer within the limit
	ConnectFailed                  // no connection within the limit
	ConnectionReset                // the connection broke
	Cancelled                      // called off
	NotSent                        // never sent
)

// neverRan says whether o proves that the server did not carry the request out.
func (o Outcome) neverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// EventKind tells which fields of an Event count.
type EventKind uint8

const (
	RequestArrived   EventKind = iota + 1 // ID, Class, Tenant, Key, Work, Patience, Slow
	AttemptEnded                          // ID, Attempt, Server, Outcome, Elapsed, Final, Report
	ResponseStarted                       // ID: the answer streams; no deadline applies any more
	BodySent                              // ID, Attempt: the last byte of a slow request has gone out
	RequestAbandoned                      // ID: the client left or its answer is overdue
	TimerFired                            // ID: the timer's own
	LoadPolled                            // Server, Outcome, Elapsed, Report
	MembershipFull                        // Members: the complete list
	MembershipCached                      // Members: the complete list as once held, maybe outdated
	MembershipDelta                       // Members: changed entries only
	DiscoveryFailed                       // a call to discovery failed or the subscription broke
	DiscoverySilent                       // as DiscoveryFailed, and what was missed counts as told soon
)

// Event is something that happened. Report and Members need to stay valid only during the call of Handle.
type Event struct {
	Kind          EventKind
	Outcome       Outcome
	Final         bool // the request is over
	BodyPending   bool // on Arrival: its body is still coming; Handed tells when the server has it
	ClientRetry   bool // on Arrival: the client says that it asked before; what stands before the module may heed it
	Attempt       uint8
	Class         uint8
	Tenant        uint32
	Server        uint32
	ID            uint64
	AffinityKey   uint64 // what the request is about; 0: not told
	Work          Time   // expected work on a standard core; 0: not told
	ClientTimeout Time   // how long the client still waits
	Elapsed       Time
	Report        []float32 // values ordered as Settings.Columns; empty: none
	Members       []Member
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

const (
	SendAttempt        ActionKind = iota + 1 // ID, Server, After: the attempt's time limit (0: the client's patience), By
	RejectRequest                            // ID, After: when the client may return (0: not told)
	FailRequest                              // ID
	CancelAttempt                            // ID, Attempt
	SetTimer                                 // ID: the timer's own, After
	PollLoad                                 // Server
	SubscribeDiscovery                       // to discovery's changes, missed ones first
	LogMessage                               // Text
	CloseIdleConns                           // Server: close idle connections to it
)

// Action is something the caller is to do. Attempts of a request count from 0 in the order of its Sends.
type Action struct {
	Kind       ActionKind
	Attempt    uint8
	Server     uint32
	ID         uint64
	After      Time
	SendBefore Time // of a Send: nothing may be written from then on, as a repeat could run twice (0: no such limit)
	Text       string
}

// EjectedServers is how many servers that are listed as ready get no turns, because this balancer found them silent or faulty.
func (b *Balancer) EjectedServers() (n int) {
	for _, s := range b.order {
		if s.listed && s.mode == ModeReady && (s.suspended || s.stalled) {
			n++
		}
	}
	return n
}
