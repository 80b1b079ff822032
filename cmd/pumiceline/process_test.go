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

// Where backends have affinity, all requests of a key go to one backend, and each has keys. Backends are polled for their load
// about once a second where the settings allow it, and no more after the reload that forbids it.
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
	polls := func() (n int64) {
		for _, d := range c.fakes.Backends {
			n += d.LoadQueries()
		}
		return n
	}
	if n := polls(); n < 3 || n > 12 {
		t.Errorf("%d polls in %v", n, time.Since(started))
	}

	polling = false
	c.writeConfig()
	c.reload(p)
	n := polls()
	if time.Sleep(1500 * time.Millisecond); polls() > n+1 { // one may have been in flight
		t.Errorf("%d polls after the reload that forbids them", polls()-n)
	}
}

// sendKeys sends requests of 31 keys for a time and returns the backend of each key, which must be the same each time.
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

// A proxy that is partitioned from discovery serves on, and sends a draining backend nothing more 500 ms after the update has
// reached it. One that is paused for a second and a half serves on when it continues, and fails at most what was in flight.
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

// When a successor is killed, before or after it is ready, only requests that it has accepted are lost: the old process goes on
// serving with its full quotas, and the next successor takes over without a lost request. A reload while two processes serve
// is applied by both.
func TestServe_SuccessorIsKilled(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // sends nothing, so that a successor waits for its list
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	for _, tc := range []struct {
		name  string
		ready bool
		// wantProcesses is how many processes the old one shares its quotas with, in the order of its log.
		wantProcesses []string
	}{
		{"before it is ready", false, []string{"1", "2"}},
		{"after it is ready", true, []string{"1", "2", "1", "2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 64)
			old := c.start(c.discovery)
			c.awaitReady(old)
			var killedFrom, killedBy, served, lost atomic.Int64 // the first two: Unix nanoseconds
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
				successor = startWaitingSuccessor(c, silent.Addr().String())
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

// startWaitingSuccessor kills a successor as soon as it has started, and returns one that never gets an endpoint list.
func startWaitingSuccessor(c *cluster, silentDiscovery string) *process {
	c.t.Helper()
	first := c.start(c.discovery)
	first.Process.Kill()
	first.Wait()
	second := c.start(silentDiscovery)
	c.awaitAdmin(second, "readyz", func(status int, _ string) bool { return status == 503 })
	return second
}

// startReadySuccessor returns a successor that serves beside the old process, after both have reloaded a further class.
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

// stopProcess ends a process in order.
func stopProcess(t *testing.T, p *process) {
	t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		t.Errorf("process did not end in order: %v", err)
	}
}

// loggedProcesses returns the numbers of serving processes that a process has logged.
func loggedProcesses(p *process) []string {
	var processes []string
	for _, found := range regexp.MustCompile(`processes=(\d)`).FindAllStringSubmatch(p.log.String(), -1) {
		processes = append(processes, found[1])
	}
	return processes
}
