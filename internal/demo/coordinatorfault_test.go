package demo

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordinator"
)

// startStatusNodes returns a demo of coordinators whose processes only sleep. An HTTP server per node returns its
// status.
func startStatusNodes(t *testing.T, statuses *[coordinatorCount]coordinator.Status) *demo {
	t.Helper()
	d := &demo{opts: Options{LoadPeriod: 10 * time.Second, Progress: io.Discard}, client: http.DefaultClient}
	for i := range coordinatorCount {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(statuses[i])
		}))
		t.Cleanup(server.Close)
		address, err := net.ResolveTCPAddr("tcp", strings.TrimPrefix(server.URL, "http://"))
		require.NoError(t, err)
		command := exec.Command("sleep", "60")
		require.NoError(t, command.Start())
		p := &process{command: command, ended: make(chan struct{})}
		go func() {
			_ = command.Wait()
			close(p.ended)
		}()
		t.Cleanup(p.kill)
		d.nodes = append(d.nodes, &node{Name: string(rune('a' + i)), IP: address.IP.String(), ControlPort: address.Port, process: p})
	}
	return d
}

func TestCoordinatorFault_KillsCoordinatorWithRole(t *testing.T) {
	statuses := [coordinatorCount]coordinator.Status{
		1: {Coordination: &coordinator.CoordinationStatus{IsIssuer: true}}, 2: {LeaseToken: 7},
	}
	d := startStatusNodes(t, &statuses)
	faults := d.newFaults()
	for _, fault := range faults {
		require.NoError(t, fault.stepIfDue(t.Context()))
		assert.Nil(t, fault.killed, "not due yet")
		fault.killAt = time.Now().Add(-time.Millisecond)
		require.NoError(t, fault.stepIfDue(t.Context()))
		<-fault.killed.process.ended
	}
	assert.Equal(t, "c", d.result.KilledCoordinator)
	assert.Equal(t, "b", d.result.KilledIssuer)
}

func TestCoordinatorFault_WaitsForRole(t *testing.T) {
	var statuses [coordinatorCount]coordinator.Status
	d := startStatusNodes(t, &statuses)
	fault := d.newFaults()[0]
	fault.killAt = time.Now().Add(-time.Millisecond)
	require.NoError(t, fault.stepIfDue(t.Context()))
	assert.Nil(t, fault.killed, "no coordinator has the role")
	fault.killAt = fault.killAt.Add(-fault.downtime)
	require.NoError(t, fault.stepIfDue(t.Context()))
	assert.Equal(t, "a", d.result.KilledCoordinator, "after the wait the first coordinator is killed")
}
