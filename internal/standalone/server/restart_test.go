package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/config"
)

// A new version takes over on one lent socket under load: no request is turned back or lost, a host taken out at the old process is
// out at the new one, and stays so when the old one is gone and another upgrade follows.
func TestUpgradeUnderLoad(t *testing.T) {
	discovery, lent := listen(t, "127.0.0.1"), listen(t, "127.0.0.1")
	file, err := lent.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	world, endWorld := context.WithCancel(context.Background())
	defer endWorld()
	w := fakestandalone.NewWorld(discovery, []net.Listener{listen(t, "127.0.0.1"), listen(t, "127.0.0.1"), listen(t, "127.0.0.1")},
		[]string{"ub-east"}, func() { time.Sleep(2 * time.Millisecond) })
	go w.Serve(world)
	shared := t.TempDir()

	type process struct {
		operator string
		stop     context.CancelFunc
		ended    chan error
	}
	begin := func() process {
		free := listen(t, "127.0.0.4") // an address of its own: a connection of another test can't take the port
		p := process{operator: "http://" + free.Addr().String() + "/v1/", ended: make(chan error, 1)}
		fd, err := syscall.Dup(int(file.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"ROUTER_LISTEN": lent.Addr().String(), "ROUTER_DISCOVERY": discovery.Addr().String(),
			"ROUTER_OPERATOR": free.Addr().String(), "ROUTER_FD": fmt.Sprint(fd), "TMPDIR": shared}
		cfg, err := config.Load(exampleConfig, func(name string) string { return env[name] })
		if err != nil {
			t.Fatal(err)
		}
		free.Close()
		var ctx context.Context
		ctx, p.stop = context.WithCancel(context.Background())
		go func() { p.ended <- Run(ctx, cfg, Options{}, slog.New(slog.DiscardHandler)) }()
		return p
	}
	say := func(method, url string) (int, string) {
		req, err := http.NewRequest(method, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	ready := func(p process) {
		until(t, "ready", func() bool {
			select {
			case err := <-p.ended:
				t.Fatalf("it ended before it was ready: %v", err)
			default:
			}
			status, _ := say("GET", p.operator+"readyz")
			return status == 200
		})
	}
	first := begin()
	ready(first)

	load, endLoad := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for n := range 4 {
		clients.Go(func() {
			for i := 0; load.Err() == nil; i++ {
				req, err := http.NewRequest("GET", "http://"+lent.Addr().String()+"/quick-quote", nil)
				if err != nil {
					t.Error(err)
					return
				}
				req.Header = http.Header{"X-Correlation-Id": {fmt.Sprint(n, ".", i)}, "X-Service-Class": {"quick-quote"},
					"X-Account": {"khan-air"}, "X-Time-Left-Ms": {"1500"}}
				resp, err := client.Do(req)
				if err != nil {
					t.Errorf("a request was lost: %v", err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 {
					t.Errorf("a request got %s", resp.Status)
				}
			}
		})
	}
	old := first
	for turn := range 2 {
		next := begin()
		if turn == 0 {
			if status, body := say("POST", old.operator+"backends/toy-1/suspend"); status != 200 {
				t.Errorf("suspend: %d %s", status, body)
			}
		}
		ready(next)
		old.stop()
		if err := <-old.ended; err != nil {
			t.Errorf("the old process: %v", err)
		}
		if _, body := say("GET", next.operator+"metrics"); !strings.Contains(body, "svc_cluster_unhealthy 1\n") {
			t.Errorf("upgrade %d: the ban was lost:\n%s", turn+1, body)
		}
		old = next
	}
	// One that never says yes leaves the old one as it is.
	dead := begin()
	dead.stop()
	if err := <-dead.ended; err != nil {
		t.Errorf("a successor told to stop before its yes: %v", err)
	}
	ready(old)
	served := w.Destinations[0].Served()
	time.Sleep(50 * time.Millisecond)
	if now := w.Destinations[0].Served(); now != served {
		t.Errorf("the host that is out had %d more requests", now-served)
	}
	if status, _ := say("POST", old.operator+"backends/toy-1/resume"); status != 200 {
		t.Errorf("resume: %d", status)
	}
	if status, _ := say("POST", old.operator+"backends/toy-9/suspend"); status != 404 {
		t.Errorf("a host that was never listed: %d", status)
	}
	endLoad()
	clients.Wait()
	old.stop()
	if err := <-old.ended; err != nil {
		t.Error(err)
	}
}
