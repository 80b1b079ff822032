package server

import (
	"testing"

	"pumiceline/internal/standalone/hotrestart"
)

func TestSocketBudget_ClientLimit(t *testing.T) {
	const budget = socketBudget(1000)
	for _, c := range []struct {
		name     string
		backends int
		peers    hotrestart.SocketUsage
		want     int
	}{
		{"clients use all but the reserve of idle backends", 0, hotrestart.SocketUsage{}, 750},
		{"clients leave headroom over open backend connections", 200, hotrestart.SocketUsage{}, 620},
		{"clients always have their own fraction", 350, hotrestart.SocketUsage{}, 550},
		{"sockets of peers are subtracted", 100, hotrestart.SocketUsage{Clients: 200, Backends: 100}, 420},
		{"a quarter is guaranteed", 0, hotrestart.SocketUsage{Clients: 900}, 137},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := budget.clientLimit(c.backends, c.peers); got != c.want {
				t.Errorf("limit %d, want %d", got, c.want)
			}
		})
	}
}

func TestSocketBudget_BackendLimit(t *testing.T) {
	const budget = socketBudget(1000)
	for peerConnections, want := range map[int]int{0: 350, 100: 250, 300: 87} {
		if got := budget.backendLimit(hotrestart.SocketUsage{Backends: peerConnections}); got != want {
			t.Errorf("limit %d beside %d connections of peers, want %d", got, peerConnections, want)
		}
	}
}

func TestSocketBudget_AdminShare(t *testing.T) {
	for budget, want := range map[socketBudget]int{64: 4, 256: 8, 1024: 12} {
		if got := budget.adminShare(); got != want {
			t.Errorf("share %d of %v, want %d", got, budget, want)
		}
	}
}
