// Package configuration parses, validates and changes the operator's configuration. The document is stored and
// replicated as the operator sent it. Other packages use its typed form, Config.
//
// Parse and Validate are pure functions: every coordinator must get the same result on the same state.
package configuration

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// Version is the number that the operator gives to a configuration. Each change must raise it. 0 means no
// configuration.
type Version uint64

// RouteKind says whether the requests of a route may run more than once. Its values are those in the document.
type RouteKind string

// The kinds of routes. A Streaming route responds with a stream of events.
const (
	ReadOnly  RouteKind = "read_only"
	Changing  RouteKind = "changing"
	Streaming RouteKind = "streaming"
)

// WeightedService is a service that receives a share of a route's requests in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes which requests go to which services, and how they are handled.
type Route struct {
	Name          string
	Host          string // in lower case, without a port
	Prefix        string // of the path
	Kind          RouteKind
	Timeout       time.Duration // from the arrival of a request to the end of its response
	LatencyTarget time.Duration // a response within it earns its full value
	MaxEventGap   time.Duration // longest time between two events of a stream that still counts as on time
	Priority      int           // 0 is the most urgent
	Split         []WeightedService
	MaxAttempts   int  // backends to which one client request may be sent, at least 1
	Resumable     bool // an interrupted stream may be resumed at another backend
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool { return r.Kind == ReadOnly || r.Resumable }

// Model is a model that a service offers.
type Model struct {
	Name      message.ModelName
	WeightsMB float64
	LoadTime  time.Duration // time to load it from the weight store
	Adapters  int           // number of adapters
	AdapterMB float64       // size of each adapter
}

// Runtime describes the model backends of a service.
type Runtime struct {
	BatchSize        int // requests in a batch of one backend
	CacheTokens      int // size of the KV cache; 0: unlimited
	Models           []Model
	WeightCapacityMB float64 // capacity for weights and adapters together
	AdapterSlots     int
	LoadsPerSecond   float64 // limit of the weight store over all backends

	modelIndex map[message.ModelName]int // index in Models by name; nil: not built
}

// IndexModels makes Model find a model without a search of the list. It must be called after Models is filled and
// before the runtime is shared.
func (r *Runtime) IndexModels() {
	r.modelIndex = make(map[message.ModelName]int, len(r.Models))
	for i := range r.Models {
		if _, isKnown := r.modelIndex[r.Models[i].Name]; !isKnown {
			r.modelIndex[r.Models[i].Name] = i
		}
	}
}

// Model returns the first model of a name.
func (r *Runtime) Model(name message.ModelName) (model Model, ok bool) {
	if r.modelIndex != nil {
		i, ok := r.modelIndex[name]
		if !ok {
			return Model{}, false
		}
		return r.Models[i], true
	}
	i := slices.IndexFunc(r.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return r.Models[i], true
}

// Service is a group of interchangeable backends.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int      // per backend, over all callers
	Runtime        *Runtime // nil if its backends serve no models
}

// Limits bound the size of a client's requests, and the time that a client may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // time to receive the header of a request
	IdleTimeout   time.Duration // time between two requests on a connection
}

// Config is a configuration in typed form. It is immutable after Parse.
type Config struct {
	Version  Version
	Routes   []*Route
	Services map[string]*Service // by name
	Limits   Limits
	byHost   map[string][]*Route // by host; the routes with the longest prefix come first
}
