package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// Request is the balancer's record of a client's request. All attempts of the client's request use the same Request.
type Request struct {
	Service         string
	Model           message.ModelName // with its adapter after a slash; empty for services without models
	Priority        int               // in the queue; 0 is the highest
	PromptTokens    int
	OutputTokens    int
	Arrived         time.Time
	Deadline        time.Time
	ClientTimeoutAt time.Time     // when the client gives up if it has received nothing
	LatencyTarget   time.Duration // SLO on the time to the first event, or to the response if it has no events

	// The balancer's internal state.
	result        chan PickResult
	triedBackends []message.BackendID // not picked again
	sentAttempts  int                 // attempts that may have reached a backend
	isCounted     bool                // its arrival is counted in the demand
	isBudgeted    bool                // it is counted as a request of the retry budget
	isQueued      bool
	waitReason    WaitReason
	isPrefilling  bool    // its prefill counts as queued at the backend
	prefillMs     float64 // estimated prefill time
}

// ModelKey identifies a model of a service.
type ModelKey struct {
	Service string
	Model   message.ModelName
}

func (r *Request) key() ModelKey { return ModelKey{r.Service, r.Model} }

// tokens returns the space in the KV cache that the request needs, in tokens.
func (r *Request) tokens() int { return r.PromptTokens + r.OutputTokens }

// PickResult answers a request: a backend, or a rejection.
type PickResult struct {
	Backend    *Backend // nil: rejected; only the balancer's owner may read its fields
	BackendID  message.BackendID
	Address    string
	RetryAfter time.Duration // of a rejection
	Rejection  RejectReason
	Decision   Decision
}

// Decision records, for the log, the state by which the balancer picked a backend or rejected a request.
type Decision struct {
	Candidates    int           // number of backends that could have taken the request
	InFlight      int           // requests of all proxies at the picked backend, without this one
	QueuedPrefill time.Duration // prefill of all proxies queued at the picked backend, without this request's
	WaitReason    WaitReason
}

// WaitReason is the reason why a request waits, or last waited.
type WaitReason int

// The reasons to wait.
const (
	WaitNone     WaitReason = iota
	WaitModel               // no backend has loaded the model
	WaitCapacity            // every suitable backend is at capacity, ejected or already tried
)

// String returns the reason as it is written to the log.
func (r WaitReason) String() string {
	return [...]string{"none", "model", "capacity"}[r]
}

// RejectReason is the reason why a request is rejected. Clients receive the text in the body of a 503, so it must not
// change.
type RejectReason string

// The reasons to reject.
const (
	RejectQueueFull   RejectReason = "too many wait"
	RejectRetryBudget RejectReason = "no retries left"
	RejectNoCapacity  RejectReason = "no place is free"
	RejectDraining    RejectReason = "this proxy is stopping"
	RejectNoModel     RejectReason = "the model is nowhere"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	Succeeded     Outcome = iota // the backend served the request
	Failed                       // the request was sent, but no response arrived
	Rejected                     // the backend rejected the request before processing it (Not-Run)
	Misdirected                  // 421: the backend has another ID, or has not loaded the model
	ConnectFailed                // no connection: nothing was sent
	Withdrawn                    // the backend began to drain before the request was sent: nothing was sent
	Canceled                     // the client disconnected or the deadline passed
	ErrorResponse                // the backend responded with an error, or its response was truncated
)
