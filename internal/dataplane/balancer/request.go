package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// Request is what the balancer knows of a request. One Request serves all attempts of a client's request.
type Request struct {
	Service         string
	Model           message.ModelName // with its adapter after a slash; empty for services without models
	Priority        int               // of the queue; 0 is the highest
	PromptTokens    int
	OutputTokens    int
	Arrived         time.Time
	Deadline        time.Time
	ClientTimeoutAt time.Time     // when the client gives up if it has received nothing
	LatencyTarget   time.Duration // SLO on the time to the first event, or to the response where there are no events

	// The balancer's own state of the request.
	result        chan PickResult
	triedBackends []message.BackendID // not picked again
	sentAttempts  int                 // attempts that may have reached a backend
	isCounted     bool                // its arrival is part of the demand
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

// tokens is the space in the KV cache that the request needs, in tokens.
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

// Decision records what the balancer knew when it picked a backend or rejected a request, for the log.
type Decision struct {
	Candidates    int           // backends that could have taken the request
	InFlight      int           // requests of all proxies at the picked backend, without this one
	QueuedPrefill time.Duration // prefill of all proxies queued at the picked backend, without this request's
	WaitReason    WaitReason
}

// WaitReason is what a request waits, or has waited, for.
type WaitReason int

// The reasons to wait.
const (
	WaitNone     WaitReason = iota
	WaitModel               // no backend has loaded the model
	WaitCapacity            // the backends that have loaded it are at capacity
)

// String returns the reason as it is logged.
func (r WaitReason) String() string {
	return [...]string{"none", "model", "capacity"}[r]
}

// RejectReason is why a request is rejected. Clients receive the text as the body of a 503: it must not change.
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
	Failed                       // no response came, though the request was sent
	Rejected                     // the backend rejected the request before processing it (Not-Run)
	Misdirected                  // 421: the backend has another ID, or has not loaded the model
	ConnectFailed                // no connection, nothing was sent
	Canceled                     // the client left or the deadline passed
	ErrorResponse                // the backend responded with an error of its own, or its response broke off
)
