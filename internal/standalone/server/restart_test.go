package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/config"
)

// restartCluster is fake backends and discovery, with a listening socket that one proxy after another inherits.
type restartCluster struct {
	t            *testing.T
	socket       *os.File
	address      string // of socket
	discovery    string // address
	sharedFolder string
	fakes        *fakestandalone.Environment
}

func newRestartCluster(t *testing.T) *restartCluster {
	t.Helper()
	discovery, clients := listen(t, "127.0.0.1"), listen(t, "127.0.0.1")
	socket, err := clients.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	backends := []net.Listener{listen(t, "127.0.0.1"), listen(t, "127.0.0.1"), listen(t, "127.0.0.1")}
	fakes := fakestandalone.NewEnvironment(discovery, backends, []string{"ub-east"}, func() { time.Sleep(2 * time.Millisecond) })
	go fakes.Serve(ctx)
	return &restartCluster{t: t, socket: socket, address: clients.Addr().String(), discovery: discovery.Addr().String(),
		sharedFolder: t.TempDir(), fakes: fakes}
}

// runningProxy is a proxy that runs in the test process.
type runningProxy struct {
	adminURL string
	stop     context.CancelFunc
	ended    chan error
}

// start starts a proxy that inherits the socket.
func (c *restartCluster) start() *runningProxy {
	c.t.Helper()
	free := listen(c.t, "127.0.0.4") // a separate IP address: a connection of another test can't take the port
	admin := free.Addr().String()
	fd, err := syscall.Dup(int(c.socket.Fd()))
	if err != nil {
		c.t.Fatal(err)
	}
	env := map[string]string{"ROUTER_LISTEN": c.address, "ROUTER_DISCOVERY": c.discovery, "ROUTER_OPERATOR": admin,
		"ROUTER_FD": fmt.Sprint(fd), "TMPDIR": c.sharedFolder}
	cfg, err := config.Load(exampleConfig, func(name string) string { return env[name] })
	if err != nil {
		c.t.Fatal(err)
	}
	free.Close()
	ctx, cancel := context.WithCancel(context.Background())
	p := &runningProxy{adminURL: "http://" + admin + "/v1/", stop: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- Run(ctx, cfg, Options{}, slog.New(slog.DiscardHandler)) }()
	return p
}

// callAdmin sends a request to a proxy's admin API. The status is 0 if there is no response.
func (c *restartCluster) callAdmin(p *runningProxy, method, path string) (status int, body string) {
	c.t.Helper()
	req, err := http.NewRequest(method, p.adminURL+path, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	content, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content)
}

func (c *restartCluster) awaitReady(p *runningProxy) {
	c.t.Helper()
	waitUntil(c.t, "ready", func() bool {
		select {
		case err := <-p.ended:
			c.t.Fatalf("proxy ended before it was ready: %v", err)
		default:
		}
		status, _ := c.callAdmin(p, "GET", "readyz")
		return status == 200
	})
}

// startLoad runs clients that send requests in a closed loop until stop is called. Each failed request is a test error.
func (c *restartCluster) startLoad(clients int) (stop func()) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for n := range clients {
		running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if err := c.request(client, fmt.Sprint(n, ".", i)); err != nil {
					c.t.Errorf("request failed: %v", err)
					return
				}
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (c *restartCluster) request(client *http.Client, correlationID string) error {
	c.t.Helper()
	req, err := http.NewRequest("GET", "http://"+c.address+"/quick-quote", nil)
	if err != nil {
		return err
	}
	req.Header = http.Header{"X-Correlation-Id": {correlationID}, "X-Service-Class": {"quick-quote"},
		"X-Account": {"khan-air"}, "X-Time-Left-Ms": {"1500"}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != 200 {
		c.t.Errorf("a request got %s", resp.Status)
	}
	return nil
}

// Successors take over on one inherited socket under load. No request is rejected or lost. A backend that is disabled
// at the old process is disabled at the new one, also after the old one has ended and after a second restart.
func TestRun_HotRestartUnderLoad(t *testing.T) {
	c := newRestartCluster(t)
	old := c.start()
	c.awaitReady(old)
	stopLoad := c.startLoad(4)
	for restart := range 2 {
		next := c.start()
		if restart == 0 {
			if status, body := c.callAdmin(old, "POST", "backends/toy-1/suspend"); status != 200 {
				t.Errorf("suspend: %d %s", status, body)
			}
		}
		c.awaitReady(next)
		old.stop()
		if err := <-old.ended; err != nil {
			t.Errorf("old proxy: %v", err)
		}
		if _, body := c.callAdmin(next, "GET", "metrics"); !strings.Contains(body, "svc_cluster_unhealthy 1\n") {
			t.Errorf("restart %d: the backend is no longer disabled:\n%s", restart+1, body)
		}
		old = next
	}

	// A successor that is stopped before it is ready does not affect the old proxy.
	aborted := c.start()
	aborted.stop()
	if err := <-aborted.ended; err != nil {
		t.Errorf("successor stopped before it was ready: %v", err)
	}
	c.awaitReady(old)
	disabled, other := c.fakes.Backends[0], c.fakes.Backends[1]
	disabledServed, otherServed := disabled.Served(), other.Served()
	waitUntil(t, "100 more requests served by another backend", func() bool { return other.Served() >= otherServed+100 })
	if now := disabled.Served(); now != disabledServed {
		t.Errorf("the disabled backend served %d more requests", now-disabledServed)
	}
	if status, _ := c.callAdmin(old, "POST", "backends/toy-1/resume"); status != 200 {
		t.Errorf("resume: %d", status)
	}
	if status, _ := c.callAdmin(old, "POST", "backends/toy-9/suspend"); status != 404 {
		t.Errorf("a backend that was never listed: %d", status)
	}
	stopLoad()
	old.stop()
	if err := <-old.ended; err != nil {
		t.Error(err)
	}
}
