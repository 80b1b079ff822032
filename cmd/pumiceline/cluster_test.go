package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
)

// TestMain runs the program instead of the tests if PUMICELINE_TEST_MAIN is set: tests start their own binary as the
// processes that they stop and kill.
func TestMain(m *testing.M) {
	if os.Getenv("PUMICELINE_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// cluster has fake backends, a fake discovery, and a listening socket that successive processes of one proxy inherit.
type cluster struct {
	t             testing.TB
	socket        *os.File // the clients' listening socket, which each process inherits
	address       string   // of socket
	discovery     string   // address
	configFile    string
	sharedFolder  string
	memoryMB      int
	fakes         *fakestandalone.Environment
	adaptSettings func(settings map[string]any) // nil: the fakes' settings stay as they are
	stderr        *os.File                      // of processes that are started; nil: the process's log
}

// process is a process of the proxy.
type process struct {
	*exec.Cmd
	adminURL string
	log      *bytes.Buffer // complete once the process has ended
}

func newCluster(t testing.TB, memoryMB int) *cluster {
	t.Helper()
	open := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	discovery, clients := open(), open()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fakes := fakestandalone.NewEnvironment(discovery, []net.Listener{open(), open(), open()}, []string{"ub-east"},
		func() { time.Sleep(2 * time.Millisecond) })
	go fakes.Serve(ctx)
	socket, err := clients.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	clients.Close() // socket has a descriptor of its own
	c := &cluster{t: t, socket: socket, address: clients.Addr().String(), discovery: discovery.Addr().String(),
		configFile: filepath.Join(t.TempDir(), "config.json"), sharedFolder: t.TempDir(), memoryMB: memoryMB, fakes: fakes}
	c.writeConfig()
	return c
}

// writeConfig replaces the configuration file. The further classes are copies of the first one under other names.
func (c *cluster) writeConfig(furtherClasses ...string) {
	c.t.Helper()
	text, err := fakestandalone.ProxyConfig(c.address, c.discovery, []string{"ub-east"})
	if err != nil {
		c.t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		c.t.Fatal(err)
	}
	config["limits"] = map[string]any{"memory_mb": c.memoryMB, "sockets": 512}
	settings := config["settings"].(map[string]any)
	if c.adaptSettings != nil {
		c.adaptSettings(settings)
	}
	classes := settings["Classes"].([]any)
	for _, name := range furtherClasses {
		class := maps.Clone(classes[0].(map[string]any))
		class["Name"] = name
		classes = append(classes, class)
	}
	settings["Classes"] = classes
	if text, err = json.Marshal(config); err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(c.configFile+".new", text, 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(c.configFile+".new", c.configFile); err != nil {
		c.t.Fatal(err)
	}
}

// start starts a process that watches discovery at the given address.
func (c *cluster) start(discovery string) *process {
	c.t.Helper()
	// A separate IP address: a connection of another test can't take the port before the process listens there.
	free, err := net.Listen("tcp", "127.0.0.5:0")
	if err != nil {
		c.t.Fatal(err)
	}
	admin := free.Addr().String()
	p := &process{Cmd: exec.Command(os.Args[0], "serve"), adminURL: "http://" + admin + "/v1/", log: &bytes.Buffer{}}
	p.Env = append(os.Environ(), "PUMICELINE_TEST_MAIN=1", "ROUTER_FD=3", "ROUTER_CONFIG="+c.configFile,
		"ROUTER_LISTEN="+c.address, "ROUTER_DISCOVERY="+discovery, "ROUTER_OPERATOR="+admin, "TMPDIR="+c.sharedFolder)
	p.ExtraFiles, p.Stderr = []*os.File{c.socket}, p.log
	if c.stderr != nil {
		p.Stderr = c.stderr
	}
	free.Close()
	if err := p.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { p.Process.Kill() })
	return p
}

// awaitAdmin polls a path of a process's admin API until want accepts the response.
func (c *cluster) awaitAdmin(p *process, path string, want func(status int, body string) bool) {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		status, body, err := get(connectionPerRequest, p.adminURL+path, nil)
		if err == nil && want(status, body) {
			return
		}
		if time.Now().After(deadline) {
			p.Process.Kill()
			p.Wait()
			c.t.Fatalf("%s: response not accepted: %d %q %v; the process's log:\n%s", path, status, body, err, p.log)
		}
	}
}

// awaitReady waits until a process accepts connections.
func (c *cluster) awaitReady(p *process) {
	c.t.Helper()
	c.awaitAdmin(p, "readyz", func(status int, _ string) bool { return status == 200 })
}

// reload has a process reload its configuration for the first time, and waits until it has loaded it.
func (c *cluster) reload(p *process) {
	c.t.Helper()
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		c.t.Fatal(err)
	}
	c.awaitAdmin(p, "metrics", func(_ int, body string) bool { return strings.Contains(body, "svc_conf_loaded_total 1\n") })
}

// request sends the n-th request of a test to the proxy.
func (c *cluster) request(transport http.RoundTripper, class string, n int64) (status int, err error) {
	status, _, err = get(transport, "http://"+c.address+"/"+class, http.Header{"X-Correlation-Id": {fmt.Sprint("q", n)},
		"X-Service-Class": {class}, "X-Account": {"khan-air"}, "X-Time-Left-Ms": {"1500"}, "X-Session-Key": {fmt.Sprint(n % 300)}})
	return status, err
}

// startLoad has clients send requests in a closed loop until stop is called. Several goroutines call report
// concurrently with the outcome of each request and the time at which it started.
func (c *cluster) startLoad(clients int, transport http.RoundTripper, report func(status int, err error, started time.Time)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var number atomic.Int64
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for ctx.Err() == nil {
				started := time.Now()
				status, err := c.request(transport, "quick-quote", number.Add(1))
				report(status, err, started)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// connectionPerRequest opens a new connection for each request.
var connectionPerRequest = &http.Transport{DisableKeepAlives: true}

// newKeepAliveTransport returns a transport that keeps its connections until the test ends.
func newKeepAliveTransport(t testing.TB) *http.Transport {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

func get(transport http.RoundTripper, url string, header http.Header) (status int, body string, err error) {
	req, err := http.NewRequest("GET", url, nil)
	if err != nil {
		return 0, "", err
	}
	if header != nil {
		req.Header = header
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

// useAffinity changes settings to those of a deployment whose backends have affinity and report their load when polled.
// polling says whether the proxy may poll them.
func useAffinity(settings map[string]any, polling bool) {
	settings["FamilyInfo"] = map[string]any{"WarmKeys": true}
	settings["LoadInfo"].(map[string]any)["How"] = "pull"
	settings["Limits"].(map[string]any)["MayProbe"] = polling
}
