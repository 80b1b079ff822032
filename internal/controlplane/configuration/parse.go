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

// Defaults of the fields that a document omits.
const (
	defaultPriority      = 5
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// ParseNew reads a document that is to come into force. It is Parse and refuses in addition what some readers of JSON
// could not read, or would read differently.
func ParseNew(document []byte) (*Config, error) {
	if err := checkStrictJSON(document); err != nil {
		return nil, err
	}
	return Parse(document)
}

// Parse reads a document that is in force. If the document is one JSON object, the error is a *docreader.Error with every
// fault and its path. Earlier versions put documents in force that ParseNew refuses, so Parse passes over text after the
// object that begins with a closing bracket.
func Parse(document []byte) (*Config, error) {
	findings := &docreader.Findings{}
	root, err := decode(document, findings)
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

// decode reads a JSON object, with its numbers as json.Number.
func decode(document []byte, findings *docreader.Findings) (docreader.Node, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var value map[string]any
	if err := decoder.Decode(&value); err != nil {
		return docreader.Node{}, errors.Wrap(err, "not a whole JSON object")
	}
	if decoder.More() {
		return docreader.Node{}, errors.New("more than one JSON value")
	}
	return docreader.Root(value, findings), nil
}

func readConfig(root docreader.Node, findings *docreader.Findings) *Config {
	config := &Config{Services: map[string]*Service{}}
	version := root.Field("version").Number(0)
	if version < 1 || version != float64(uint64(version)) {
		root.Field("version").AddFault("a whole number above 0 is wanted")
	}
	config.Version = Version(version)
	for _, node := range root.Field("services").Items() {
		service := readService(node)
		if config.Services[service.Name] != nil {
			node.Field("name").AddFault("the name %q stands twice", service.Name)
		}
		config.Services[service.Name] = service
	}
	for _, node := range root.Field("routes").Items() {
		config.Routes = append(config.Routes, readRoute(node))
	}
	config.Limits = readLimits(root.Field("limits"))
	checkRoutes(config, root, findings)
	return config
}

func readService(node docreader.Node) *Service {
	service := &Service{
		Name:           node.Field("name").RequiredText(),
		HealthPath:     node.Field("healthPath").Text(""),
		MaxConnections: int(node.Field("maxConns").Number(0)),
	}
	if runtime := node.Field("runtime"); runtime.IsPresent() {
		service.Runtime = readRuntime(runtime)
	}
	return service
}

func readRuntime(node docreader.Node) *Runtime {
	runtime := &Runtime{
		BatchSize:        int(node.Field("capacity").Number(1)),
		CacheTokens:      int(node.Field("cacheTokens").Number(0)),
		WeightCapacityMB: node.Field("weightsMb").Number(0),
		AdapterSlots:     int(node.Field("adapterSlots").Number(0)),
		LoadsPerSecond:   node.Field("loadsPerS").Number(1),
	}
	for _, model := range node.Field("models").Items() {
		runtime.Models = append(runtime.Models, Model{
			Name:      message.ModelName(model.Field("name").RequiredText()),
			WeightsMB: model.Field("weightsMb").Number(0),
			LoadTime:  time.Duration(model.Field("loadS").Number(0) * float64(time.Second)),
			Adapters:  int(model.Field("adapters").Number(0)),
			AdapterMB: model.Field("adapterMb").Number(0),
		})
	}
	return runtime
}

func readRoute(node docreader.Node) *Route {
	route := &Route{
		Name:          node.Field("name").RequiredText(),
		Host:          strings.ToLower(node.Field("host").RequiredText()),
		Prefix:        node.Field("pathStart").RequiredText(),
		Kind:          RouteKind(node.Field("kind").Text(string(Changing))),
		Timeout:       milliseconds(node.Field("timeoutMs"), 0),
		LatencyTarget: milliseconds(node.Field("targetMs"), 0),
		MaxEventGap:   milliseconds(node.Field("gap_aim_ms"), 0),
		Priority:      int(node.Field("priority").Number(defaultPriority)),
		MaxAttempts:   max(1, int(node.Field("tries").Number(1))),
		Resumable:     node.Field("resumable").Bool(false),
	}
	if route.Timeout <= 0 {
		node.Field("timeoutMs").AddFault("must be above 0")
	}
	if service := node.Field("service"); service.IsPresent() {
		route.Split = []WeightedService{{Service: service.RequiredText(), Weight: 1}}
	}
	for _, entry := range node.Field("split").Items() {
		route.Split = append(route.Split, readWeightedService(entry))
	}
	return route
}

func readWeightedService(node docreader.Node) WeightedService {
	weight := node.Field("share").Number(0)
	if weight < 0 {
		node.Field("share").AddFault("must not be negative")
	}
	return WeightedService{Service: node.Field("service").RequiredText(), Weight: weight}
}

func milliseconds(node docreader.Node, fallback time.Duration) time.Duration {
	return time.Duration(node.Number(float64(fallback.Milliseconds())) * float64(time.Millisecond))
}

func readLimits(node docreader.Node) Limits {
	return Limits{
		HeaderBytes:   int(node.Field("headerBytes").Number(defaultHeaderBytes)),
		BodyBytes:     int(node.Field("bodyBytes").Number(defaultBodyBytes)),
		HeaderTimeout: milliseconds(node.Field("headerWaitMs"), defaultHeaderTimeout),
		IdleTimeout:   milliseconds(node.Field("idleTimeoutMs"), defaultIdleTimeout),
	}
}

// checkRoutes adds the faults that no single field shows: unknown services, weights that sum to 0, two routes with the
// same host and prefix, duplicate route names.
func checkRoutes(config *Config, root docreader.Node, findings *docreader.Findings) {
	type match struct{ host, prefix string }
	matches, names := map[match]bool{}, map[string]bool{}
	for i, node := range root.Field("routes").Items() {
		route := config.Routes[i]
		totalWeight := 0.0
		for _, target := range route.Split {
			totalWeight += target.Weight
			if config.Services[target.Service] == nil {
				findings.Add(node.Path(), "no service is called %q", target.Service)
			}
		}
		if totalWeight <= 0 {
			findings.Add(node.Path(), "its weights sum to 0")
		}
		m := match{route.Host, route.Prefix}
		if matches[m] {
			findings.Add(node.Path(), "another route has its host and prefix")
		}
		if names[route.Name] {
			findings.Add(node.Path(), "the name %q stands twice", route.Name)
		}
		matches[m], names[route.Name] = true, true
	}
}
