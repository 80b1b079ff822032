// Package logkey names the fields of log records, so that a field has the same key in every process of the system and
// an operator can filter by it. Alerts may match on the keys, so a change of a key must be noted in the changelog. The
// error of a record is logged by logrus.WithError, under "error".
package logkey

// The fields that log records may have.
const (
	// Adapters is a list of adapters that a placement task loads.
	Adapters = "adapters"
	// Address is the host and port of a listener or peer.
	Address = "address"
	// Answer is a backend's answer to a placement command.
	Answer = "answer"
	// Attempt is the number of an attempt of one operation, from 1.
	Attempt = "attempt"
	// Attempts is the number of attempts that a client request took.
	Attempts = "attempts"
	// Backend is the id of a backend on the platform's list.
	Backend = "backend"
	// Base is the version that a change of the configuration is based on.
	Base = "base"
	// Candidates is the number of backends that could have taken a request.
	Candidates = "candidates"
	// Complete reports whether the client was sent a complete response.
	Complete = "complete"
	// Condition is what a process waits for, such as a port that is held.
	Condition = "condition"
	// Coordinator is the internal address of a coordinator.
	Coordinator = "coordinator"
	// DroppedRecords is a number of log records that were dropped because nobody read the log in time.
	DroppedRecords = "dropped_records"
	// DropAdapters is a list of adapters that a placement task unloads.
	DropAdapters = "drop"
	// Epoch is the counter of an issuer's epoch in the coordination of applications.
	Epoch = "epoch"
	// ExitCode is the exit code of a process.
	ExitCode = "exit_code"
	// FirstEventMs is the time from the arrival of a request to the first event of its response.
	FirstEventMs = "first_event_ms"
	// Group is the number of an acceptor group in the coordination of applications.
	Group = "group"
	// HasEvents reports whether the response was a stream of events.
	HasEvents = "has_events"
	// InFlight is the number of requests of all proxies in flight at a backend.
	InFlight = "in_flight"
	// IsMember reports whether the process is a member of the view.
	IsMember = "member"
	// LatencyTargetMs is the latency target of a route.
	LatencyTargetMs = "latency_target_ms"
	// Load is the model that a placement task loads.
	Load = "load"
	// ListAgeMs is the time since the backend list in use was read from the platform; -1: there is no list.
	ListAgeMs = "list_age_ms"
	// Lists is the number of backend lists that replaced an older one.
	Lists = "lists"
	// LongestEventGapMs is the longest time between two events of a stream.
	LongestEventGapMs = "longest_event_gap_ms"
	// MaxEventGapMs is the longest time between two events that a route allows.
	MaxEventGapMs = "max_event_gap_ms"
	// Members are the internal addresses of a view's members, the head of the chain first.
	Members = "members"
	// Method is the HTTP method of a call to the control address.
	Method = "method"
	// Model is a model, with its adapter after a slash.
	Model = "model"
	// Name is what a placement command loads or unloads: a model, or an adapter ("model/adapter").
	Name = "name"
	// Operation is the operation that a placement command requests from a backend.
	Operation = "operation"
	// OldestListAgeMs is the age of the oldest backend list in use within the last seconds.
	OldestListAgeMs = "oldest_list_age_ms"
	// OutputTokens is the maximum number of output tokens that a request asks for.
	OutputTokens = "output_tokens"
	// Path is the path and query of a call to the control address.
	Path = "path"
	// PlatformReadFailures is the number of reads of the platform's list that failed.
	PlatformReadFailures = "platform_read_failures"
	// PlatformReads is the number of reads of the platform's list by the process.
	PlatformReads = "platform_reads"
	// Polls is the number of polls of coordinators that got a response.
	Polls = "polls"
	// Priority is the priority of a route, 0 the highest.
	Priority = "priority"
	// Program is the name of a process's command.
	Program = "program"
	// PromptTokens is the number of tokens of a prompt.
	PromptTokens = "prompt_tokens"
	// QueuedMs is the time from the arrival of a request until its first backend was picked.
	QueuedMs = "queued_ms"
	// QueuedPrefillMs is the estimated prefill time of the requests queued at a backend.
	QueuedPrefillMs = "queued_prefill_ms"
	// Reason is the planner's reason for a placement task, or why a process ended.
	Reason = "reason"
	// RejectedLists is the number of received backend lists that were not newer than the one in use.
	RejectedLists = "rejected_lists"
	// Rejection is the reason why a request was rejected; empty: it was not rejected.
	Rejection = "rejection"
	// ReplacedVoters is the voters that lost their vote while they were suspected, "identity address" each.
	ReplacedVoters = "replaced_voters"
	// Request is the ID of a client request.
	Request = "request"
	// Requests is a number of requests in flight.
	Requests = "requests"
	// Route is the name of a route.
	Route = "route"
	// Seed is a control address from the settings' seedNodes.
	Seed = "seed"
	// SentMs is the time from the arrival of a request until its last attempt began.
	SentMs = "sent_ms"
	// Service is the name of a service of the configuration.
	Service = "service"
	// Stack is the stack of the goroutine that panicked.
	Stack = "stack"
	// Status is the HTTP status of an answer; 0: no answer was sent.
	Status = "status"
	// Token is the fencing token of the controller lease.
	Token = "token"
	// TotalMs is the time from the arrival of a request to its end.
	TotalMs = "total_ms"
	// Unload is a list of models that a placement task unloads.
	Unload = "unload"
	// Version is the operator's version of a configuration.
	Version = "version"
	// View is the number of a membership view.
	View = "view"
	// Voters is the voters of a membership view, "identity address" each.
	Voters = "voters"
	// VotesGained is the voters of a membership view that had no vote in the view logged before.
	VotesGained = "votes_gained"
	// VotesLost is the voters of the view logged before that have no vote in this one.
	VotesLost = "votes_lost"
	// WaitedMs is how long a process waited for a condition to pass.
	WaitedMs = "waited_ms"
	// WaitReason is the reason why a request waited: none, model or capacity.
	WaitReason = "wait_reason"
)
