package soak

import (
	"sync"
	"time"

	"pumiceline/internal/fake/fakesystem"
)

// Moment is a time since the start of a run, on the steady clock.
type Moment = time.Duration

// Role is the program of a process.
type Role string

// The roles.
const (
	RoleCoordinator Role = "coordinator"
	RoleProxy       Role = "proxy"
)

// FaultKind is what was done to a process.
type FaultKind string

// The kinds of faults. Starts count among them, as a process that was just started is not in touch.
const (
	FaultStart     FaultKind = "start"
	FaultTerminate FaultKind = "SIGTERM"
	FaultHangup    FaultKind = "SIGHUP"
	FaultKill      FaultKind = "SIGKILL"
	FaultGraceKill FaultKind = "SIGKILL after the grace time"
	FaultFreeze    FaultKind = "SIGSTOP"
	FaultThaw      FaultKind = "SIGCONT"
	FaultEnd       FaultKind = "end" // of the process, whatever the cause
)

// Fault is something that was done to a process, or its end.
type Fault struct {
	Node string
	Kind FaultKind
	At   Moment
	// ExitState is how the process ended; of a FaultEnd only.
	ExitState string
	// IsFailure says that the process ended by a signal or with a status other than 0; of a FaultEnd only.
	IsFailure bool
}

// RequestKind is the kind of a client's request.
type RequestKind string

// The kinds of requests, each with a route of its own.
const (
	KindStream   RequestKind = "stream"    // must run once at most, as its route is not resumable
	KindDocument RequestKind = "document"  // must run once at most
	KindReadOnly RequestKind = "read_only" // may run again
)

// Outcome is how a request ended on its connection.
type Outcome string

// The outcomes of requests.
const (
	OutcomeComplete Outcome = "complete" // a whole response
	OutcomeCut      Outcome = "cut"      // the connection ended before a whole response
	OutcomeUnsent   Outcome = "unsent"   // the connection ended before the whole request was written
	OutcomeGivenUp  Outcome = "given up" // the client's time was over
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
	Status    int    // 0: none came
	Problem   string // what is wrong with the response; empty: nothing
}

// IsServed says whether a whole response with success came.
func (r *Request) IsServed() bool { return r.Outcome == OutcomeComplete && r.Status == statusOK }

// Attempt is one sending of a change.
type Attempt struct {
	Node    string
	SentAt  Moment
	EndedAt Moment
	Status  int // 0: no response came
}

// Change is a change of the configuration. Its marker is the name of a route that only this version has.
type Change struct {
	Marker    string
	Base      uint64
	Version   uint64
	IsInvalid bool
	Attempts  []Attempt
}

// Read is a read of the configuration at a coordinator.
type Read struct {
	Node    string
	SentAt  Moment
	EndedAt Moment
	Version uint64
	Marker  string
	IsFinal bool // after the run
}

// Probe is a request on a marker's route, which shows the configuration in force at a proxy.
type Probe struct {
	Node     string
	Marker   string
	SentAt   Moment
	EndedAt  Moment
	Status   int // 0: no response came
	IsServed bool
}

// MemorySample is the memory of a process.
type MemorySample struct {
	Node          string
	At            Moment
	ResidentBytes int64
}

// DelaySample is how long a process waited for a processor in a span. The node may be runnerNode.
type DelaySample struct {
	Node   string
	From   Moment
	To     Moment
	Waited time.Duration // of all threads together
}

// History is all that was seen in a run. The checkers judge by nothing else.
type History struct {
	Bounds     Bounds
	Roles      map[string]Role // by node
	Faults     []Fault         // in the order of their times
	Requests   []Request
	Executions map[string][]fakesystem.Execution // by request ID
	Epoch      time.Time                         // the start of the run, on the clock of Executions
	Changes    []Change
	Reads      []Read
	Probes     []Probe
	Memory     []MemorySample
	Delays     []DelaySample
	LoadFrom   Moment // when clients began
	FaultsFrom Moment // when the first step was due
	LastFault  Moment // when the last process was running again
	StopFrom   Moment // when all processes were told to stop

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

// fault records a fault at the present time.
func (r *recorder) fault(node string, kind FaultKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Faults = append(r.history.Faults, Fault{Node: node, Kind: kind, At: r.now()})
}
