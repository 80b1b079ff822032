// Package logkey names the fields of log records, so that the same thing has the same key in every process of the
// system and an operator can filter by it. The keys are part of what alerts may match on: a change of one belongs in the
// changelog. The error of a record is logged by logrus.WithError, under "error".
package logkey

// The fields that log records may have.
const (
	// Adapters is a list of adapters that a placement task loads.
	Adapters = "adapters"
	// Address is the host and port of a listener or peer.
	Address = "address"
	// Answer is how a backend answered a placement command.
	Answer = "answer"
	// Attempt counts the tries of one operation, from 1.
	Attempt = "attempt"
	// Backend is the id of a backend on the platform's list.
	Backend = "backend"
	// Coordinator is the internal address of a coordinator.
	Coordinator = "coordinator"
	// DropAdapters is a list of adapters that a placement task unloads.
	DropAdapters = "drop"
	// Load is the model that a placement task loads.
	Load = "load"
	// IsMember says whether the process belongs to the view.
	IsMember = "member"
	// Members are the internal addresses of a view's members, the head of the chain first.
	Members = "members"
	// Name is a model, with its adapter after a slash.
	Name = "name"
	// Operation is what a placement command asks of a backend.
	Operation = "operation"
	// Reason is why the planner wants a placement task.
	Reason = "reason"
	// Requests is a number of client requests in flight.
	Requests = "requests"
	// Seed is a control address from the settings' seedNodes.
	Seed = "seed"
	// Token is the fencing token of the controller lease.
	Token = "token"
	// Unload is a list of models that a placement task unloads.
	Unload = "unload"
	// Version is the operator's version of a configuration.
	Version = "version"
	// View is the number of a membership view.
	View = "view"
)
