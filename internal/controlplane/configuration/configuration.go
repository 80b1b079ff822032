// Package configuration reads, checks and changes the operator's configuration. The document is kept as the operator
// sent it; what the system needs of it leaves this package typed.
package configuration

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/docreader"
	"pumiceline/internal/message"
)

// RouteKind tells what of a route's requests may be repeated.
type RouteKind string

// The kinds of routes.
const (
	ReadOnly  RouteKind = "read_only"
	Changing  RouteKind = "changing"
	Streaming RouteKind = "streaming"
)

// Share is a service that takes a part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says which requests go to which service, and how.
type Route struct {
	Name, Host, Prefix string
	Kind               RouteKind
	Timeout            time.Duration // the longest time that a request may be held
	Aim                time.Duration // an answer within it earns its full worth
	MaxPause           time.Duration // longest pause between events that is still in time
	Priority           int           // 0 is the most urgent
	Shares             []Share
	Tries              int // backends to which one try may be sent
	Resumable          bool
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool { return r.Kind == ReadOnly || r.Resumable }

// Model is a model that a service offers.
type Model struct {
	Name      message.ModelName
	WeightsMB float64
	Load      time.Duration // how long a load from the weight store lasts
	Adapters  int
	AdapterMB float64
}

// Runtime describes the model backends of a service.
type Runtime struct {
	Capacity     int // requests in a batch
	CacheTokens  int
	Models       []Model
	WeightsMB    float64 // room for weights and adapters together
	AdapterSlots int
	LoadsPerS    float64 // what the weight store allows over all backends
}

// Service is a kind of backends.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // of all callers together, at each backend
	Runtime        *Runtime
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes, BodyBytes  int
	HeaderWait, IdleTimeout time.Duration
}

// Config is a configuration in typed form.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	byHost   map[string][]*Route // longest prefix first
}

// Parse reads a document; the error names every fault and its place.
func Parse(document []byte) (*Config, error) {
	root, findings, err := decode(document)
	if err != nil {
		return nil, err
	}
	config := readConfig(root, findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	config.index()
	return config, nil
}

func decode(document []byte) (docreader.Node, *docreader.Findings, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var value map[string]any
	if err := decoder.Decode(&value); err != nil {
		return docreader.Node{}, nil, errors.Wrap(err, "not a whole JSON object")
	}
	if decoder.More() {
		return docreader.Node{}, nil, errors.New("more than one JSON value")
	}
	findings := &docreader.Findings{}
	return docreader.Root(value, findings), findings, nil
}

func readConfig(root docreader.Node, findings *docreader.Findings) *Config {
	config := &Config{Services: map[string]*Service{}}
	version := root.Get("version").Number(0)
	if version < 1 || version != float64(uint64(version)) {
		root.Get("version").Fault("a whole number above 0 is wanted")
	}
	config.Version = uint64(version)
	for _, node := range root.Get("services").List() {
		service := readService(node)
		if config.Services[service.Name] != nil {
			node.Get("name").Fault("the name %q stands twice", service.Name)
		}
		config.Services[service.Name] = service
	}
	for _, node := range root.Get("routes").List() {
		config.Routes = append(config.Routes, readRoute(node))
	}
	config.Limits = readLimits(root.Get("limits"))
	checkRoutes(config, root, findings)
	return config
}

func readService(node docreader.Node) *Service {
	service := &Service{
		Name:           node.Get("name").RequiredText(),
		HealthPath:     node.Get("healthPath").Text(""),
		MaxConnections: int(node.Get("maxConns").Number(0)),
	}
	if runtime := node.Get("runtime"); runtime.Present() {
		service.Runtime = readRuntime(runtime)
	}
	return service
}

func readRuntime(node docreader.Node) *Runtime {
	runtime := &Runtime{
		Capacity:     int(node.Get("capacity").Number(1)),
		CacheTokens:  int(node.Get("cacheTokens").Number(0)),
		WeightsMB:    node.Get("weightsMb").Number(0),
		AdapterSlots: int(node.Get("adapterSlots").Number(0)),
		LoadsPerS:    node.Get("loadsPerS").Number(1),
	}
	for _, model := range node.Get("models").List() {
		runtime.Models = append(runtime.Models, Model{
			Name:      message.ModelName(model.Get("name").RequiredText()),
			WeightsMB: model.Get("weightsMb").Number(0),
			Load:      time.Duration(model.Get("loadS").Number(0) * float64(time.Second)),
			Adapters:  int(model.Get("adapters").Number(0)),
			AdapterMB: model.Get("adapterMb").Number(0),
		})
	}
	return runtime
}

func readRoute(node docreader.Node) *Route {
	route := &Route{
		Name:      node.Get("name").RequiredText(),
		Host:      strings.ToLower(node.Get("host").RequiredText()),
		Prefix:    node.Get("pathStart").RequiredText(),
		Kind:      RouteKind(node.Get("kind").Text(string(Changing))),
		Timeout:   milliseconds(node.Get("timeoutMs"), 0),
		Aim:       milliseconds(node.Get("targetMs"), 0),
		MaxPause:  milliseconds(node.Get("gap_aim_ms"), 0),
		Priority:  int(node.Get("priority").Number(5)),
		Tries:     max(1, int(node.Get("tries").Number(1))),
		Resumable: node.Get("resumable").Bool(false),
	}
	if route.Timeout <= 0 {
		node.Get("timeoutMs").Fault("must be above 0")
	}
	if service := node.Get("service"); service.Present() {
		route.Shares = []Share{{Service: service.RequiredText(), Weight: 1}}
	}
	for _, share := range node.Get("split").List() {
		weight := share.Get("share").Number(0)
		if weight < 0 {
			share.Get("share").Fault("must not be negative")
		}
		route.Shares = append(route.Shares, Share{Service: share.Get("service").RequiredText(), Weight: weight})
	}
	return route
}

func milliseconds(node docreader.Node, fallback time.Duration) time.Duration {
	return time.Duration(node.Number(float64(fallback.Milliseconds())) * float64(time.Millisecond))
}

// Defaults of limits that a configuration leaves out.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
	defaultHeaderWait  = 3 * time.Second
	defaultIdle        = 15 * time.Second
)

func readLimits(node docreader.Node) Limits {
	return Limits{
		HeaderBytes: int(node.Get("headerBytes").Number(defaultHeaderBytes)),
		BodyBytes:   int(node.Get("bodyBytes").Number(defaultBodyBytes)),
		HeaderWait:  milliseconds(node.Get("headerWaitMs"), defaultHeaderWait),
		IdleTimeout: milliseconds(node.Get("idleTimeoutMs"), defaultIdle),
	}
}

// checkRoutes finds what is wrong between items: unknown services, weights that sum to 0, two routes in one place.
func checkRoutes(config *Config, root docreader.Node, findings *docreader.Findings) {
	places, names := map[string]bool{}, map[string]bool{}
	for i, node := range root.Get("routes").List() {
		route := config.Routes[i]
		total := 0.0
		for _, share := range route.Shares {
			total += share.Weight
			if config.Services[share.Service] == nil {
				findings.Add(node.Place(), "no service is called %q", share.Service)
			}
		}
		if total <= 0 {
			findings.Add(node.Place(), "its weights sum to 0")
		}
		place := route.Host + "\n" + route.Prefix
		if places[place] {
			findings.Add(node.Place(), "another route has its host and prefix")
		}
		if names[route.Name] {
			findings.Add(node.Place(), "the name %q stands twice", route.Name)
		}
		places[place], names[route.Name] = true, true
	}
}
