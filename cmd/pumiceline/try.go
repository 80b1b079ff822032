package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"time"

	"golang.org/x/term"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/server"
)

type tryCmd struct {
	For   time.Duration `help:"How long to run." default:"20s"`
	Rate  float64       `help:"Requests a second." default:"60"`
	Nodes int           `help:"Destinations." default:"4"`
	Level slog.Level    `help:"Least level of the proxy's log lines that are shown." default:"ERROR"`
}

// Run runs stand-ins, the proxy and a gentle load in this process, on loopback, and shows each second what becomes of it.
// A third of the way through, one destination drains and is gone; at two thirds it is back, cold.
func (c *tryCmd) Run(out output) error {
	if c.Nodes < 2 || c.Nodes > 100 || c.Rate <= 0 || c.Rate > 1000 || c.For < 3*time.Second {
		return fmt.Errorf("try: takes 2 to 100 nodes, a rate up to 1000, and 3s or more")
	}
	sites := []string{"ub-east", "ub-west"}
	var listeners []net.Listener
	for range c.Nodes + 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("try: %w", err)
		}
		defer ln.Close()
		listeners = append(listeners, ln)
	}
	front := listeners[0].Addr().String()
	operators := listeners[c.Nodes+2].Addr().String()
	listeners[0].Close() // the proxy listens there next
	listeners[c.Nodes+2].Close()
	text, err := fakestandalone.Config(front, listeners[1].Addr().String(), sites)
	if err != nil {
		return fmt.Errorf("try: %w", err)
	}
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		return fmt.Errorf("try: %w", err)
	}
	cfg.Operator = operators
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	world := fakestandalone.NewWorld(listeners[1], listeners[2:c.Nodes+2], sites, fakestandalone.Sleep(40*time.Millisecond))
	worldCtx, endWorld := context.WithCancel(context.Background())
	defer endWorld()
	var running sync.WaitGroup
	defer running.Wait()
	defer endWorld()
	failed := make(chan error, 2)
	running.Go(func() {
		if err := world.Serve(worldCtx); err != nil {
			failed <- err
		}
	})
	proxyCtx, endProxy := context.WithCancel(context.Background())
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: c.Level}))
	proxyDone := make(chan struct{})
	running.Go(func() {
		defer close(proxyDone)
		if err := server.Run(proxyCtx, cfg, server.Options{}, log); err != nil {
			failed <- err
		}
	})
	defer func() { endProxy(); <-proxyDone }()
	if err := ready(ctx, "http://"+front, failed); err != nil {
		return err
	}
	clients := &fakestandalone.Clients{Base: "http://" + front, Rate: c.Rate, Classes: fakestandalone.Classes, Tenants: fakestandalone.Tenants}
	loadCtx, endLoad := context.WithDeadline(ctx, time.Now().Add(c.For))
	loadDone := make(chan struct{})
	running.Go(func() { defer close(loadDone); clients.Run(loadCtx) })
	defer func() { endLoad(); <-loadDone }()
	fmt.Fprintf(out, "the proxy serves at http://%s, with %d destinations; operators' door at http://%s/v1/; interrupt to end sooner\n", front, c.Nodes, operators)
	return c.follow(loadCtx, out, world, clients, failed)
}

// ready waits till the proxy holds a list.
func ready(ctx context.Context, base string, failed <-chan error) error {
	for {
		resp, err := http.Get(base + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// follow shows a table each second: drawn over on a terminal, a line a second elsewhere.
func (c *tryCmd) follow(ctx context.Context, out io.Writer, world *fakestandalone.World, clients *fakestandalone.Clients, failed <-chan error) error {
	f, _ := out.(output).Writer.(*os.File)
	screen := f != nil && term.IsTerminal(int(f.Fd()))
	begin, before := time.Now(), make([]int64, len(world.Destinations))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var total fakestandalone.Tally
	phase, state := 0, "all serve"
	for lines := 0; ; {
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			_, err := fmt.Fprintf(out, "%d requests: %d served, %d refused, %d failed\n", total.Asked, total.Served, total.Refused, total.Failed)
			return err
		case <-tick.C:
		}
		first, entry := world.Destinations[0], world.Entries[0]
		switch spent := time.Since(begin); {
		case phase == 0 && spent > c.For/3:
			phase, state = 1, entry.Host+" drains"
			entry.Health = "DRAINING"
			world.Roster.Put(entry)
			time.AfterFunc(time.Second, func() { first.Drain(true) })
		case phase == 1 && spent > 2*c.For/3:
			phase, state = 2, entry.Host+" is back, cold"
			first.Drain(false)
			entry.BornMs = float64(time.Now().UnixMilli())
			world.Roster.Put(entry)
		}
		t := clients.Take()
		total.Asked, total.Served, total.Refused, total.Failed = total.Asked+t.Asked, total.Served+t.Served, total.Refused+t.Refused,
			total.Failed+t.Failed
		var text strings.Builder
		at := func(q float64) float64 { return float64(t.Times.ValueAtQuantile(q)) / 1e3 }
		fmt.Fprintf(&text, "%3.0f s  %4d asked %4d served %3d refused %3d failed  median %5.1f ms  99%% %6.1f ms  %s\n",
			time.Since(begin).Seconds(), t.Asked, t.Served, t.Refused, t.Failed, at(50), at(99), state)
		for i, d := range world.Destinations {
			n := d.Served()
			if screen {
				fmt.Fprintf(&text, "  %-8s %4d/s  holds %2d  %s\n", d.Name, n-before[i], d.Held(), strings.Repeat("#", int(min(40, n-before[i]))))
			} else {
				fmt.Fprintf(&text, "  %s %d/s", d.Name, n-before[i])
			}
			before[i] = n
		}
		if screen && lines > 0 {
			fmt.Fprintf(out, "\x1b[%dA\x1b[J", lines)
		}
		if !screen {
			text.WriteByte('\n')
		}
		lines = strings.Count(text.String(), "\n")
		if _, err := io.WriteString(out, text.String()); err != nil {
			return err
		}
	}
}
