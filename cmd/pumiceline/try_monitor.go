package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"golang.org/x/term"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/discovery"
)

// tryPhase is the state of the one backend that drains and returns.
type tryPhase int

const (
	allServing tryPhase = iota
	backendDraining
	backendReturned
)

const (
	// tryDrainDelay is the time from listing a backend as draining until the backend refuses requests.
	tryDrainDelay = time.Second
	// maxTryBar is the length of the longest bar that stands for a backend's requests.
	maxTryBar = 40
)

// tryMonitor drains and restores one backend and shows a table each second: redrawn in place on a terminal, one line
// per second elsewhere.
type tryMonitor struct {
	duration time.Duration
	fakes    *fakestandalone.Environment
	clients  *fakestandalone.LoadGenerator
	out      io.Writer
	terminal bool

	started time.Time
	phase   tryPhase
	status  string // text of the phase for the table
	total   fakestandalone.RequestStats
	served  []int64 // by backend, up to the last table
	drawn   int     // lines of the last table
}

func newTryMonitor(duration time.Duration, fakes *fakestandalone.Environment, clients *fakestandalone.LoadGenerator,
	out output) *tryMonitor {
	file, _ := out.Writer.(*os.File)
	return &tryMonitor{duration: duration, fakes: fakes, clients: clients, out: out,
		terminal: file != nil && term.IsTerminal(int(file.Fd())),
		started:  time.Now(), status: "all serve", served: make([]int64, len(fakes.Backends))}
}

// run draws tables until ctx ends, then prints the totals. It returns at once with an error that arrives on failed.
func (m *tryMonitor) run(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			_, err := fmt.Fprintf(m.out, "%d requests: %d served, %d refused, %d failed\n", m.total.Sent, m.total.Served,
				m.total.Rejected, m.total.Failed)
			return err
		case <-ticker.C:
		}
		m.advancePhase()
		if err := m.draw(); err != nil {
			return err
		}
	}
}

// advancePhase drains the first backend after a third of the time and restores it after two thirds.
func (m *tryMonitor) advancePhase() {
	backend, entry := m.fakes.Backends[0], m.fakes.Entries[0]
	elapsed := time.Since(m.started)
	switch {
	case m.phase == allServing && elapsed > m.duration/3:
		m.phase, m.status = backendDraining, entry.Host+" drains"
		entry.Health = discovery.HealthDraining
		m.fakes.Discovery.Put(entry)
		time.AfterFunc(tryDrainDelay, func() { backend.SetDraining(true) })
	case m.phase == backendDraining && elapsed > 2*m.duration/3:
		m.phase, m.status = backendReturned, entry.Host+" is back, cold"
		backend.SetDraining(false)
		entry.StartedAtMs = float64(time.Now().UnixMilli())
		m.fakes.Discovery.Put(entry)
	}
}

// draw shows the requests that clients and backends counted since the last table.
func (m *tryMonitor) draw() error {
	var table strings.Builder
	m.writeClients(&table)
	m.writeBackends(&table)
	if m.terminal && m.drawn > 0 {
		fmt.Fprintf(m.out, "\x1b[%dA\x1b[J", m.drawn) // cursor up, erase to the end
	}
	if !m.terminal {
		table.WriteByte('\n')
	}
	m.drawn = strings.Count(table.String(), "\n")
	_, err := io.WriteString(m.out, table.String())
	return err
}

func (m *tryMonitor) writeClients(table *strings.Builder) {
	t := m.clients.TakeStats()
	m.total.Sent += t.Sent
	m.total.Served += t.Served
	m.total.Rejected += t.Rejected
	m.total.Failed += t.Failed
	quantileMs := func(percent float64) float64 { return float64(t.Latencies.ValueAtQuantile(percent)) / 1e3 }
	fmt.Fprintf(table, "%3.0f s  %4d asked %4d served %3d refused %3d failed  median %5.1f ms  99%% %6.1f ms  %s\n",
		time.Since(m.started).Seconds(), t.Sent, t.Served, t.Rejected, t.Failed, quantileMs(50), quantileMs(99), m.status)
}

func (m *tryMonitor) writeBackends(table *strings.Builder) {
	for i, d := range m.fakes.Backends {
		served := d.Served()
		rate := served - m.served[i]
		m.served[i] = served
		if m.terminal {
			bar := strings.Repeat("#", int(min(maxTryBar, rate)))
			fmt.Fprintf(table, "  %-8s %4d/s  holds %2d  %s\n", d.Name, rate, d.InFlight(), bar)
		} else {
			fmt.Fprintf(table, "  %s %d/s", d.Name, rate)
		}
	}
}
