package configuration

import (
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

// ParseNew returns the typed form of a document that is to come into force, as NewDocument reads it.
func ParseNew(text []byte) (*Config, error) {
	document, err := NewDocument(text)
	if err != nil {
		return nil, err
	}
	return document.config, nil
}

// Parse returns the typed form of a document that is in force, as StoredDocument reads it. If the document is one JSON
// object, the error is a *docreader.Error with the first faults and their paths.
func Parse(text []byte) (*Config, error) {
	document, err := StoredDocument(text)
	if err != nil {
		return nil, err
	}
	if document.config.Version == 0 {
		return nil, errors.New("no configuration")
	}
	return document.config, nil
}

func readConfig(root docreader.Node, findings *docreader.Findings) *Config {
	config := &Config{Services: map[string]*Service{}}
	config.Version = readRequiredVersion(root)
	for _, node := range root.Field("services").Items() {
		if findings.IsFull() {
			return config
		}
		service := readService(node)
		if config.Services[service.Name] != nil {
			node.Field("name").AddFault("the name %q stands twice", service.Name)
		}
		config.Services[service.Name] = service
	}
	for _, node := range root.Field("routes").Items() {
		if findings.IsFull() {
			return config
		}
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
		MaxConnections: maxConnectionsField.count(node),
	}
	if runtime := node.Field("runtime"); runtime.IsPresent() {
		service.Runtime = readRuntime(runtime)
	}
	return service
}

func readRuntime(node docreader.Node) *Runtime {
	runtime := &Runtime{
		BatchSize:        batchSizeField.count(node),
		CacheTokens:      cacheTokensField.count(node),
		WeightCapacityMB: weightCapacityField.read(node),
		AdapterSlots:     adapterSlotsField.count(node),
		LoadsPerSecond:   loadsPerSecondField.read(node),
	}
	for _, model := range node.Field("models").Items() {
		if model.Findings().IsFull() {
			break
		}
		runtime.Models = append(runtime.Models, Model{
			Name:      message.ModelName(model.Field("name").RequiredText()),
			WeightsMB: modelWeightsField.read(model),
			LoadTime:  loadSecondsField.seconds(model),
			Adapters:  adaptersField.count(model),
			AdapterMB: adapterMBField.read(model),
		})
	}
	runtime.IndexModels()
	return runtime
}

func readRoute(node docreader.Node) *Route {
	route := &Route{
		Name:          node.Field("name").RequiredText(),
		Host:          strings.ToLower(node.Field("host").RequiredText()),
		Prefix:        node.Field("pathStart").RequiredText(),
		Kind:          RouteKind(node.Field("kind").Text(string(Changing))),
		Timeout:       timeoutField.milliseconds(node),
		LatencyTarget: latencyTargetField.milliseconds(node),
		MaxEventGap:   maxEventGapField.milliseconds(node),
		Priority:      priorityField.count(node),
		MaxAttempts:   max(1, maxAttemptsField.count(node)),
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
	if share, _ := node.Field("share").FiniteNumber(); share < 0 {
		node.Field("share").AddFault("must not be negative")
	}
	return WeightedService{Service: node.Field("service").RequiredText(), Weight: shareField.read(node)}
}

func readLimits(node docreader.Node) Limits {
	return Limits{
		HeaderBytes:   headerBytesField.count(node),
		BodyBytes:     bodyBytesField.count(node),
		HeaderTimeout: headerTimeoutField.milliseconds(node),
		IdleTimeout:   idleTimeoutField.milliseconds(node),
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
