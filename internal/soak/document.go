package soak

import (
	"encoding/json"
	"fmt"
)

// Names of the services in the configuration.
const (
	modelService    = "models"
	documentService = "documents"
)

// requestHost is the host of all requests.
const requestHost = "soak.example"

// routeDocument is a route of a configuration.
type routeDocument struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	PathStart string `json:"pathStart"`
	Kind      string `json:"kind"`
	TimeoutMs int64  `json:"timeoutMs"`
	TargetMs  int64  `json:"targetMs"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Tries     int    `json:"tries"`
}

// limitsDocument holds the limits on requests of clients.
type limitsDocument struct {
	HeaderBytes   int `json:"headerBytes"`
	BodyBytes     int `json:"bodyBytes"`
	HeaderWaitMs  int `json:"headerWaitMs"`
	IdleTimeoutMs int `json:"idleTimeoutMs"`
}

// configurationDocument is a complete configuration, the body of a PUT.
type configurationDocument struct {
	Version  uint64            `json:"version"`
	Routes   []routeDocument   `json:"routes"`
	Services []json.RawMessage `json:"services"`
	Limits   limitsDocument    `json:"limits"`
}

// patchDocument is the body of a PATCH.
type patchDocument struct {
	Version uint64                     `json:"version"`
	Add     map[string][]routeDocument `json:"add"`
	Remove  map[string][]string        `json:"remove"`
}

const modelServiceDocument = `{"name":"models","maxConns":860,"runtime":{"capacity":64,"cacheTokens":130097,"weightsMb":200,` +
	`"adapterSlots":8,"loadsPerS":12,"models":[{"name":"small","weightsMb":60,"loadS":0.4,"adapters":2,"adapterMb":1},` +
	`{"name":"large","weightsMb":60,"loadS":0.4}]}}`

const documentServiceDocument = `{"name":"documents","maxConns":600}`

func newRoute(name string, kind RequestKind, service string, tries int) routeDocument {
	return routeDocument{
		Name: name, Host: requestHost, PathStart: "/" + name + "/", Kind: string(kind), TimeoutMs: clientTimeout.Milliseconds(),
		TargetMs: 800, Priority: 1, Service: service, Tries: tries,
	}
}

// Kinds of routes on the wire, where they differ from RequestKind.
const (
	wireStreaming RequestKind = "streaming"
	wireChanging  RequestKind = "changing"
	wireReadOnly  RequestKind = "read_only"
)

// baseRoutes returns the routes that every configuration has, one for each kind of request.
func baseRoutes() []routeDocument {
	return []routeDocument{
		newRoute(string(KindStream), wireStreaming, modelService, 1),
		newRoute(string(KindDocument), wireChanging, documentService, 1),
		newRoute(string(KindReadOnly), wireReadOnly, documentService, 2),
	}
}

func markerRoute(marker string) routeDocument {
	return newRoute(marker, wireReadOnly, documentService, 1)
}

// putBody returns a complete configuration with the marker's route. An invalid configuration names an unknown service.
func putBody(version uint64, marker string, isInvalid bool) ([]byte, error) {
	route := markerRoute(marker)
	if isInvalid {
		route.Service = "unknown"
	}
	return json.Marshal(configurationDocument{
		Version: version, Routes: append(baseRoutes(), route),
		Services: []json.RawMessage{json.RawMessage(modelServiceDocument), json.RawMessage(documentServiceDocument)},
		Limits:   limitsDocument{HeaderBytes: 16384, BodyBytes: 4194304, HeaderWaitMs: 3000, IdleTimeoutMs: 15000},
	})
}

// patchBody returns a PATCH body that replaces the route of one marker by the route of another.
func patchBody(version uint64, marker, replaced string) ([]byte, error) {
	return json.Marshal(patchDocument{
		Version: version,
		Add:     map[string][]routeDocument{"routes": {markerRoute(marker)}},
		Remove:  map[string][]string{"routes": {replaced}},
	})
}

// readMarker returns the version and the marker of a configuration that was read.
func readMarker(document []byte) (version uint64, marker string, err error) {
	var read configurationDocument
	if err := json.Unmarshal(document, &read); err != nil {
		return 0, "", fmt.Errorf("read configuration: %w", err)
	}
	known := map[string]bool{}
	for _, route := range baseRoutes() {
		known[route.Name] = true
	}
	for _, route := range read.Routes {
		if known[route.Name] {
			continue
		}
		if marker != "" {
			return read.Version, marker + "+" + route.Name, nil // no change has two markers, so checkReads reports this
		}
		marker = route.Name
	}
	return read.Version, marker, nil
}
