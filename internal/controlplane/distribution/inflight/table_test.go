package inflight

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

func load(backend message.BackendID, inFlight, queuedPrefillMs int) message.BackendLoad {
	return message.BackendLoad{Backend: backend, InFlight: inFlight, QueuedPrefillMs: queuedPrefillMs}
}

func TestTable_SumsOtherReporters(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable()
	table.Update("p1", []message.BackendLoad{load("b1", 2, 30), load("b2", 1, 0)}, now)
	table.Update("p2", []message.BackendLoad{load("b1", 1, 10)}, now)
	table.Update("p2", []message.BackendLoad{load("b1", 1, 10)}, now) // a repeated report counts once
	assert.Equal(t, load("b1", 3, 40), table.SumOthers("b1", "p3", now))
	assert.Equal(t, load("b1", 2, 30), table.SumOthers("b1", "p2", now))
	assert.Equal(t, load("b2", 0, 0), table.SumOthers("b2", "p1", now))
	table.Update("p1", []message.BackendLoad{load("b2", 0, 0)}, now)
	assert.Equal(t, load("b2", 0, 0), table.SumOthers("b2", "p3", now))
	assert.NotContains(t, table.entries, message.BackendID("b2"), "a backend without load has no entry")
}

func TestTable_ExpiresLoadsWithoutNewReport(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable()
	table.Update("p1", []message.BackendLoad{load("b1", 2, 30)}, now)
	table.Update("p2", []message.BackendLoad{load("b1", 1, 0)}, now.Add(time.Second))
	assert.Equal(t, 3, table.SumOthers("b1", "p3", now.Add(entryLifetime)).InFlight)
	assert.Equal(t, 1, table.SumOthers("b1", "p3", now.Add(entryLifetime+time.Millisecond)).InFlight)
	assert.Zero(t, table.SumOthers("b1", "p3", now.Add(2*entryLifetime)).InFlight)
	assert.Empty(t, table.entries)
}

func TestTable_CompleteReportRemovesOthers(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable()
	table.Update("p1", []message.BackendLoad{load("b1", 2, 30), load("b2", 1, 0)}, now)
	table.Replace("p1", []message.BackendLoad{load("b2", 4, 0)}, now)
	assert.Zero(t, table.SumOthers("b1", "p3", now).InFlight)
	assert.Equal(t, 4, table.SumOthers("b2", "p3", now).InFlight)
}
