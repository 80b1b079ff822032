package ingress

import (
	"sync"

	"pumiceline/internal/controlplane/configuration"
)

// trafficSplit divides a route's requests among its services by smooth weighted round robin, as nginx does among
// upstreams. Each request adds every service's weight to the service's credit and goes to the service with the
// highest credit. The sum of the weights is then subtracted from that credit. The zero value is ready to use. All
// methods may be called from any goroutine.
type trafficSplit struct {
	mutex  sync.Mutex
	credit map[string]map[string]float64 // by route and service
}

// reset discards all credits. It is called for a new configuration, which may have other routes and weights.
func (s *trafficSplit) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.credit = nil
}

// pick returns the service that gets the next request of the route.
func (s *trafficSplit) pick(route *configuration.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credit := s.creditOf(route.Name)
	total, best := 0.0, ""
	for _, service := range route.Split {
		if service.Weight <= 0 {
			continue
		}
		total += service.Weight
		credit[service.Service] += service.Weight
		if best == "" || credit[service.Service] > credit[best] {
			best = service.Service
		}
	}
	credit[best] -= total
	return best
}

// creditOf returns the credit of a route's services. The mutex must be held.
func (s *trafficSplit) creditOf(route string) map[string]float64 {
	if s.credit == nil {
		s.credit = map[string]map[string]float64{}
	}
	credit := s.credit[route]
	if credit == nil {
		credit = map[string]float64{}
		s.credit[route] = credit
	}
	return credit
}
