package ingress

import (
	"sync"

	"pumiceline/internal/controlplane/configuration"
)

// splitter spreads a route's requests over its services by smooth weighted round robin.
type splitter struct {
	mutex  sync.Mutex
	credit map[string]map[string]float64 // by route and service
}

// reset forgets the routes of an earlier configuration.
func (s *splitter) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.credit = nil
}

func (s *splitter) pick(route *configuration.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.credit == nil {
		s.credit = map[string]map[string]float64{}
	}
	credit := s.credit[route.Name]
	if credit == nil {
		credit = map[string]float64{}
		s.credit[route.Name] = credit
	}
	total, best := 0.0, ""
	for _, share := range route.Shares {
		if share.Weight <= 0 {
			continue
		}
		total += share.Weight
		credit[share.Service] += share.Weight
		if best == "" || credit[share.Service] > credit[best] {
			best = share.Service
		}
	}
	credit[best] -= total
	return best
}
