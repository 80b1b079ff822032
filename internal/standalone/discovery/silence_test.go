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

// asking is a module that decides when discovery is asked, as one of a group, and that runs until the test's end.
func asking(t *testing.T, w *Watcher, group int, seed uint64) Policy {
	set := policy.Settings{Classes: []policy.Class{{ClientTimeout: 1e6, LatencyTarget: 1e6, Value: 1}}, SubscribeDiscovery: true, GroupSize: group}
	set.Rules.SubscribeWithin = 10e6
	module, err := policy.New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	p := engine.New(module, engine.Hooks{SubscribeDiscovery: w.RestartWatch, CloseIdleConns: func(uint32) {}}, slog.New(slog.DiscardHandler))
	go p.Run(t.Context())
	return p
}

const silenceSeeds = 30

// What a watch misses that fell silent counts as told 6 s after its last byte. By then the watcher and the module, which decides
// when to ask, must have the next one, with a second to spare for its way: whatever the group's size, and also if the last line came
// only by half.
func TestASilentWatchIsOpenedAnewInTime(t *testing.T) {
	for _, group := range []int{1, 100, 300} {
		for seed := range uint64(silenceSeeds) {
			synctest.Test(t, func(t *testing.T) {
				var last, again time.Time
				calls := 0
				watchingFor(t, &heard{}, func(w *Watcher) Policy { return asking(t, w, group, seed) }, "", func(_ string, c net.Conn) {
					if calls++; calls == 2 {
						again = time.Now()
					}
					if calls > 1 {
						return
					}
					io.WriteString(c, begin)
					line(c, update(1, true, host("s-1", "SERVING")))
					last = time.Now()
					if seed%2 == 1 {
						io.WriteString(c, "9\r\n{\"seq\":2,\r\n")
					}
					io.Copy(io.Discard, c)
				})
				time.Sleep(30 * time.Second)
				synctest.Wait()
				if took := again.Sub(last); calls < 2 || took > 5*time.Second {
					t.Errorf("group of %d, seed %d: asked again %v after the last byte, %d calls", group, seed, took, calls)
				}
			})
		}
	}
}

// After a SIGHUP the new discovery's word counts 4 s later, also where its first call is turned away because others wait there, and
// where the module asks just after the move, so that the first watch there is cut off before it has said anything.
func TestAMovedWatchAsksAgainSoon(t *testing.T) {
	for seed := range uint64(silenceSeeds) {
		synctest.Test(t, func(t *testing.T) {
			var moved, again time.Time
			var calls atomic.Int32
			cutOff := int32(seed % 2)
			w := watchingFor(t, &heard{}, func(w *Watcher) Policy { return asking(t, w, 300, seed) }, "", func(target string, c net.Conn) {
				if !strings.HasPrefix(target, "127.0.0.2") {
					io.WriteString(c, begin)
					line(c, "")
					io.Copy(io.Discard, c)
					return
				}
				call := calls.Add(1)
				if call <= cutOff {
					io.Copy(io.Discard, c)
					return
				}
				if call == cutOff+1 {
					time.Sleep(time.Second) // it waited in turn, and for too long
					io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
					return
				}
				if call == cutOff+2 {
					again = time.Now()
				}
				io.WriteString(c, begin)
				line(c, update(7, true, host("s-2", "SERVING")))
				io.Copy(io.Discard, c)
			})
			time.Sleep(10 * time.Second)
			moved = time.Now()
			w.SetSource("127.0.0.2:1", w.decoder.zones, w.decoder.instanceTypes)
			if synctest.Wait(); cutOff > 0 {
				w.RestartWatch()
			}
			time.Sleep(20 * time.Second)
			synctest.Wait()
			if took := again.Sub(moved); calls.Load() < cutOff+2 || took > 3*time.Second+100*time.Millisecond {
				t.Errorf("seed %d: asked again %v after the move, %d calls", seed, took, calls.Load())
			}
		})
	}
}
