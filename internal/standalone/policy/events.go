package policy

import "fmt"

// EventKind determines which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields that are set.
const (
	RequestArrived    EventKind = iota + 1 // ID, Class, Tenant, AffinityKey, Work, ClientTimeout, BodyPending, ClientRetry
	AttemptEnded                           // ID, Attempt, Server, Outcome, Elapsed, Final, Report
	ResponseStarted                        // ID: the response streams to the client, without a deadline
	BodySent                               // ID, Attempt: all of a request with BodyPending was sent
	RequestAbandoned                       // ID: the client has disconnected, or its response is overdue
	TimerFired                             // ID: that of the SetTimer
	LoadPolled                             // Server, Outcome, Elapsed, Report
	MembershipFull                         // Members: the complete membership
	MembershipCached                       // Members: a complete membership that may be outdated
	MembershipDelta                        // Members: changed entries only
	DiscoveryFailed                        // a call to discovery failed or the subscription broke
	DiscoveryTimedOut                      // like DiscoveryFailed, but changes may be missed: subscribe soon
)

// Event is something that happened. Report and Members need to stay valid only until Handle returns.
type Event struct {
	Kind          EventKind
	Outcome       Outcome
	Final         bool // the client has its response
	BodyPending   bool // the client is still sending the body; BodySent follows when a server has all of it
	ClientRetry   bool // the client marked the request as a retry; used only by admission control
	Attempt       uint8
	Class         uint8 // index into Settings.Classes
	Tenant        uint32
	Server        ServerID
	ID            uint64
	AffinityKey   uint64 // identifies what the request is about; 0: unknown
	Work          Time   // expected work on a standard core; 0: unknown
	ClientTimeout Time   // remaining time that the client waits
	Elapsed       Time
	Report        []float32 // values in the order of Settings.ReportColumns; empty: none
	Members       []Member
}

// Outcome is how an attempt or a load poll ended. The simulator's link sends the numbers.
type Outcome uint8

// The outcomes, with the numbers of the link.
const (
	OK              Outcome = iota // served
	ErrorResponse                  // the server responded with an error
	Rejected                       // the server rejected the attempt before processing
	TimedOut                       // no response within the time-out
	ConnectFailed                  // no connection within the time-out
	ConnectionReset                // the connection broke
	Canceled                       // canceled on this side, not by the server
	NotSent                        // no byte was written to a server
)

// outcomeNames are the outcomes as they appear in log records.
var outcomeNames = [...]string{
	OK:              "ok",
	ErrorResponse:   "error response",
	Rejected:        "rejected",
	TimedOut:        "timed out",
	ConnectFailed:   "connect failed",
	ConnectionReset: "connection reset",
	Canceled:        "canceled",
	NotSent:         "not sent",
}

// String returns the outcome as it appears in log records.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome %d", uint8(o))
}

// provesNotExecuted reports whether o proves that the server did not execute the request.
func (o Outcome) provesNotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// Mode is a server's state in the membership. The simulator's link sends the numbers.
type Mode uint8

// The modes, with the numbers of the link.
const (
	ModeGone     Mode = iota // no longer listed
	ModeReady                // takes requests
	ModeDraining             // finishes the requests that it has
)

// ServerID identifies a server in events and actions. The caller assigns it. It must be the same at every
// balancer of the group and after a restart, since the home servers of affinity keys and the snapshot for a
// successor process depend on it.
type ServerID = uint32

// Member is a server as discovery lists it.
type Member struct {
	Server       ServerID `json:"Server"`
	Zone         uint8    `json:"Zone"`
	Cell         uint16   `json:"Cell"`
	InstanceType uint16   `json:"Kind"` // servers of one type have equal capacity
	Mode         Mode     `json:"Mode"`
	Size         float64  `json:"Size"`    // relative capacity, see Settings.SizesKnown
	StartedAt    Time     `json:"UpSince"` // latest start of its process; 0: long ago
}

// maxSize bounds Member.Size: a listed size that is not below it is taken for an error and ignored.
const maxSize = 1e9

// relativeSize returns Size if it is plausible, else 1.
func (m *Member) relativeSize() float64 {
	if m.Size > 0 && m.Size < maxSize {
		return m.Size
	}
	return 1
}
