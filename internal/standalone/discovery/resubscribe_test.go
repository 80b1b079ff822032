package discovery

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
)

// startPolicy runs the policy of one proxy of a group until the test ends. The policy decides when to start a watch.
func startPolicy(t *testing.T, w *Watcher, groupSize int, seed uint64) Policy {
	t.Helper()
	set := policy.Settings{Classes: []policy.Class{{ClientTimeout: 1e6, LatencyTarget: 1e6, Value: 1}}, SubscribeDiscovery: true,
		GroupSize: groupSize}
	set.Rules.SubscribeWithin = 10e6
	balancer, err := policy.New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	hooks := engine.Hooks{SubscribeDiscovery: w.RestartWatch, CloseIdleConns: func(uint32) {}}
	p := engine.New(balancer, hooks, slog.New(slog.DiscardHandler))
	go p.Run(t.Context())
	return p
}

// policySeeds is how many seeds of the policy each case is run with.
const policySeeds = 30

// Updates that are missed by a watch without heartbeats must be received within 6 s of its last byte. Watcher and
// policy must start the next watch one second before that, whatever the size of the group, and also if the last line
// was incomplete.
func TestWatcher_ReplacesTimedOutWatchSoon(t *testing.T) {
	for _, group := range []int{1, 100, 300} {
		for seed := range uint64(policySeeds) {
			synctest.Test(t, func(t *testing.T) {
				var lastByteAt, nextWatchAt time.Time
				calls := 0
				newPolicy := func(w *Watcher) Policy { return startPolicy(t, w, group, seed) }
				startWatcherFor(t, &recorder{}, newPolicy, "", func(_ string, conn net.Conn) {
					if calls++; calls == 2 {
						nextWatchAt = time.Now()
					}
					if calls > 1 {
						return
					}
					io.WriteString(conn, responseHead)
					sendLine(conn, updateJSON(1, true, entryJSON("s-1", "SERVING")))
					lastByteAt = time.Now()
					if seed%2 == 1 {
						io.WriteString(conn, "9\r\n{\"seq\":2,\r\n")
					}
					io.Copy(io.Discard, conn)
				})
				time.Sleep(30 * time.Second)
				synctest.Wait()
				if took := nextWatchAt.Sub(lastByteAt); calls < 2 || took > 5*time.Second {
					t.Errorf("group of %d, seed %d: next watch started %v after the last byte, %d calls", group, seed, took, calls)
				}
			})
		}
	}
}

// After a reload, the updates of the new source must be received within 4 s, also if it rejects the first watch, and if
// the policy restarts the first watch before it has received a message.
func TestWatcher_RetriesNewSourceSoon(t *testing.T) {
	for seed := range uint64(policySeeds) {
		synctest.Test(t, func(t *testing.T) {
			var setAt, nextWatchAt time.Time
			var calls atomic.Int32
			stoppedWatches := int32(seed % 2) // watches of the new source that the policy stops
			newPolicy := func(w *Watcher) Policy { return startPolicy(t, w, 300, seed) }
			w := startWatcherFor(t, &recorder{}, newPolicy, "", func(target string, conn net.Conn) {
				if !strings.HasPrefix(target, "127.0.0.2") {
					io.WriteString(conn, responseHead)
					sendLine(conn, "")
					io.Copy(io.Discard, conn)
					return
				}
				call := calls.Add(1)
				if call <= stoppedWatches {
					io.Copy(io.Discard, conn)
					return
				}
				if call == stoppedWatches+1 {
					time.Sleep(time.Second) // rejected after a wait
					io.WriteString(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
					return
				}
				if call == stoppedWatches+2 {
					nextWatchAt = time.Now()
				}
				io.WriteString(conn, responseHead)
				sendLine(conn, updateJSON(7, true, entryJSON("s-2", "SERVING")))
				io.Copy(io.Discard, conn)
			})
			time.Sleep(10 * time.Second)
			setAt = time.Now()
			newSource := testSource
			newSource.Address = "127.0.0.2:1"
			w.SetSource(newSource)
			if synctest.Wait(); stoppedWatches > 0 {
				w.RestartWatch()
			}
			time.Sleep(20 * time.Second)
			synctest.Wait()
			if took := nextWatchAt.Sub(setAt); calls.Load() < stoppedWatches+2 || took > 3*time.Second+100*time.Millisecond {
				t.Errorf("seed %d: next watch started %v after the change, %d calls", seed, took, calls.Load())
			}
		})
	}
}
