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
	Safe   Semantics = iota // may run any number of times
	Keyed                   // servers of one group drop repeats within a window
	Unsafe                  // must never run twice
)

// Group is the set of servers that drop each other's repeats of a keyed request.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Semantics Semantics
	Group     Group   // for Keyed
	Window    Time    // for Keyed: how long the group remembers
	Aim       Time    // an answer within this earns the full worth
	Deadline  Time    // the longest a client waits
	Worth     float64 // of one request (or of one unit of work, see Settings.WorthByWork)
}

// Column names one value of a load report.
type Column uint8

const (
	ColOther Column = iota
	ColQPS          // requests a second
	ColUtil         // fraction of the cores in use
	ColEPS          // errors a second
)

// ReportVia says how load reports reach the balancer.
type ReportVia uint8

const (
	ReportsNone ReportVia = iota
	ReportsInAnswers
	ReportsByProbe
)

// Rules are the figures of the promises that every run must keep.
type Rules struct {
	AnswerSlack Time    // a final answer is in time this long past the client's deadline
	AskWithin   Time    // the longest an unsubscribed balancer may go without asking discovery
	Cold        Time    // a started server is warm after this at the latest
	ColdShare   float64 // and starts with at least this share of its capacity
	TipMultiple float64 // sent more than this multiple of its present capacity
	TipAfter    Time    // for this long, a cold server falls over
}

// Limits are what the deployment allows.
type Limits struct {
	Attempts     int // attempts a request may use
	MostHeld     int // requests open at once
	Cancel       bool
	Probe        bool
	SecondCopies bool
	IdleClose    Time

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
	Classes        []Class
	Tenants        []Tenant
	Columns        []Column
	ReportVia      ReportVia
	AskDiscovery   bool // the list comes only when asked for
	SizesTold      bool // Member.Size compares servers' capacities
	WorthByWork    bool // Class.Worth is for a unit of work
	WarmKeys       bool // a server that met a key of late does less work for it
	OverShareWorth float64
	GroupSize      int // balancers in the bank, this one included
	Ordinal        int // this balancer's number among them, from 0
	Zone           int
	Zones          int
	Round          Time // events closer together than this may be handed over together
	Rules          Rules
	Limits         Limits
	Prices         Prices
}

// complete judges whether a balancer can act on s, and gives what is not told a safe meaning.
func (s *Settings) complete() error {
	r := &s.Rules
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("decide: settings name no classes")
	case r.ColdShare < 0 || r.ColdShare > 1 || math.IsNaN(r.ColdShare):
		return fmt.Errorf("decide: cold share %v is not a fraction", r.ColdShare)
	case r.Cold < 0 || r.TipAfter < 0 || r.AskWithin < 0 || s.Round < 0 || r.AnswerSlack < 0:
		return fmt.Errorf("decide: a time of the rules is negative")
	case r.TipMultiple < 0 || math.IsNaN(r.TipMultiple) || math.IsInf(r.TipMultiple, 0):
		return fmt.Errorf("decide: tip multiple %v is out of range", r.TipMultiple)
	case s.GroupSize < 0 || s.Limits.Attempts < 0 || s.Limits.MostHeld < 0:
		return fmt.Errorf("decide: a count is negative")
	}
	for i, c := range s.Classes {
		if c.Aim < 0 || c.Deadline < 0 || c.Window < 0 || c.Semantics > Unsafe || c.Group > GroupCell {
			return fmt.Errorf("decide: class %d is out of range", i)
		}
	}
	// What is not told gets a safe meaning.
	s.GroupSize = max(1, s.GroupSize)
	if r.AskWithin == 0 {
		r.AskWithin = 10_000_000
	}
	if r.TipMultiple == 0 {
		r.TipMultiple = 1e6 // nothing tips; what a cold server can do still bounds what it is sent
	}
	if s.Limits.Attempts == 0 || s.Limits.Attempts > maxAttempts {
		s.Limits.Attempts = maxAttempts
	}
	return nil
}

// read returns rate, utilisation and errors of a load report, unless it has values that no server can mean.
func (s *Settings) read(values []float32) (v [3]float64, ok bool) {
	if len(values) < len(s.Columns) || len(values) == 0 {
		return v, false
	}
	for i, c := range s.Columns {
		x := float64(values[i])
		if c == ColOther {
			continue
		}
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return v, false
		}
		v[c-ColQPS] = x
	}
	return v, true
}

// probes says whether servers are to be asked for their load.
func (s *Settings) probes() bool { return s.Limits.Probe && s.ReportVia == ReportsByProbe }

// Mode is a server's listed state.
type Mode uint8

const (
	ModeGone Mode = iota
	ModeReady
	ModeDraining
)

// Member is a server as discovery lists it.
type Member struct {
	Server  uint32  `json:"Server"`
	Zone    uint8   `json:"Zone"`
	Cell    uint16  `json:"Cell"`
	Kind    uint16  `json:"Kind"` // servers of one kind are alike
	Mode    Mode    `json:"Mode"`
	Size    float64 `json:"Size"`
	UpSince Time    `json:"UpSince"` // the latest start; 0: long ago
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
	OK            Outcome = iota // served
	Failed                       // the server answered with an error
	Full                         // turned away unseen
	TimedOut                     // no answer within the limit
	ConnectFailed                // no connection within the limit
	Reset                        // the connection broke
	Cancelled                    // called off
	NotSent                      // never sent
)

// neverRan says whether o proves that the server did not carry the request out.
func (o Outcome) neverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// EventKind tells which fields of an Event count.
type EventKind uint8

const (
	Arrival    EventKind = iota + 1 // ID, Class, Tenant, Key, Work, Patience, Slow
	Outcomed                        // ID, Attempt, Server, Outcome, Elapsed, Final, Report
	Begun                           // ID: the answer streams; no deadline applies any more
	Handed                          // ID, Attempt: the last byte of a slow request has gone out
	Departed                        // ID: the client left or its answer is overdue
	TimerFired                      // ID: the timer's own
	Probed                          // Server, Outcome, Elapsed, Report
	ListFull                        // Members: the complete list
	ListCached                      // Members: the complete list as once held, maybe outdated
	ListDelta                       // Members: changed entries only
	ListFailed                      // a call to discovery failed or the subscription broke
	ListSilent                      // as ListFailed, and what was missed counts as told soon
)

// Event is something that happened. Report and Members need to stay valid only during the call of Handle.
type Event struct {
	Kind     EventKind
	Outcome  Outcome
	Final    bool // the request is over
	Slow     bool // on Arrival: its body is still coming; Handed tells when the server has it
	Repeat   bool // on Arrival: the client says that it asked before; what stands before the module may heed it
	Attempt  uint8
	Class    uint8
	Tenant   uint32
	Server   uint32
	ID       uint64
	Key      uint64 // what the request is about; 0: not told
	Work     Time   // expected work on a standard core; 0: not told
	Patience Time   // how long the client still waits
	Elapsed  Time
	Report   []float32 // values ordered as Settings.Columns; empty: none
	Members  []Member
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

const (
	Send        ActionKind = iota + 1 // ID, Server, After: the attempt's time limit (0: the client's patience), By
	Refuse                            // ID, After: when the client may return (0: not told)
	Fail                              // ID
	Cancel                            // ID, Attempt
	SetTimer                          // ID: the timer's own, After
	Probe                             // Server
	Subscribe                         // to discovery's changes, missed ones first
	LogLine                           // Text
	CloseUnused                       // Server: close idle connections to it
)

// Action is something the caller is to do. Attempts of a request count from 0 in the order of its Sends.
type Action struct {
	Kind    ActionKind
	Attempt uint8
	Server  uint32
	ID      uint64
	After   Time
	By      Time // of a Send: nothing may be written from then on, as a repeat could run twice (0: no such limit)
	Text    string
}

// Avoided is how many servers that are listed as ready get no turns, because this balancer found them silent or faulty.
func (b *Balancer) Avoided() (n int) {
	for _, s := range b.order {
		if s.listed && s.mode == ModeReady && (s.suspended || s.stalled) {
			n++
		}
	}
	return n
}
