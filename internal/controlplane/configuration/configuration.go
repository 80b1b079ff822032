// Package configuration parses, validates and changes the operator's configuration. The document is kept and replicated
// as the operator sent it; what the system needs of it leaves this package in typed form (Config).
//
// Parse and Validate are pure functions: every coordinator must come to the same result on the same state.
package configuration

import (
	"time"

	"pumiceline/internal/message"
)

// Version is the operator's number of a configuration. Each change must raise it. 0 stands for no configuration.
type Version uint64

// RouteKind says which of a route's requests may run more than once. Its values are those of the document.
type RouteKind string

// The kinds of routes. Streaming routes answer with a stream of events.
const (
	ReadOnly  RouteKind = "read_only"
	Changing  RouteKind = "changing"
	Streaming RouteKind = "streaming"
)

// WeightedService is a service that gets a part of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says which requests go to which service, and how.
type Route struct {
	Name          string
	Host          string // in lower case, without a port
	Prefix        string // of the path
	Kind          RouteKind
	Timeout       time.Duration // from the arrival of a request to the end of its response
	LatencyTarget time.Duration // a response within it earns its full value
	MaxEventGap   time.Duration // longest time between two events of a stream that still counts as in time
	Priority      int           // 0 is the most urgent
	Split         []WeightedService
	MaxAttempts   int  // backends to which one client request may be sent, at least 1
	Resumable     bool // a stream that broke may be continued at another backend
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool { return r.Kind == ReadOnly || r.Resumable }

// Model is a model that a service offers.
type Model struct {
	Name      message.ModelName
	WeightsMB float64
	LoadTime  time.Duration // of a load from the weight store
	Adapters  int           // how many there are
	AdapterMB float64       // size of each
}

// Runtime describes the model backends of a service.
type Runtime struct {
	BatchSize        int // requests in a batch of one backend
	CacheTokens      int // size of the KV cache; 0: unlimited
	Models           []Model
	WeightCapacityMB float64 // capacity for weights and adapters together
	AdapterSlots     int
	LoadsPerSecond   float64 // loads that the weight store allows over all backends
}

// Service is a group of interchangeable backends.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int      // at each backend, of all callers together
	Runtime        *Runtime // nil: its backends serve no models
}

// Limits bound what a client may send, and how slowly.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // for the header of a request
	IdleTimeout   time.Duration // between two requests of a connection
}

// Config is a configuration in typed form. It is not changed after Parse.
type Config struct {
	Version  Version
	Routes   []*Route
	Services map[string]*Service // by name
	Limits   Limits
	byHost   map[string][]*Route // longest prefix first
}
