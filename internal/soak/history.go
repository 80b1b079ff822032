package soak

import (
	"sync"
	"time"

	"pumiceline/internal/fake/fakesystem"
)

// Moment is the time since the start of a run, by the monotonic clock.
type Moment = time.Duration

// Role is the program of a process.
type Role string

// The roles.
const (
	RoleCoordinator Role = "coordinator"
	RoleProxy       Role = "proxy"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults. A start counts as a fault, because a process that was just started is not in touch yet.
const (
	FaultStart     FaultKind = "start"
	FaultTerminate FaultKind = "SIGTERM"
	FaultHangup    FaultKind = "SIGHUP"
	FaultKill      FaultKind = "SIGKILL"
	FaultGraceKill FaultKind = "SIGKILL after the grace time"
	FaultFreeze    FaultKind = "SIGSTOP"
	FaultThaw      FaultKind = "SIGCONT"
	FaultDiskFull  FaultKind = "disk is full"
	FaultDiskFree  FaultKind = "disk has room"
	FaultEnd       FaultKind = "end" // of the process, for any cause
)

// Fault is an action on a process, such as a signal or a start, or the end of the process.
type Fault struct {
	Node string
	Kind FaultKind
	At   Moment
	// Instance counts the processes of the node, from 1; two of them may overlap. 0 in histories of earlier versions.
	Instance int
	// ExitState describes how the process ended, with the last lines of its output; set for FaultEnd only.
	ExitState string
	// Lived is the time from the start of the process to its end; set for FaultEnd only.
	Lived time.Duration
	// IsFailure reports that the process ended by a signal or with a status other than 0; set for FaultEnd only.
	IsFailure bool
}

// RequestKind is the kind of a client's request.
type RequestKind string

// The kinds of requests. Each has its own route.
const (
	KindStream   RequestKind = "stream"    // must run at most once, because its route is not resumable
	KindDocument RequestKind = "document"  // must run at most once
	KindReadOnly RequestKind = "read_only" // may run more than once
)

// Outcome is how a request ended on its connection.
type Outcome string

// The outcomes of requests.
const (
	OutcomeComplete Outcome = "complete" // a complete response was received
	OutcomeCut      Outcome = "cut"      // the connection ended before a complete response
	OutcomeUnsent   Outcome = "unsent"   // the connection ended before the whole request was written
	OutcomeGivenUp  Outcome = "given up" // the client timed out
)

// Request is a request of a client and its response.
type Request struct {
	ID        string
	Node      string // the proxy
	Kind      RequestKind
	StartedAt Moment
	SentAt    Moment // when its last byte was written
	EndedAt   Moment
	Outcome   Outcome
	Status    int    // 0: none received
	Problem   string // fault in the response; empty: none
}

// IsServed reports whether a complete response with status 200 was received.
func (r *Request) IsServed() bool { return r.Outcome == OutcomeComplete && r.Status == statusOK }

// Attempt is one call of a change.
type Attempt struct {
	Node    string
	SentAt  Moment
	EndedAt Moment
	Status  int // 0: no response came
}

// Change is a change of the configuration. Its marker is the name of a route that no other change adds.
type Change struct {
	Marker    string
	Base      uint64
	Version   uint64
	IsInvalid bool
	Fault     string // why it is invalid; empty: it is valid, or the history is of a version without it
	Attempts  []Attempt
}

// Read is a read of the configuration at a coordinator.
type Read struct {
	Node    string
	SentAt  Moment
	EndedAt Moment
	Version uint64
	Marker  string
	IsFinal bool // read at the end of the run
}

// Probe is a request on the route of a marker. Its status shows whether the route is in force at a proxy.
type Probe struct {
	Node     string
	Marker   string
	SentAt   Moment
	EndedAt  Moment
	Status   int // 0: no response came
	IsServed bool
}

// Drain is a backend that leaves.
type Drain struct {
	Backend string
	At      Moment // when the platform's list first showed it as draining
}

// MemorySample is the memory of a process.
type MemorySample struct {
	Node          string
	At            Moment
	ResidentBytes int64
}

// DelaySample is the time that a process waited for a processor in a span. The node may be runnerNode.
type DelaySample struct {
	Node   string
	From   Moment
	To     Moment
	Waited time.Duration // sum over all threads
}

// History is the record of a run. The checkers have no other input.
type History struct {
	Bounds     Bounds
	HasLosses  bool            // the run has counted losses, which the tolerance covers at every moment
	Roles      map[string]Role // by node
	Faults     []Fault         // in the order of their times
	Requests   []Request
	Executions map[string][]fakesystem.Execution // by request ID
	Epoch      time.Time                         // the start of the run, on the clock of Executions
	Changes    []Change
	Reads      []Read
	Probes     []Probe
	Drains     []Drain
	Memory     []MemorySample
	Delays     []DelaySample
	LoadFrom   Moment // when clients began
	FaultsFrom Moment // when the first step was due
	LastFault  Moment // when all processes were running again after the faults
	StopFrom   Moment // when the stop of all processes began

	Applications ApplicationHistory
}

// recorder collects a history. It is safe for concurrent use.
type recorder struct {
	startedAt time.Time

	mu      sync.Mutex
	history History
}

func newRecorder(bounds Bounds) *recorder {
	now := time.Now()
	return &recorder{startedAt: now, history: History{Bounds: bounds, Roles: map[string]Role{}, Epoch: now}}
}

func (r *recorder) now() Moment { return time.Since(r.startedAt) }

// edit calls change with the history while no other goroutine uses it.
func (r *recorder) edit(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.history)
}

// fault records a fault of a process at the current time.
func (r *recorder) fault(node string, instance int, kind FaultKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Faults = append(r.history.Faults, Fault{Node: node, Instance: instance, Kind: kind, At: r.now()})
}
