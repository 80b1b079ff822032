package hotrestart

import (
	"log/slog"
	"math"
	"runtime/debug"
	"testing"
	"time"
)

// noLearnedState is a policy that learns nothing.
type noLearnedState struct{}

func (noLearnedState) Snapshot() ([]byte, error)           { return nil, nil }
func (noLearnedState) Restore([]byte, time.Duration) error { return nil }

// Each process sees how many sockets the others have open. It divides quotas by the number of processes that are past
// Starting, and memory by the number of all processes.
func TestProcess_SharesLimitsWithPeers(t *testing.T) {
	memoryLimit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(memoryLimit) })
	dir := t.TempDir()
	quotas := map[string]int{} // by process: the argument of its last ShareQuotas call
	join := func(name string, own SocketUsage) *Process {
		t.Helper()
		p := NewProcess(NewSharedFolder(dir, "proxy"), 100, slog.New(slog.DiscardHandler))
		if err := p.Join(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Leave)
		p.Connect(Hooks{
			SocketUsage: func() SocketUsage { return own },
			ShareQuotas: func(processes int) error { quotas[name] = processes; return nil },
			Policy:      noLearnedState{},
		})
		p.Poll()
		return p
	}
	memoryMB := func() int { return int(math.Round(float64(debug.SetMemoryLimit(-1)) / (1 << 20))) }

	old := join("old", SocketUsage{Clients: 7, Backends: 3})
	old.SetStage(Serving)
	old.Poll()
	if quotas["old"] != 1 || memoryMB() != 70 || old.HasServingPeer() || old.PeerSockets() != (SocketUsage{}) {
		t.Errorf("alone: quotas of %v, %d MB, peers hold %+v", quotas, memoryMB(), old.PeerSockets())
	}
	successor := join("successor", SocketUsage{Clients: 1, Backends: 2})
	old.Poll()
	if quotas["old"] != 1 || quotas["successor"] != 2 || memoryMB() != 35 || old.HasServingPeer() || !successor.HasServingPeer() {
		t.Errorf("beside a starting process: quotas of %v, %d MB", quotas, memoryMB())
	}
	if got := successor.PeerSockets(); got != (SocketUsage{Clients: 7, Backends: 3}) {
		t.Errorf("the old process holds %+v", got)
	}
	successor.SetStage(Serving)
	successor.Poll()
	old.Poll()
	if quotas["old"] != 2 || quotas["successor"] != 2 || !old.HasServingPeer() {
		t.Errorf("beside a serving process: quotas of %v", quotas)
	}
	old.Leave()
	successor.Poll()
	if quotas["successor"] != 1 || memoryMB() != 70 || successor.PeerSockets() != (SocketUsage{}) {
		t.Errorf("alone again: quotas of %v, %d MB, peers hold %+v", quotas, memoryMB(), successor.PeerSockets())
	}
}
