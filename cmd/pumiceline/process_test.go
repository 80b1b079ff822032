package main

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pumiceline/internal/faulttest"
	"pumiceline/internal/standalone/discovery"
	"pumiceline/internal/standalone/hotrestart"
)

// With affinity all requests of a key go to one backend, and every backend gets keys. Backends are polled for their
// load about once a second if the settings allow it, and no longer after a reload that forbids it.
func TestServe_AffinityAndLoadPolling(t *testing.T) {
	c := newCluster(t, 64)
	polling := true
	c.adaptSettings = func(set map[string]any) { useAffinity(set, polling) }
	c.writeConfig()
	p := c.start(c.discovery)
	c.awaitReady(p)

	started := time.Now()
	backendOf := sendKeys(t, c, 2500*time.Millisecond)
	keys := map[string]int{}
	for _, backend := range backendOf {
		keys[backend]++
	}
	if len(keys) != len(c.fakes.Backends) {
		t.Errorf("keys by backend: %v", keys)
	}
	countPolls := func() (n int64) {
		for _, d := range c.fakes.Backends {
			n += d.LoadQueries()
		}
		return n
	}
	if n := countPolls(); n < 3 || n > 12 {
		t.Errorf("%d polls in %v", n, time.Since(started))
	}

	polling = false
	c.writeConfig()
	c.reload(p)
	n := countPolls()
	if time.Sleep(1500 * time.Millisecond); countPolls() > n+1 { // one may have been in flight
		t.Errorf("%d polls after the reload that forbids them", countPolls()-n)
	}
}

// sendKeys sends requests of 16 keys, the squares modulo 31, for the duration, and returns the backend of each key. It
// fails if a key's backend changes.
func sendKeys(t *testing.T, c *cluster, duration time.Duration) (backendOf map[string]string) {
	t.Helper()
	backendOf = map[string]string{}
	started := time.Now()
	for n := 0; time.Since(started) < duration; n++ {
		key := fmt.Sprint("key ", n*n%31)
		status, body, err := get(http.DefaultTransport, "http://"+c.address+"/quick-quote", http.Header{
			"X-Correlation-Id": {fmt.Sprint("k", n)}, "X-Service-Class": {"quick-quote"}, "X-Account": {"khan-air"},
			"X-Time-Left-Ms": {"1500"}, "X-Session-Key": {key}})
		backend, _, _ := strings.Cut(body, " ")
		if known := backendOf[key]; status != 200 || err != nil || known != "" && known != backend {
			t.Fatalf("request %d of %s, before at %q: %d %q %v", n, key, known, status, body, err)
		}
		backendOf[key] = backend
	}
	return backendOf
}

// A proxy that is partitioned from discovery continues to serve. When the partition ends, the update reaches it that a
// backend is draining: 500 ms later it sends that backend no more requests. A proxy that is paused for a second and a
// half serves again when it continues, and at most the requests in flight fail.
func TestServe_DiscoveryPartitionAndPause(t *testing.T) {
	c := newCluster(t, 64)
	faults := faulttest.New()
	defer faults.Close()
	discoveryRelay, err := faults.StartRelay("discovery", c.discovery)
	if err != nil {
		t.Fatal(err)
	}
	p := c.start(discoveryRelay.Addr())
	c.awaitReady(p)
	var served, failed atomic.Int64
	stopLoad := c.startLoad(4, newKeepAliveTransport(t), func(status int, err error, _ time.Time) {
		if err == nil && status == 200 {
			served.Add(1)
		} else {
			failed.Add(1)
		}
	})

	discoveryRelay.Set(faulttest.Downstream, faulttest.Fault{Hold: true})
	draining, servedBefore := c.fakes.Backends[0], served.Load()
	entry := c.fakes.Entries[0]
	entry.Health = discovery.HealthDraining
	c.fakes.Discovery.Put(entry)
	time.Sleep(time.Second)
	if n := draining.Served(); served.Load() == servedBefore || failed.Load() > 0 || n == 0 {
		t.Errorf("during the partition: %d served, %d failed, %d by the draining backend", served.Load()-servedBefore, failed.Load(), n)
	}
	discoveryRelay.Heal()
	time.Sleep(500 * time.Millisecond)
	n := draining.Served()
	if time.Sleep(500 * time.Millisecond); draining.Served() != n {
		t.Errorf("%d requests came to the draining backend more than 500 ms after the partition", draining.Served()-n)
	}

	p.Process.Signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	p.Process.Signal(syscall.SIGCONT)
	time.Sleep(200 * time.Millisecond)
	servedBefore = served.Load()
	time.Sleep(300 * time.Millisecond)
	stopLoad()
	if served.Load() == servedBefore || failed.Load() > 4 { // one of each client at most was in flight
		t.Errorf("after the pause: %d served, %d failed\n%s", served.Load()-servedBefore, failed.Load(), faults)
	}
}

// When a successor is killed, before or after it is ready, only requests that it has accepted are lost: the old process
// continues to serve, with its full quotas again, and the next successor takes over without a lost request. Both
// processes apply a reload while both serve.
func TestServe_SuccessorIsKilled(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // never responds: a successor waits for its list
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unresponsive.Close() })
	for _, tc := range []struct {
		name  string
		ready bool
		// wantProcesses has the number of processes that share the quotas, in the order in which the old process logs
		// it.
		wantProcesses []string
	}{
		{"before it is ready", false, []string{"1", "2"}},
		{"after it is ready", true, []string{"1", "2", "1", "2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 64)
			old := c.start(c.discovery)
			c.awaitReady(old)
			// The kill happens between killedFrom and killedBy, in Unix nanoseconds.
			var killedFrom, killedBy, served, lost atomic.Int64
			stopLoad := c.startLoad(4, connectionPerRequest, func(status int, err error, started time.Time) {
				switch ended := killedBy.Load(); {
				case err == nil && status == 200:
					served.Add(1)
				case err != nil && tc.ready && killedFrom.Load() > 0 && (ended == 0 || started.UnixNano() < ended):
					lost.Add(1) // the killed process had accepted it
				default:
					t.Errorf("request failed: %d, %v", status, err)
				}
			})

			var successor *process
			if tc.ready {
				successor = startReadySuccessor(t, c, old)
			} else {
				successor = startWaitingSuccessor(c, unresponsive.Addr().String())
			}
			killedFrom.Store(time.Now().UnixNano())
			successor.Process.Kill()
			successor.Wait()
			killedBy.Store(time.Now().UnixNano())

			time.Sleep(4 * hotrestart.PollInterval) // until the old process has detected that it is alone
			next := c.start(c.discovery)
			c.awaitReady(next)
			stopProcess(t, old)
			stopLoad()
			if lost.Load() > 4 {
				t.Errorf("%d requests lost with the killed process, more than there were clients", lost.Load())
			}
			if got := loggedProcesses(old); !slices.Equal(got, tc.wantProcesses) {
				t.Errorf("the old process shared its quotas among %v, want %v:\n%s", got, tc.wantProcesses, old.log)
			}
			stopProcess(t, next)
			t.Logf("%d served, %d lost with the killed process", served.Load(), lost.Load())
		})
	}
}

// startWaitingSuccessor starts a successor and kills it at once, then returns another successor, which never gets an
// endpoint list.
func startWaitingSuccessor(c *cluster, unresponsiveDiscovery string) *process {
	c.t.Helper()
	first := c.start(c.discovery)
	first.Process.Kill()
	first.Wait()
	second := c.start(unresponsiveDiscovery)
	c.awaitAdmin(second, "readyz", func(status int, _ string) bool { return status == 503 })
	return second
}

// startReadySuccessor returns a successor that serves together with the old process, after both have reloaded a
// configuration with a further class.
func startReadySuccessor(t *testing.T, c *cluster, old *process) *process {
	t.Helper()
	successor := c.start(c.discovery)
	c.awaitReady(successor)
	c.writeConfig("season")
	c.reload(old)
	c.reload(successor)
	for n := range int64(40) { // both accept connections from the one socket
		if status, err := c.request(connectionPerRequest, "season", 1e6+n); status != 200 || err != nil {
			t.Errorf("request of the reloaded class: %d, %v", status, err)
		}
	}
	return successor
}

// stopProcess stops a process by SIGTERM, and fails the test unless it exits with code 0.
func stopProcess(t *testing.T, p *process) {
	t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		t.Errorf("process did not end in order: %v", err)
	}
}

// loggedProcesses returns each number of serving processes that a process has logged, in order.
func loggedProcesses(p *process) []string {
	var processes []string
	for _, found := range regexp.MustCompile(`processes=(\d)`).FindAllStringSubmatch(p.log.String(), -1) {
		processes = append(processes, found[1])
	}
	return processes
}
