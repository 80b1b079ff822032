package distribution

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

func load(backend message.BackendID, running, queued int) message.BackendLoad {
	return message.BackendLoad{Backend: backend, Running: running, Queued: queued}
}

func TestLedgerSumsTheOthers(t *testing.T) {
	now := time.Unix(100, 0)
	ledger := NewLedger()
	ledger.Put("p1", []message.BackendLoad{load("b1", 2, 30), load("b2", 1, 0)}, false, now)
	ledger.Put("p2", []message.BackendLoad{load("b1", 1, 10)}, false, now)
	ledger.Put("p2", []message.BackendLoad{load("b1", 1, 10)}, false, now) // told twice counts once
	assert.Equal(t, load("b1", 3, 40), ledger.Others("b1", "p3", now))
	assert.Equal(t, load("b1", 2, 30), ledger.Others("b1", "p2", now))
	assert.Equal(t, load("b2", 0, 0), ledger.Others("b2", "p1", now))
	ledger.Put("p1", []message.BackendLoad{load("b2", 0, 0)}, false, now)
	assert.Equal(t, load("b2", 0, 0), ledger.Others("b2", "p3", now))
	assert.NotContains(t, ledger.entries, message.BackendID("b2"), "what carries nothing takes no place")
}

func TestLedgerForgetsTheSilent(t *testing.T) {
	now := time.Unix(100, 0)
	ledger := NewLedger()
	ledger.Put("p1", []message.BackendLoad{load("b1", 2, 30)}, false, now)
	ledger.Put("p2", []message.BackendLoad{load("b1", 1, 0)}, false, now.Add(time.Second))
	assert.Equal(t, 3, ledger.Others("b1", "p3", now.Add(entryLifetime)).Running)
	assert.Equal(t, 1, ledger.Others("b1", "p3", now.Add(entryLifetime+time.Millisecond)).Running)
	assert.Zero(t, ledger.Others("b1", "p3", now.Add(2*entryLifetime)).Running)
	assert.Empty(t, ledger.entries)
}

func TestLedgerTakesAWholeReport(t *testing.T) {
	now := time.Unix(100, 0)
	ledger := NewLedger()
	ledger.Put("p1", []message.BackendLoad{load("b1", 2, 30), load("b2", 1, 0)}, false, now)
	ledger.Put("p1", []message.BackendLoad{load("b2", 4, 0)}, true, now)
	assert.Zero(t, ledger.Others("b1", "p3", now).Running)
	assert.Equal(t, 4, ledger.Others("b2", "p3", now).Running)
}

// TestHubTellsTheLoadsOfHolders asks for a model, an adapter and what nobody holds.
func TestHubTellsTheLoadsOfHolders(t *testing.T) {
	hub := NewHub()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go hub.Run(ctx)
	ask := func(from string, report message.LoadReport) *message.LoadResponse {
		answer := make(chan *message.Message, 1)
		report.ID = 7
		hub.HandleLoads(from, &report, func(m *message.Message) { answer <- m })
		reply := (<-answer).LoadResponse
		assert.Equal(t, uint64(7), reply.ID)
		return reply
	}
	assert.True(t, ask("p1", message.LoadReport{Service: "s", Model: "m"}).Unknown, "without a list nothing is known")
	table := &discovery.Table{Observed: time.Now(), Backends: []message.Backend{
		{ID: "b1", Service: "s", Models: []message.LoadedModel{{Name: "m", Adapters: []string{"a1"}}}},
		{ID: "b2", Service: "s", Models: []message.LoadedModel{{Name: "m"}}},
		{ID: "b3", Service: "s", Models: []message.LoadedModel{{Name: "n"}}},
	}}
	table.SetDigest()
	hub.SetTable(table)
	hub.HandleLoads("p2", &message.LoadReport{Loads: []message.BackendLoad{load("b1", 1, 20), load("b3", 5, 0)}}, nil)
	own := message.LoadReport{Service: "s", Model: "m", Loads: []message.BackendLoad{load("b2", 9, 0)}}
	assert.Equal(t, []message.BackendLoad{load("b1", 1, 20)}, ask("p1", own).Loads, "its own is not told")
	assert.Equal(t, []message.BackendLoad{load("b1", 1, 20), load("b2", 9, 0)}, ask("p3", message.LoadReport{Service: "s", Model: "m"}).Loads)
	assert.Equal(t, []message.BackendLoad{load("b1", 1, 20)}, ask("p3", message.LoadReport{Service: "s", Model: "m/a1"}).Loads)
	assert.Empty(t, ask("p3", message.LoadReport{Service: "other", Model: "m"}).Loads)
}
