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

// Successors take over on one inherited socket under load: no request is rejected or lost, and a backend disabled at the old process
// is disabled at the new one, also after the old one has ended and another restart has followed.
func TestRun_HotRestartUnderLoad(t *testing.T) {
	discovery, clients := listen(t, "127.0.0.1"), listen(t, "127.0.0.1")
	file, err := clients.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	worldCtx, endWorld := context.WithCancel(context.Background())
	defer endWorld()
	world := fakestandalone.NewEnvironment(discovery, []net.Listener{listen(t, "127.0.0.1"), listen(t, "127.0.0.1"), listen(t, "127.0.0.1")},
		[]string{"ub-east"}, func() { time.Sleep(2 * time.Millisecond) })
	go world.Serve(worldCtx)
	shared := t.TempDir()

	type process struct {
		adminURL string
		stop     context.CancelFunc
		ended    chan error
	}
	start := func() process {
		free := listen(t, "127.0.0.4") // an address of its own: a connection of another test can't take the port
		p := process{adminURL: "http://" + free.Addr().String() + "/v1/", ended: make(chan error, 1)}
		fd, err := syscall.Dup(int(file.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"ROUTER_LISTEN": clients.Addr().String(), "ROUTER_DISCOVERY": discovery.Addr().String(),
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
	call := func(method, url string) (int, string) {
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
		waitUntil(t, "ready", func() bool {
			select {
			case err := <-p.ended:
				t.Fatalf("process ended before it was ready: %v", err)
			default:
			}
			status, _ := call("GET", p.adminURL+"readyz")
			return status == 200
		})
	}
	first := start()
	ready(first)

	load, endLoad := context.WithCancel(context.Background())
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for n := range 4 {
		running.Go(func() {
			for i := 0; load.Err() == nil; i++ {
				req, err := http.NewRequest("GET", "http://"+clients.Addr().String()+"/quick-quote", nil)
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
	for restart := range 2 {
		next := start()
		if restart == 0 {
			if status, body := call("POST", old.adminURL+"backends/toy-1/suspend"); status != 200 {
				t.Errorf("suspend: %d %s", status, body)
			}
		}
		ready(next)
		old.stop()
		if err := <-old.ended; err != nil {
			t.Errorf("old process: %v", err)
		}
		if _, body := call("GET", next.adminURL+"metrics"); !strings.Contains(body, "svc_cluster_unhealthy 1\n") {
			t.Errorf("restart %d: the backend is no longer disabled:\n%s", restart+1, body)
		}
		old = next
	}
	// A successor that is stopped before it is ready leaves the old process as it is.
	aborted := start()
	aborted.stop()
	if err := <-aborted.ended; err != nil {
		t.Errorf("a successor stopped before it was ready: %v", err)
	}
	ready(old)
	served := world.Backends[0].Served()
	time.Sleep(50 * time.Millisecond)
	if now := world.Backends[0].Served(); now != served {
		t.Errorf("the disabled backend had %d more requests", now-served)
	}
	if status, _ := call("POST", old.adminURL+"backends/toy-1/resume"); status != 200 {
		t.Errorf("resume: %d", status)
	}
	if status, _ := call("POST", old.adminURL+"backends/toy-9/suspend"); status != 404 {
		t.Errorf("a backend that was never listed: %d", status)
	}
	endLoad()
	running.Wait()
	old.stop()
	if err := <-old.ended; err != nil {
		t.Error(err)
	}
}
