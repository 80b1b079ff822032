package model

import (
	"fmt"
)

// Party is one end of a cut: a kind and, where it names one, its number.
type Party struct {
	Kind string // zone, proxy, server, proxies, servers, discovery
	N    int
}

// ParseParty reads a party as files name it: "zone:2", "proxy:0", "server:7", "proxies", "servers", "discovery".
func ParseParty(s string) (Party, error) {
	var p Party
	switch s {
	case "proxies", "servers", "discovery":
		return Party{Kind: s}, nil
	}
	for _, kind := range []string{"zone", "proxy", "server"} {
		if _, err := fmt.Sscanf(s, kind+":%d", &p.N); err == nil && p.N >= 0 && s == fmt.Sprintf("%s:%d", kind, p.N) {
			p.Kind = kind
			return p, nil
		}
	}
	return p, fmt.Errorf("%q is no party (zone:N, proxy:N, server:N, proxies, servers, discovery)", s)
}
