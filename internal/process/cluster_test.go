package process_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordinator"
)

// clusterSize is the number of coordinators of a cluster, which bears the loss of one.
const clusterSize = 3

// clusterCallTimeout is the timeout of one call of the operator.
const clusterCallTimeout = time.Second

// cluster is several machines, each in a zone of its own, whose coordinators form one system.
type cluster struct {
	t            *testing.T
	machines     []*machine
	coordinators []*process
	calls        int // made so far; selects the next coordinator
}

// newCluster returns a cluster of machines that have no process yet.
func newCluster(t *testing.T, machines []*machine, isFirstStart bool) *cluster {
	t.Helper()
	c := &cluster{t: t, machines: machines}
	c.writeSettings(isFirstStart)
	return c
}

// startCluster starts the coordinators of a new cluster.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	machines := lo.Times(clusterSize, func(int) *machine { return newMachine(t) })
	c := newCluster(t, machines, true)
	c.startCoordinators()
	return c
}

func (c *cluster) writeSettings(isFirstStart bool) {
	c.t.Helper()
	zones := lo.Times(len(c.machines), func(i int) string { return fmt.Sprintf("zone-%d: region", i) })
	seeds := lo.Map(c.machines, func(m *machine, _ int) string { return fmt.Sprintf("%q", m.address(controlPort)) })
	for i, m := range c.machines {
		text := strings.NewReplacer(
			`zone: "zone-a"`, fmt.Sprintf(`zone: "zone-%d"`, i),
			`zones: {zone-a: region, zone-b: region}`, "zones: {"+strings.Join(zones, ", ")+"}",
			fmt.Sprintf("seedNodes: [%q]", m.address(controlPort)), "seedNodes: ["+strings.Join(seeds, ", ")+"]",
			"firstStart: true", fmt.Sprintf("firstStart: %v", isFirstStart),
		).Replace(m.settings())
		m.writeSettings(text)
	}
}

func (c *cluster) startCoordinators() {
	c.t.Helper()
	c.coordinators = lo.Map(c.machines, func(m *machine, _ int) *process { return m.start(coordinatorProgram) })
	for _, p := range c.coordinators {
		p.awaitListening()
	}
}

// restartCoordinators kills all coordinators at once, as a loss of power does, and starts them again.
func (c *cluster) restartCoordinators() {
	c.t.Helper()
	for _, p := range c.coordinators {
		require.NoError(c.t, p.command.Process.Kill())
	}
	for _, p := range c.coordinators {
		p.awaitEnd()
	}
	c.writeSettings(false)
	c.startCoordinators()
}

// configCall is a call of /config by the operator.
type configCall struct{ method, ifMatch, body string }

// configAnswer is the answer to a call. Status 0: there was none.
type configAnswer struct {
	status int
	body   string
}

// isClear reports whether the operator does not send the call again.
func (a configAnswer) isClear() bool {
	return a.status != 0 && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests
}

// callAt makes a call at one coordinator, once.
func (c *cluster) callAt(i int, call configCall) configAnswer {
	c.t.Helper()
	request, err := http.NewRequest(call.method, "http://"+c.machines[i].address(controlPort)+"/config", strings.NewReader(call.body))
	require.NoError(c.t, err)
	if call.ifMatch != "" {
		request.Header.Set("If-Match", call.ifMatch)
	}
	client := http.Client{Timeout: clusterCallTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return configAnswer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return configAnswer{}
	}
	return configAnswer{status: response.StatusCode, body: string(text)}
}

// call repeats a call at the coordinators in turn until the answer is clear.
func (c *cluster) call(call configCall) configAnswer {
	c.t.Helper()
	var answer configAnswer
	c.coordinators[0].await("clear answer to "+call.method, func() bool {
		c.calls++
		answer = c.callAt(c.calls%len(c.machines), call)
		return answer.isClear()
	})
	return answer
}

// readAt returns the configuration that a coordinator answers with.
func (c *cluster) readAt(i int) string {
	c.t.Helper()
	var answer configAnswer
	c.coordinators[i].await("configuration", func() bool {
		answer = c.callAt(i, configCall{method: http.MethodGet})
		return answer.isClear()
	})
	require.Equal(c.t, http.StatusOK, answer.status, answer.body)
	return answer.body
}

// statusAt returns the status of a coordinator.
func (c *cluster) statusAt(i int) coordinator.Status {
	c.t.Helper()
	var status coordinator.Status
	require.NoError(c.t, json.Unmarshal([]byte(c.coordinators[i].status()), &status))
	return status
}
