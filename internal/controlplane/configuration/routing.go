package configuration

import (
	"slices"
	"strings"
)

// index makes the tables that Match searches.
func (c *Config) index() {
	c.byHost = map[string][]*Route{}
	for _, route := range c.Routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route of a request's host, which may have a port, with the longest prefix of its path. It is nil
// where there is none.
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
