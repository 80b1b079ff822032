package model

import "fmt"

// Endpoint is one side of a network partition: a set of proxies and servers, or discovery.
type Endpoint struct {
	Kind   EndpointKind
	Number int // of the zone, proxy or server, from 0
}

// EndpointKind is a kind of endpoint, by its name in files.
type EndpointKind string

// The kinds of endpoint. The first three have a number.
const (
	EndpointZone      EndpointKind = "zone"
	EndpointProxy     EndpointKind = "proxy"
	EndpointServer    EndpointKind = "server"
	EndpointProxies   EndpointKind = "proxies"
	EndpointServers   EndpointKind = "servers"
	EndpointDiscovery EndpointKind = "discovery"
)

// ParseEndpoint parses an endpoint as files write it: "zone:2", "proxy:0", "server:7", "proxies", "servers",
// "discovery".
func ParseEndpoint(text string) (Endpoint, error) {
	switch kind := EndpointKind(text); kind {
	case EndpointProxies, EndpointServers, EndpointDiscovery:
		return Endpoint{Kind: kind}, nil
	}
	for _, kind := range []EndpointKind{EndpointZone, EndpointProxy, EndpointServer} {
		number := 0
		if _, err := fmt.Sscanf(text, string(kind)+":%d", &number); err == nil && number >= 0 &&
			text == fmt.Sprintf("%s:%d", kind, number) {
			return Endpoint{Kind: kind, Number: number}, nil
		}
	}
	return Endpoint{}, fmt.Errorf("%q is not an endpoint (zone:N, proxy:N, server:N, proxies, servers, discovery)", text)
}

func (e Endpoint) matchesProxy(index int32, zone uint8) bool {
	return e.Kind == EndpointProxies || e.Kind == EndpointProxy && e.Number == int(index) ||
		e.Kind == EndpointZone && e.Number == int(zone)
}

func (e Endpoint) matchesServer(s *server) bool {
	return e.Kind == EndpointServers || e.Kind == EndpointServer && e.Number == int(s.index) ||
		e.Kind == EndpointZone && e.Number == int(s.zone)
}
