package process_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/lifecycle"
)

// processStatus is the part of a status that all programs share.
type processStatus struct {
	Process lifecycle.Status `json:"process"`
}

func (p *process) processStatus() lifecycle.Status {
	p.t.Helper()
	var status processStatus
	require.NoError(p.t, json.Unmarshal([]byte(p.status()), &status))
	return status.Process
}

// The status shows what a process waits for.
func TestStatus_ShowsWait(t *testing.T) {
	m := newMachine(t)
	m.writeSettings(m.settings())
	holders := map[string]int{coordinatorProgram: internalPort, proxyProgram: frontPort}
	for program, port := range holders {
		t.Run(program, func(t *testing.T) {
			holder := m.hold(port)
			p := m.start(program)
			p.awaitLog(waitMessage)
			p.await("status", func() bool { return p.status() != "" })
			waits := p.processStatus().Waits
			require.Len(t, waits, 1)
			assert.Equal(t, "listen on "+m.address(port), waits[0].Condition)
			assert.Contains(t, waits[0].Error, "address already in use")
			require.NoError(t, holder.Close())
			p.awaitListening()
			p.await("end of the wait", func() bool { return len(p.processStatus().Waits) == 0 })
		})
	}
}
