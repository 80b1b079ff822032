package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/config"
	"pumiceline/internal/standin"
)

// The whole program on sockets: where servers are warm for keys, all requests of a key go to one destination, while each takes its share of
// keys; and destinations are asked for their load where that is allowed, and never where it is not.
func TestKeysAndProbesOnSockets(t *testing.T) {
	for _, c := range []struct{ warm, probes bool }{{true, true}, {false, false}} {
		t.Run(fmt.Sprintf("warm=%v,probes=%v", c.warm, c.probes), func(t *testing.T) {
			t.Parallel()
			const host = "127.0.0.1"
			discovery, free := listen(t, host), listen(t, "127.0.0.4")
			cfg, err := config.Load(exampleConfig, func(name string) string {
				return map[string]string{"ROUTER_LISTEN": free.Addr().String(), "ROUTER_DISCOVERY": discovery.Addr().String()}[name]
			})
			if err != nil {
				t.Fatal(err)
			}
			free.Close()
			cfg.Operator = ""
			cfg.Settings.FamilyInfo.WarmKeys = c.warm
			cfg.Settings.Limits.MayProbe, cfg.Settings.LoadInfo.How = c.probes, "pull"
			if cfg.Module, err = config.Module(&cfg.Settings); err != nil {
				t.Fatal(err)
			}
			world := standin.NewWorld(discovery, []net.Listener{listen(t, host), listen(t, host), listen(t, host), listen(t, host)},
				[]string{"ub-east"}, func() { time.Sleep(time.Millisecond) })
			toys, endToys := context.WithCancel(context.Background())
			defer endToys()
			go world.Serve(toys)
			stop, tellStop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- serve(stop, cfg, parts{}, slog.New(slog.DiscardHandler)) }()
			base := "http://" + cfg.Listen
			until(t, "the whole list", func() bool { // with an empty one it is ready, and refuses
				return strings.HasPrefix(askOnce(base, "first", "none"), "toy-")
			})
			homes, moved, asked := map[string]string{}, 0, 0
			met := map[string]bool{}
			begun := time.Now()
			for round := 0; round < 8 || c.probes && time.Since(begun) < 3*time.Second; round++ {
				for key := range 24 {
					asked++
					name := fmt.Sprint("key-", (key*7+round)%24)
					got := askOnce(base, fmt.Sprint("id-", asked), name)
					if !strings.HasPrefix(got, "toy-") {
						t.Fatalf("request %d: %s", asked, got)
					}
					toy, _, _ := strings.Cut(got, " ")
					if at := homes[name]; at != "" && at != toy {
						moved++
					}
					homes[name], met[toy] = toy, true
				}
			}
			if c.warm && (moved > 0 || len(met) < 3) {
				t.Errorf("%d of %d requests moved, keys are at %d of 4 destinations", moved, asked, len(met))
			}
			for _, d := range world.Destinations {
				if n := d.Probed(); (n > 0) != c.probes || n > 8 {
					t.Errorf("%s was probed %d times", d.Name, n)
				}
			}
			tellStop()
			if err := <-ended; err != nil {
				t.Errorf("serve: %v", err)
			}
		})
	}
}

// askOnce makes one request and returns what it brought, an error included.
func askOnce(base, id, key string) string {
	req, err := http.NewRequest(http.MethodGet, base+"/quick-quote", nil)
	if err != nil {
		return err.Error()
	}
	req.Header = http.Header{"X-Correlation-Id": {id}, "X-Service-Class": {"quick-quote"}, "X-Account": {"khan-air"},
		"X-Time-Left-Ms": {"1500"}, "X-Session-Key": {key}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
