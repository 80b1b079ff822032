package configuration

import (
	"slices"
	"strings"
)

// index builds the lookup table for Match.
func (c *Config) index() {
	c.byHost = map[string][]*Route{}
	for _, route := range c.Routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route of a request's host with the longest prefix of its path, or nil if there is none. The host
// may include a port.
func (c *Config) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
